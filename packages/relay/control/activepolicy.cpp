#include "relay/control/activepolicy.h"

#include "model/findings/findingserror.h"

#include <utility>

namespace chervilmount::relay {

ActivePolicy::ActivePolicy(PolicyParser parser, BoundedLog &log)
    : m_parser(std::move(parser))
    , m_log(log)
{
}

void ActivePolicy::applyIfNewer(const PolicyDocument &document, const std::string &source)
{
    if (document.m_version <= m_document.m_version || document.m_version == m_rejected)
        return;
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    try {
        m_current = std::make_shared<const traffic::PolicyIndex>(m_parser(document.m_document));
    } catch (const model::FindingsError &error) {
        m_rejected = document.m_version;
        m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Error,
                             {{"event", "policy-rejected"},
                              {"version", std::to_string(document.m_version)},
                              {"in_force", std::to_string(m_document.m_version)},
                              {"findings", error.what()}},
                             now);
        return;
    }
    const std::uint64_t before = m_document.m_version;
    m_document = document;
    m_origin = std::make_shared<const PolicyOrigin>(PolicyOrigin{document.m_version, source, now});
    m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Info,
                         {{"event", "policy-in-force"},
                          {"version", std::to_string(document.m_version)},
                          {"before", std::to_string(before)},
                          {"source", source}},
                         now);
    for (const model::Finding &notice : m_current->policy().m_notices)
        m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Warn,
                             {{"event", "policy-notice"},
                              {"version", std::to_string(document.m_version)},
                              {"finding", model::toText(notice)}},
                             now);
    if (m_onChanged)
        m_onChanged();
}

} // namespace chervilmount::relay
