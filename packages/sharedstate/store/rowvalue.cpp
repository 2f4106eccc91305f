#include "sharedstate/store/rowvalue.h"

#include <charconv>

namespace chervilmount::sharedstate {

std::string toHex(std::uint64_t value)
{
    constexpr int Digits = 16;
    std::string text(Digits, '0');
    for (int index = Digits - 1; index >= 0; --index) {
        text[static_cast<std::size_t>(index)] = "0123456789abcdef"[value & 0xf];
        value >>= 4;
    }
    return text;
}

std::uint64_t fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const std::from_chars_result result =
            std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? value : 0;
}

std::string textMember(const boost::json::object &value, std::string_view name)
{
    const boost::json::value *member = value.if_contains(name);
    if (member == nullptr || !member->is_string())
        return {};
    return std::string(member->as_string());
}

std::uint64_t numberMember(const boost::json::object &value, std::string_view name)
{
    const boost::json::value *member = value.if_contains(name);
    if (member == nullptr)
        return 0;
    if (member->is_uint64())
        return member->as_uint64();
    return member->is_int64() && member->as_int64() > 0
            ? static_cast<std::uint64_t>(member->as_int64())
            : 0;
}

} // namespace chervilmount::sharedstate
