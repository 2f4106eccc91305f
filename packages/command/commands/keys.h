#pragma once

#include "model/digest/keydigester.h"

#include <string>

namespace chervilmount::command {

/** @returns a digester. @throws CommandError with ExitCode::File if the digest key is too short. */
model::KeyDigester makeDigester(const std::string &digestKey);

/** @returns a random key of 256 bits as 64 hex digits. */
std::string makeKey();

} // namespace chervilmount::command
