#include "command/support.h"

#include "command/command.h"

#include <boost/json/parse.hpp>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace chervilmount::tests {

CommandResult runCommand(const std::vector<std::string> &arguments, const std::string &input)
{
    std::vector<const char *> argv{"chervilmount-ctl"};
    for (const std::string &argument : arguments)
        argv.push_back(argument.c_str());
    argv.push_back(nullptr);
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const int code = command::run(static_cast<int>(argv.size()) - 1, argv.data(), {in, out, err});
    return {code, out.str(), err.str()};
}

TemporaryFile::TemporaryFile(const std::string &content)
{
    std::string name = "/tmp/chervilmount-test-XXXXXX";
    const int descriptor = mkstemp(name.data());
    if (descriptor < 0)
        throw std::runtime_error("cannot create a temporary file");
    close(descriptor);
    m_path = name;
    std::ofstream(m_path) << content;
}

TemporaryFile::~TemporaryFile()
{
    std::remove(m_path.c_str());
}

PublishingNode::PublishingNode(model::Configuration set, std::uint64_t version)
    : m_held(std::move(set), version)
{
}

command::HttpResponse PublishingNode::handle(const command::HttpRequest &request)
{
    const std::string publication = "/operators/configuration?expectedVersion=";
    if (request.m_method == "GET" && request.m_target == "/operators/configuration")
        return {200,
                model::toText(boost::json::object{{"version", m_held.version().m_version},
                                                  {"hash", model::toHex(m_held.version().m_hash)},
                                                  {"set", model::toJson(m_held.configuration())}})};
    if (request.m_method != "POST" || !request.m_target.starts_with(publication))
        return {404, R"({"reason": "no such resource"})"};
    const model::Configuration offered =
            model::loadConfiguration({{"body", request.m_body}}).m_configuration;
    const std::uint64_t expected = std::stoull(request.m_target.substr(publication.size()));
    const std::uint64_t current = m_held.version().m_version;
    if (expected != current)
        return {409,
                model::toText(boost::json::object{
                        {"outcome", "conflict"},
                        {"version", current},
                        {"difference",
                         model::toJson(model::diff(m_held.configuration(), offered))}})};
    publish(offered);
    return {200,
            model::toText(boost::json::object{{"outcome", "accepted"}, {"version", current + 1}})};
}

void PublishingNode::publish(model::Configuration set)
{
    m_held = model::VersionedConfiguration(std::move(set), m_held.version().m_version + 1);
}

std::string sourcePath(const std::string &path)
{
    return std::string(CHERVILMOUNT_SOURCE_DIR) + "/" + path;
}

} // namespace chervilmount::tests
