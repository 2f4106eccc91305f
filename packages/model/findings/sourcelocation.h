#pragma once

#include <string>

namespace chervilmount::model {

/** Location of a value in the parsed documents. */
struct SourceLocation
{
    /** File or other source the document came from. */
    std::string m_source;
    /** JSON pointer (RFC 6901) to the value. */
    std::string m_pointer;
};

} // namespace chervilmount::model
