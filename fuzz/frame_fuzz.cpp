#include "fuzz/require.h"
#include "messages/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

using namespace chervilmount::messages;
using chervilmount::fuzz::require;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const std::optional<Frame> frame = decodeFrame(bytes);
    if (!frame)
        return 0;
    // What was decoded must be encoded and decoded again without a change.
    const std::string encoded = encodeFrame(*frame);
    const std::optional<Frame> again = decodeFrame(encoded);
    require(again.has_value() || encoded.size() > MaximumFrameBytes);
    require(!again || (again->index() == frame->index() && encodeFrame(*again) == encoded));
    return 0;
}
