#include "command/commands/commands.h"
#include "command/commands/files.h"
#include "command/commands/keys.h"
#include "command/commands/publication.h"
#include "command/output/output.h"
#include "model/check/configurationcheck.h"
#include "model/digest/keydigester.h"
#include "model/findings/findingsjson.h"
#include "model/json/text.h"
#include "model/version/configurationdiff.h"
#include "model/version/objecthashes.h"

#include <ostream>
#include <utility>

namespace chervilmount::command {

namespace json = boost::json;

ExitCode check(const Arguments &arguments, const Streams &streams)
{
    const model::LoadedConfiguration loaded =
            model::loadConfiguration(readTexts(arguments.m_parameters));
    const std::string hash = model::toHex(model::configurationHash(loaded.m_configuration));
    if (arguments.m_json) {
        printJson(json::object{{"findings", json::array()},
                               {"notes", model::toJson(loaded.m_notes)},
                               {"hash", hash}},
                  streams);
        return ExitCode::Success;
    }
    for (const model::Finding &note : loaded.m_notes)
        streams.m_out << "note: " << model::toText(note) << "\n";
    json::object counts;
    model::visitKinds(loaded.m_configuration,
                      [&counts](model::ObjectKind kind, const auto &objects) {
                          counts[model::sectionName(kind)] = objects.size();
                      });
    counts["hash"] = hash;
    streams.m_out << "no findings\n" << toTable(counts);
    return ExitCode::Success;
}

ExitCode compare(const Arguments &arguments, const Streams &streams)
{
    const model::Configuration to =
            model::loadConfiguration(readTexts(arguments.m_parameters)).m_configuration;
    model::Configuration from;
    if (arguments.m_from.empty()) {
        const OperatorsClient client(arguments.m_node, arguments.m_timeout);
        from = fetchConfiguration(client).m_configuration;
    } else {
        from = model::loadConfiguration(readTexts(arguments.m_from)).m_configuration;
    }
    const json::array differences = model::toJson(model::diff(from, to));
    if (arguments.m_json)
        printJson(json::object{{"difference", differences}}, streams);
    else
        streams.m_out << (differences.empty() ? "no difference\n" : differenceText(differences));
    return ExitCode::Success;
}

ExitCode printDigest(const Arguments &arguments, const Streams &streams)
{
    const model::KeyDigester digester =
            makeDigester(readSecret(arguments.m_digestKeyFile, "--digest-key-file"));
    const std::string key = readSecret(streams.m_in);
    if (key.empty())
        throw CommandError(ExitCode::Usage, "there is no key on standard input");
    const std::string digest = model::toHex(digester.digest(key));
    if (arguments.m_json)
        printJson(json::object{{"digest", digest}}, streams);
    else
        streams.m_out << digest << "\n";
    return ExitCode::Success;
}

} // namespace chervilmount::command
