#include "sharedstate/claimchecker.h"

namespace chervilmount::simulation {

void ClaimChecker::fail(const std::string &text)
{
    if (m_violation.empty())
        m_violation = text;
}

void ClaimChecker::ran(int key, int attempt, const std::string &response)
{
    ++m_observations;
    m_responses[key] = response;
    ++m_attempts[attempt].m_runs;
    if (++m_runsOfKey[key] > 1)
        fail("key " + std::to_string(key) + " ran more than once");
}

void ClaimChecker::refusedAsNotRun(int attempt)
{
    ++m_observations;
    m_attempts[attempt].m_refused = true;
}

void ClaimChecker::answered(int key, int attempt, const std::string &response)
{
    ++m_observations;
    if (!m_responses.contains(key) || m_responses[key] != response) {
        fail("attempt " + std::to_string(attempt) + " got a response that no backend server gave "
             + "to key " + std::to_string(key));
    }
}

void ClaimChecker::finalDecision(int attempt)
{
    if (++m_attempts[attempt].m_decisions > 1)
        fail("attempt " + std::to_string(attempt) + " got two final decisions");
}

void ClaimChecker::lastWord(int key, bool definite)
{
    if (!definite)
        fail("key " + std::to_string(key) + " was still refused as not run after all faults");
}

std::string ClaimChecker::violation() const
{
    if (!m_violation.empty())
        return m_violation;
    for (const auto &[number, attempt] : m_attempts) {
        if (attempt.m_refused && attempt.m_runs > 0)
            return "attempt " + std::to_string(number) + " was refused as not run, but it ran";
    }
    return {};
}

} // namespace chervilmount::simulation
