#include "standins/support/percentcoding.h"

namespace chervilmount::standins {

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%' || i + 2 >= text.size()) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
        i += 2;
    }
    return decoded;
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    std::size_t position = target.find('?');
    while (position != std::string_view::npos) {
        const std::size_t start = position + 1;
        position = target.find('&', start);
        const std::string_view pair = target.substr(start, position - start);
        if (pair.substr(0, pair.find('=')) != name)
            continue;
        const std::size_t equals = pair.find('=');
        return equals == std::string_view::npos ? std::string()
                                                : percentDecode(pair.substr(equals + 1));
    }
    return {};
}

} // namespace chervilmount::standins
