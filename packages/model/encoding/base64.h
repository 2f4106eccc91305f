#pragma once

#include <string>

namespace chervilmount::model {

/** Encodes bytes for use in JSON strings, which cannot hold arbitrary bytes. */
std::string toBase64(const std::string &bytes);

/** @returns the decoded bytes; empty if the text is not valid base64. */
std::string fromBase64(const std::string &text);

} // namespace chervilmount::model
