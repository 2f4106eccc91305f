#pragma once

#include "command/fakenode.h"
#include "model/model.h"

#include <string>
#include <vector>

namespace chervilmount::tests {

/** Exit code and output of one command. */
struct CommandResult
{
    int m_code = -1;
    std::string m_out;
    std::string m_err;
};

/** Runs a command line in this process. */
CommandResult runCommand(const std::vector<std::string> &arguments, const std::string &input = "");

/** Writes a file that is removed with this object. */
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content);
    ~TemporaryFile();

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/** Fake node that publishes like a real one: checks the expected version, reports conflicts and
 * returns the current set. */
class PublishingNode
{
public:
    explicit PublishingNode(model::Configuration set, std::uint64_t version);

    /** Handles requests for the configuration; responds 404 to others. */
    command::HttpResponse handle(const command::HttpRequest &request);

    const model::VersionedConfiguration &held() const { return m_held; }

    /** Publishes a set like another operator. */
    void publish(model::Configuration set);

private:
    model::VersionedConfiguration m_held;
};

/** Path of a file below the source folder. */
std::string sourcePath(const std::string &path);

} // namespace chervilmount::tests
