#include "model/support.h"

#include <algorithm>

namespace chervilmount::tests {

model::Findings findingsOf(const std::vector<model::SourceText> &texts)
{
    model::Findings findings;
    model::readConfiguration(texts, findings);
    return findings;
}

bool hasFinding(const model::Findings &findings, std::string_view source, std::string_view pointer,
                std::string_view problem)
{
    return std::any_of(findings.begin(), findings.end(), [&](const model::Finding &finding) {
        return finding.m_source == source && finding.m_pointer == pointer
                && finding.m_problem.find(problem) != std::string::npos;
    });
}

} // namespace chervilmount::tests
