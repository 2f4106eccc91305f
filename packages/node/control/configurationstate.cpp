#include "node/control/configurationstate.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

bool ConfigurationState::install(model::VersionedConfiguration set)
{
    if (m_current && set.version().m_version <= m_current->version())
        return false;
    m_current = std::make_shared<const PublishedConfiguration>(std::move(set));
    return true;
}

void ConfigurationState::confirm(std::chrono::steady_clock::time_point provenAt)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, provenAt) : provenAt;
}

std::optional<std::chrono::nanoseconds>
ConfigurationState::proofAge(std::chrono::steady_clock::time_point now) const
{
    if (!m_provenAt)
        return std::nullopt;
    return now - *m_provenAt;
}

} // namespace chervilmount::node
