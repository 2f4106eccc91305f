#include "standins/support/testbody.h"

#include <functional>

namespace chervilmount::standins {

std::string makeTestBody(std::string_view requestName, std::size_t size)
{
    constexpr std::size_t Letters = 26;
    std::string body(requestName);
    body += '|';
    const std::size_t offset = std::hash<std::string_view>{}(requestName) % Letters;
    body.reserve(size);
    for (std::size_t i = body.size(); i < size; ++i)
        body += static_cast<char>('a' + (offset + i) % Letters);
    return body;
}

} // namespace chervilmount::standins
