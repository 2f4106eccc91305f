#include "command/commands/keys.h"

#include "command/arguments/exitcode.h"

#include <openssl/rand.h>

#include <stdexcept>

namespace chervilmount::command {

model::KeyDigester makeDigester(const std::string &digestKey)
{
    try {
        return model::KeyDigester(digestKey);
    } catch (const std::invalid_argument &error) {
        throw CommandError(ExitCode::File, error.what());
    }
}

std::string makeKey()
{
    model::Digest bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("OpenSSL has no random numbers");
    return model::toHex(bytes);
}

} // namespace chervilmount::command
