#include "fuzz/require.h"
#include "node/calls/requestids.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

using namespace chervilmount;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const std::optional<model::RequestId> id = node::requestIdFromHex(text);
    fuzz::require(!id || node::toHex(*id) == text);
    model::RequestId bytes{};
    if (size < bytes.size())
        return 0;
    std::copy_n(data, bytes.size(), bytes.begin());
    fuzz::require(node::requestIdFromHex(node::toHex(bytes)) == bytes);
    return 0;
}
