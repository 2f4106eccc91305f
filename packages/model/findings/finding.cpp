#include "model/findings/finding.h"

namespace chervilmount::model {

std::string toText(const Finding &finding)
{
    std::string text = finding.m_source + "#" + finding.m_pointer + ": " + finding.m_problem;
    if (!finding.m_value.empty())
        text += " (found " + finding.m_value + ")";
    if (!finding.m_remedy.empty())
        text += "; " + finding.m_remedy;
    return text;
}

} // namespace chervilmount::model
