#pragma once

#include "membership/schedule.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervilmount::simulation {

/**
 * Checks membership from what callers observe at each node, independently of the protocol code:
 * compares the members that a node would route to with the processes that run and can exchange
 * messages.
 */
class Checker
{
public:
    explicit Checker(Simulation &network);

    /** Takes a sample; call it every SampleInterval. */
    void sample();

    /** Starts measuring how fast the other nodes learn of a leave or a crash. */
    void expectLeaving(std::size_t node);
    void expectFailure(std::size_t node);

    /** Ends all measurements, since a fault makes them meaningless. */
    void abandonExpectations() { m_expectations.clear(); }

    /** Returns true if all running nodes hold the same, correct view. */
    bool allAgree(std::string *difference = nullptr) const;

    ScheduleResult m_result;
    StatedTimes m_times;

private:
    struct Expectation
    {
        std::size_t m_node = 0;
        bool m_leaving = false;
        TimePoint m_since;
    };

    bool isRemoved(std::size_t observer, std::size_t subject) const;
    bool knows(const Expectation &expectation, std::size_t observer) const;
    void samplePair(std::size_t observer, std::size_t subject);
    void sampleExpectations();
    void violation(const std::string &text);

    Simulation &m_network;
    std::vector<std::vector<TimePoint>> m_ableSince;
    std::vector<std::vector<TimePoint>> m_presentAt;
    std::vector<Expectation> m_expectations;
};

constexpr Milliseconds SampleInterval{250};

} // namespace chervilmount::simulation
