#include "adapters/peerlink/meshkeys.h"

#include <zmq.h>

#include <array>
#include <stdexcept>

namespace chervilmount::adapters {

MeshKeys generateMeshKeys()
{
    constexpr std::size_t Z85Length = 41;
    std::array<char, Z85Length> publicKey{};
    std::array<char, Z85Length> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        throw std::runtime_error("ZeroMQ was built without CURVE");
    MeshKeys keys{publicKey.data(), secretKey.data(), {publicKey.data()}, publicKey.data()};
    return keys;
}

} // namespace chervilmount::adapters
