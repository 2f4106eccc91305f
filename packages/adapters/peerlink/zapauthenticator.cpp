#include "adapters/peerlink/zapauthenticator.h"

#include "adapters/peerlink/multipart.h"

#include <array>
#include <stdexcept>

namespace chervilmount::adapters {

namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t Z85Characters = 40;

// Frames of a request: delimiter, version, request id, domain, address, identity, mechanism, key.
constexpr std::size_t RequestFrames = 8;

std::string decodeKey(const std::string &text)
{
    std::array<std::uint8_t, KeyBytes> bytes{};
    if (text.size() != Z85Characters || zmq_z85_decode(bytes.data(), text.c_str()) == nullptr)
        throw std::invalid_argument("an accepted mesh key is not 40 characters of Z85");
    return {bytes.begin(), bytes.end()};
}

std::set<std::string> decodeKeys(const std::vector<std::string> &texts)
{
    std::set<std::string> keys;
    for (const std::string &text : texts)
        keys.insert(decodeKey(text));
    return keys;
}

zmq::socket_t bindHandler(zmq::context_t &context)
{
    zmq::socket_t socket(context, zmq::socket_type::router);
    socket.set(zmq::sockopt::linger, 0);
    socket.bind("inproc://zeromq.zap.01");
    return socket;
}

} // namespace

ZapAuthenticator::ZapAuthenticator(const boost::asio::any_io_executor &executor,
                                   zmq::context_t &context,
                                   const std::vector<std::string> &acceptedKeys)
    : m_acceptedKeys(decodeKeys(acceptedKeys))
    , m_socket(bindHandler(context))
    , m_watcher(executor, m_socket, [this] { return handle(); })
{
}

bool ZapAuthenticator::handle()
{
    while (const std::optional<std::vector<std::string>> message = receiveMultipart(m_socket)) {
        const std::vector<std::string> request(message->begin() + 1, message->end());
        if (request.size() < 3)
            continue;
        const bool accepted = isAccepted(request);
        if (!accepted)
            ++m_rejected;
        sendMultipart(m_socket,
                      {message->front(), "", "1.0", request[2], accepted ? "200" : "400",
                       accepted ? "OK" : "unknown key", accepted ? "node" : "", ""});
    }
    return false;
}

bool ZapAuthenticator::isAccepted(const std::vector<std::string> &request) const
{
    return request.size() == RequestFrames && request[1] == "1.0" && request[6] == "CURVE"
            && m_acceptedKeys.contains(request[7]);
}

} // namespace chervilmount::adapters
