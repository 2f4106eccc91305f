#include "fuzz/require.h"
#include "node/entry/recordedresponse.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

using namespace chervilmount::node;
using chervilmount::fuzz::require;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    const std::optional<RecordedResponse> response = recordedResponseFromBytes(bytes);
    if (!response)
        return 0;
    // A response that was read must be the same after it is written and read again.
    const std::string written = toBytes(*response);
    const std::optional<RecordedResponse> again = recordedResponseFromBytes(written);
    require(again.has_value() && again->m_body == response->m_body && toBytes(*again) == written);
    return 0;
}
