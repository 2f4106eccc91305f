#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::model {

/** The part of an organisation's rate and burst that one failure domain always has. */
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
    /** Base shares; empty divides the rate equally over all failure domains. */
    std::vector<BaseShare> m_shares;
    /** How long keyed requests are served without a freshness proof; 0 refuses them at once. */
    std::chrono::seconds m_servesWithoutProof{0};
};

} // namespace chervilmount::model
