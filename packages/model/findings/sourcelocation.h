#pragma once

#include <string>

namespace chervilmount::model {

/** Where a value stands in the documents that were read. */
struct SourceLocation
{
    /** File or other source the document came from. */
    std::string m_source;
    /** JSON pointer (RFC 6901) to the value. */
    std::string m_pointer;
};

} // namespace chervilmount::model
