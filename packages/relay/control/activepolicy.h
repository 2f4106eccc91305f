#pragma once

#include "relay/frames/frames.h"
#include "relay/telemetry/boundedlog.h"
#include "traffic/policy/policyindex.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chervilmount::relay {

/** Decodes and checks a policy document; supplied by the platform's adapter.
 * @throws model::FindingsError with all findings. */
using PolicyParser = std::function<traffic::TrafficPolicy(const std::string &document)>;

/** Where a version of the policy came from. */
struct PolicyOrigin
{
    std::uint64_t m_version = 0;
    /** The store, or the name of the node that has sent it. */
    std::string m_source;
    std::chrono::steady_clock::time_point m_appliedAt;
};

/** Holds the policy in force. Its version only increases, whichever source the documents come from.
 */
class ActivePolicy
{
public:
    ActivePolicy(PolicyParser parser, BoundedLog &log);

    /** Puts a document into force if it is newer than the one in force and has no findings.
     * @param source where the document comes from, for the log. */
    void applyIfNewer(const PolicyDocument &document, const std::string &source);

    /** @returns the policy in force, or nullptr before the first one. */
    const std::shared_ptr<const traffic::PolicyIndex> &current() const { return m_current; }

    const PolicyDocument &document() const { return m_document; }
    /** @returns the origin of the version in force, or nullptr before the first one. */
    const std::shared_ptr<const PolicyOrigin> &origin() const { return m_origin; }
    std::uint64_t version() const { return m_document.m_version; }

    /** Called after a version has come into force. */
    std::function<void()> m_onChanged;

private:
    PolicyParser m_parser;
    BoundedLog &m_log;
    std::shared_ptr<const traffic::PolicyIndex> m_current;
    PolicyDocument m_document;
    std::shared_ptr<const PolicyOrigin> m_origin;
    /** Version that was rejected last; it is not parsed and logged again. */
    std::uint64_t m_rejected = 0;
};

} // namespace chervilmount::relay
