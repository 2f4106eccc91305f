#pragma once

#include "model/json/document.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace chervilmount::command {

/** @returns the content of a file. @throws CommandError with ExitCode::File. */
std::string readFile(const std::string &path);

/** Reads the files of a configuration; the path is the source of each text. */
std::vector<model::SourceText> readTexts(const std::vector<std::string> &paths);

/** @returns a secret read from a file without the white space at its end.
 * @throws CommandError with ExitCode::File, or Usage if the option that names the file is missing.
 */
std::string readSecret(const std::string &path, const std::string &option);

/** @returns the rest of a stream without the white space at its end. */
std::string readSecret(std::istream &stream);

} // namespace chervilmount::command
