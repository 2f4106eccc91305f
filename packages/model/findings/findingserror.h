#pragma once

#include "model/findings/finding.h"

#include <stdexcept>

namespace chervilmount::model {

/** Thrown when a document has findings; carries all of them. */
class FindingsError : public std::runtime_error
{
public:
    /** @param findings the findings to report; at least one. */
    explicit FindingsError(Findings findings);

    /** @returns all findings, in document order. */
    const Findings &findings() const { return m_findings; }

private:
    Findings m_findings;
};

} // namespace chervilmount::model
