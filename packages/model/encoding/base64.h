#pragma once

#include <string>

namespace chervilmount::model {

/** @returns the bytes in base64; JSON has no place for arbitrary bytes. */
std::string toBase64(const std::string &bytes);

/** @returns the bytes, or empty if the text is not base64. */
std::string fromBase64(const std::string &text);

} // namespace chervilmount::model
