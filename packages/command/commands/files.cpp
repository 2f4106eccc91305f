#include "command/commands/files.h"

#include "command/arguments/exitcode.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <istream>
#include <iterator>

namespace chervilmount::command {

namespace {

std::string withoutTrailingSpace(std::string text)
{
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    text.resize(last == std::string::npos ? 0 : last + 1);
    return text;
}

} // namespace

std::string readFile(const std::string &path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    const bool isOpen = file.is_open();
    std::string text;
    bool isRead = false;
    try {
        text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
        isRead = isOpen && !file.bad();
    } catch (const std::ios_base::failure &) {
        // libstdc++ throws when the path is a folder, although exceptions are not enabled.
        isRead = false;
    }
    if (!isRead)
        throw CommandError(ExitCode::File, "cannot read " + path + ": " + std::strerror(errno));
    return text;
}

std::vector<model::SourceText> readTexts(const std::vector<std::string> &paths)
{
    std::vector<model::SourceText> texts;
    for (const std::string &path : paths)
        texts.push_back({path, readFile(path)});
    return texts;
}

std::string readSecret(const std::string &path, const std::string &option)
{
    if (path.empty())
        throw CommandError(ExitCode::Usage, "this command needs " + option + " FILE");
    return withoutTrailingSpace(readFile(path));
}

std::string readSecret(std::istream &stream)
{
    return withoutTrailingSpace(
            {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()});
}

} // namespace chervilmount::command
