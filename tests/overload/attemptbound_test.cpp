// Property: over random call trees and failures, attempts <= distinct calls + extra attempts.
#include "overload/overload.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace chervilmount::overload;

namespace {

constexpr int Cases = 20000;
constexpr int LargestTree = 15;
constexpr int MaximumExtraAttempts = 5;
/** Far above the bound of 20; ends runs of the broken variants, whose allowance grows without
 * bound.
 */
constexpr int AttemptsToStopAt = 200;

/** Rules of the mechanism that a test can break to verify that the check detects it. */
enum class Broken {
    None,
    HandsOverWithoutSubtracting,
    RetriesFailuresFromFurtherDown,
    RepeatsNestedCallsForFree,
    ForgetsRepeatAfterNotRun,
    TakesBackMoreThanHandedOver
};

/** Children of each call; call 0 is the request itself. Calls may run one after the other. */
struct Tree
{
    std::vector<std::vector<int>> m_children;
};

struct Run
{
    const Tree &m_tree;
    Broken m_broken;
    double m_failureRate;
    std::mt19937_64 &m_random;
    /** What an observer outside sees: each attempt that is sent, by the place of its call. */
    int m_attempts = 0;
    std::set<int> m_distinct{};
};

enum class Result { Success, NotRun, Error, FurtherDown, ResponseLost };

struct Ended
{
    Result m_result = Result::Success;
    int m_unused = 0;
};

bool chance(Run &run, double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(run.m_random) < probability;
}

NestedCalls nestedCallsOf(const Run &run, int call)
{
    return run.m_tree.m_children[call].empty() ? NestedCalls::None : NestedCalls::Possible;
}

bool makeCall(Run &run, int call, AttemptAllowance &own);

/** One attempt, as handled by the node of the backend server. */
Ended execute(Run &run, int call, AttemptAllowance allowance)
{
    ++run.m_attempts;
    run.m_distinct.insert(call);
    if (chance(run, run.m_failureRate))
        return {Result::NotRun, allowance.m_extraAttempts};
    for (const int child : run.m_tree.m_children[call]) {
        if (chance(run, run.m_failureRate / 2))
            return {Result::Error, allowance.m_extraAttempts};
        if (!makeCall(run, child, allowance))
            return {Result::FurtherDown, allowance.m_extraAttempts};
    }
    if (chance(run, run.m_failureRate / 2))
        return {Result::ResponseLost, 0};
    if (chance(run, run.m_failureRate / 2))
        return {Result::Error, allowance.m_extraAttempts};
    return {Result::Success, allowance.m_extraAttempts};
}

Failure failureOf(const Run &run, Result result)
{
    if (result == Result::NotRun)
        return Failure::NotRun;
    if (result == Result::FurtherDown && run.m_broken != Broken::RetriesFailuresFromFurtherDown)
        return Failure::FurtherDown;
    return run.m_broken == Broken::RepeatsNestedCallsForFree
                    || run.m_broken == Broken::RetriesFailuresFromFurtherDown
            ? Failure::NotRun
            : Failure::MayHaveRun;
}

/** A call with its retries, as handled by the calling node. */
bool makeCall(Run &run, int call, AttemptAllowance &own)
{
    RetryBudget budget{1e6, {}};
    std::optional<AttemptAllowance> part = allowFirstAttempt(own, nestedCallsOf(run, call));
    while (part && run.m_attempts < AttemptsToStopAt) {
        if (run.m_broken == Broken::HandsOverWithoutSubtracting)
            own.m_extraAttempts =
                    std::min(own.m_extraAttempts + part->m_extraAttempts, AttemptsToStopAt);
        const Ended ended = execute(run, call, *part);
        if (ended.m_result != Result::ResponseLost) {
            if (run.m_broken == Broken::TakesBackMoreThanHandedOver)
                own.m_extraAttempts += ended.m_unused + 1;
            else
                takeBackUnused(own, *part, ended.m_unused);
        }
        if (ended.m_result == Result::Success)
            return true;
        FailedAttempt failed;
        failed.m_failure = failureOf(run, ended.m_result);
        if (run.m_broken != Broken::ForgetsRepeatAfterNotRun)
            failed.m_handedOver = *part;
        failed.m_nestedCalls = nestedCallsOf(run, call);
        failed.m_deadline = std::chrono::steady_clock::time_point{std::chrono::hours{2}};
        part = decideRetry(failed, own, budget, RetryBudgetSettings{},
                           std::chrono::steady_clock::time_point{std::chrono::hours{1}},
                           run.m_random)
                       .m_allowance;
    }
    return false;
}

Tree randomTree(std::mt19937_64 &random)
{
    const int calls = std::uniform_int_distribution<int>(1, LargestTree)(random);
    Tree tree;
    tree.m_children.resize(calls + 1);
    for (int call = 1; call <= calls; ++call) {
        // Covers deep chains and wide trees.
        const int lowest = random() % 2 == 0 ? call - 1 : 0;
        const int parent = std::uniform_int_distribution<int>(lowest, call - 1)(random);
        tree.m_children[parent].push_back(call);
    }
    return tree;
}

/** @returns the number of cases in which the bound is exceeded. */
int exceeded(Broken broken, int cases)
{
    int failures = 0;
    for (int seed = 0; seed < cases; ++seed) {
        std::mt19937_64 random(seed);
        const Tree tree = randomTree(random);
        const int extra = std::uniform_int_distribution<int>(0, MaximumExtraAttempts)(random);
        const double failureRate = std::uniform_real_distribution<double>(0.0, 0.6)(random);
        AttemptAllowance own{extra, false};
        Run run{tree, broken, failureRate, random};
        for (const int call : tree.m_children[0]) {
            if (!makeCall(run, call, own))
                break;
        }
        if (run.m_attempts > static_cast<int>(run.m_distinct.size()) + extra)
            ++failures;
    }
    return failures;
}

} // namespace

// Guards against retries that multiply over the call tree.
TEST_CASE("Attempts stay within distinct calls plus extra attempts over random call trees")
{
    CHECK(exceeded(Broken::None, Cases) == 0);
}

// Guards against a check that cannot detect a broken rule of the allocation.
TEST_CASE("The check of the attempts notices each broken rule")
{
    CHECK(exceeded(Broken::HandsOverWithoutSubtracting, Cases) > 0);
    CHECK(exceeded(Broken::RetriesFailuresFromFurtherDown, Cases) > 0);
    CHECK(exceeded(Broken::RepeatsNestedCallsForFree, Cases) > 0);
    CHECK(exceeded(Broken::ForgetsRepeatAfterNotRun, Cases) > 0);
    CHECK(exceeded(Broken::TakesBackMoreThanHandedOver, Cases) > 0);
}
