#pragma once

#include <string>
#include <vector>

namespace chervilmount::model {

/** One problem found in a document, with its location and what would be accepted instead. */
struct Finding
{
    /** File or other source the document came from. */
    std::string m_source;
    /** JSON pointer (RFC 6901) to the offending value; empty for the whole document. */
    std::string m_pointer;
    /** The offending value as JSON text; empty if the value is missing. */
    std::string m_value;
    /** What is wrong. */
    std::string m_problem;
    /** What would be accepted. */
    std::string m_remedy;
};

/** All findings of one check, in document order. */
using Findings = std::vector<Finding>;

/** Formats a finding as one human-readable line. */
std::string toText(const Finding &finding);

} // namespace chervilmount::model
