#pragma once

namespace chervilmount::model {

/** Converts ASCII letters to lower case; other characters are returned unchanged. */
constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

} // namespace chervilmount::model
