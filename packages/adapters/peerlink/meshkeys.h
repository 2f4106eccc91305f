#pragma once

#include <string>
#include <vector>

namespace chervilmount::adapters {

/** CURVE keys of a node, each as 40 Z85 characters. */
struct MeshKeys
{
    std::string m_publicKey;
    std::string m_secretKey;
    /** Public keys of the peers that may connect; with a shared pair only the own one. */
    std::vector<std::string> m_acceptedKeys;
    /** Public key that the peers' servers present; with a shared pair the own one. */
    std::string m_serverKey;
};

/** Creates a new CURVE key pair that accepts only itself. */
MeshKeys generateMeshKeys();

} // namespace chervilmount::adapters
