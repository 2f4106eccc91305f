#include "fuzz/require.h"
#include "model/findings/findingserror.h"
#include "platform/announcements.h"
#include "platform/bootsettings.h"
#include "platform/policydocument.h"
#include "relay/frames/framecodec.h"
#include "relay/store/noderow.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

using namespace chervilmount;
using chervilmount::fuzz::require;

namespace {

/** What is accepted has passed every check; what is not names at least one finding. */
template<typename Parse>
void checkFindings(Parse parse)
{
    try {
        parse();
    } catch (const model::FindingsError &error) {
        require(!error.findings().empty());
    }
}

void checkAnnouncement(const std::string &text)
{
    relay::HttpRequest request;
    request.method(boost::beast::http::verb::put);
    request.target("/instances/i-1");
    request.body() = text;
    const relay::AnnouncementMessage message = platform::parseAnnouncement(request, "127.0.0.1");
    if (const auto *announcement = std::get_if<traffic::InstanceAnnouncement>(&message))
        require(announcement->m_slots > 0 && !announcement->m_service.empty());
}

void checkFrame(const std::string &text)
{
    const std::optional<relay::Frame> frame = relay::parseFrame(text);
    if (!frame)
        return;
    std::string written;
    relay::appendFrame(*frame, written);
    require(relay::frameLength(written) + relay::LengthBytes == written.size());
    require(relay::parseFrame(std::string_view(written).substr(relay::LengthBytes)).has_value());
}

void checkNodeRow(const std::string &text)
{
    const std::optional<relay::NodeRow> row = relay::parseNodeRow({"node-1", text});
    if (row)
        require(relay::parseNodeRow(relay::toStoreRow(*row)).has_value());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string text(reinterpret_cast<const char *>(data + 1), size - 1);
    switch (data[0] % 5) {
    case 0:
        checkFindings([&text] { platform::parsePolicyDocument(text); });
        break;
    case 1:
        checkFindings([&text] { platform::parseBootSettings(text, "fuzz"); });
        break;
    case 2:
        checkAnnouncement(text);
        break;
    case 3:
        checkFrame(text);
        break;
    default:
        checkNodeRow(text);
        break;
    }
    return 0;
}
