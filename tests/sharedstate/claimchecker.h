#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chervilmount::simulation {

/** Checks the once-only guarantee from what callers and backend servers observe. */
class ClaimChecker
{
public:
    /** A backend server runs the request of an attempt. */
    void ran(int key, int attempt, const std::string &response);
    /** A caller was told that its attempt did not run. */
    void refusedAsNotRun(int attempt);
    /** A caller received a response to its attempt. */
    void answered(int key, int attempt, const std::string &response);
    /** A caller received a final decision of any kind. */
    void finalDecision(int attempt);
    /** Long after the last fault, a caller repeated its request. */
    void lastWord(int key, bool definite);

    /** @returns the first violation; empty if there is none. */
    std::string violation() const;
    std::uint64_t observations() const { return m_observations; }

private:
    void fail(const std::string &text);

    struct Attempt
    {
        int m_runs = 0;
        int m_decisions = 0;
        bool m_refused = false;
    };

    std::map<int, Attempt> m_attempts;
    std::map<int, int> m_runsOfKey;
    std::map<int, std::string> m_responses;
    std::string m_violation;
    std::uint64_t m_observations = 0;
};

} // namespace chervilmount::simulation
