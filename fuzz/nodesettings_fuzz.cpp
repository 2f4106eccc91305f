#include "fuzz/require.h"
#include "model/findings/findingserror.h"
#include "node/settings/nodesettings.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace chervilmount;
using fuzz::require;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    try {
        const node::NodeSettings settings = node::parseNodeSettings(text, "input");
        require(settings.m_heartbeatInterval.count() > 0);
        require(settings.m_platform.m_timeout.count() > 0);
    } catch (const model::FindingsError &) {
        // Findings are the expected result for most inputs.
    }
    return 0;
}
