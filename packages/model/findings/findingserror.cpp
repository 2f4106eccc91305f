#include "model/findings/findingserror.h"

#include <utility>

namespace chervilmount::model {

namespace {

std::string joinLines(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        if (!text.empty())
            text += '\n';
        text += toText(finding);
    }
    return text;
}

} // namespace

FindingsError::FindingsError(Findings findings)
    : std::runtime_error(joinLines(findings))
    , m_findings(std::move(findings))
{
}

} // namespace chervilmount::model
