#pragma once

#include <string>
#include <vector>

namespace chervilmount::adapters {

/** CURVE keys of a node, each as 40 Z85 characters. */
struct MeshKeys
{
    std::string m_publicKey;
    std::string m_secretKey;
    /** Public keys of the peers that may connect; with a shared key pair only the own key. */
    std::vector<std::string> m_acceptedKeys;
    /** Public key that the peers' servers present; with a shared key pair the own key. */
    std::string m_serverKey;
};

/** Generates a CURVE key pair; its own public key is the only accepted key. */
MeshKeys generateMeshKeys();

} // namespace chervilmount::adapters
