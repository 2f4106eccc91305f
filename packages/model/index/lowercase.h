#pragma once

namespace chervilmount::model {

/** @returns an ASCII letter in lower case, and any other character as it is. */
constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

} // namespace chervilmount::model
