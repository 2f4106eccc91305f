#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::model {

/** The fraction of an organisation's rate and burst that is reserved for one failure domain. */
struct BaseShare
{
    std::string m_failureDomain;
    /** Fraction from 0 to 1; the fractions of one organisation add up to at most 1. */
    double m_fraction = 0.0;
};

/** A customer with a fleet-wide rate and burst. */
struct Organisation
{
    std::string m_name;
    /** Requests a second over the whole fleet. */
    double m_rate = 0.0;
    /** Requests that may be admitted at once beyond the rate, over the whole fleet. */
    double m_burst = 0.0;
    /** Base shares; if empty, the rate is divided equally among all failure domains. */
    std::vector<BaseShare> m_shares;
    /** How long keyed requests are still served after the proof that the configuration is current
     * has expired; 0 refuses them at once. */
    std::chrono::seconds m_servesWithoutProof{0};
};

} // namespace chervilmount::model
