#include "command/commands/commands.h"
#include "command/commands/files.h"
#include "command/commands/keys.h"
#include "command/commands/publication.h"
#include "command/output/output.h"
#include "model/check/configurationcheck.h"
#include "model/findings/findingserror.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <ostream>
#include <thread>
#include <utility>

namespace chervilmount::command {

namespace {

namespace json = boost::json;

/** Maximum attempts to publish a change of one key if other publications cause conflicts. */
constexpr int MaximumAttempts = 5;
/** Delay before another attempt; a version reaches all nodes within this time unless the network is
 * impaired. */
constexpr std::chrono::milliseconds ConflictDelay{300};

/**
 * Applies a change of keys to the node's configuration and publishes it. After a conflict the
 * change is applied to the new version, since a change of one key does not depend on other changes.
 *
 * @returns the version with the change.
 */
std::uint64_t publishChange(const OperatorsClient &client,
                            const std::function<void(model::Configuration &)> &change)
{
    PublicationResult result;
    for (int attempt = 0; attempt < MaximumAttempts; ++attempt) {
        if (attempt > 0)
            std::this_thread::sleep_for(ConflictDelay);
        HeldConfiguration held = fetchConfiguration(client);
        change(held.m_configuration);
        const model::CheckResult check =
                model::checkConfiguration(model::withLocations(held.m_configuration, "set"));
        if (!check.m_findings.empty())
            throw model::FindingsError(check.m_findings);
        result = publishSet(client, held.m_configuration, held.m_version);
        if (result.m_code == ExitCode::Success)
            return result.m_version;
        if (result.m_code != ExitCode::Conflict)
            break;
    }
    throw CommandError(result.m_code, result.m_message);
}

} // namespace

ExitCode grantKey(const Arguments &arguments, const Streams &streams)
{
    const std::string &organisation = arguments.m_parameters[0];
    const std::string &name = arguments.m_parameters[1];
    const OperatorsClient client(arguments.m_node, arguments.m_timeout);
    const model::KeyDigester digester =
            makeDigester(readSecret(arguments.m_digestKeyFile, "--digest-key-file"));
    const bool isGenerated = arguments.m_keyFile.empty();
    const std::string key = isGenerated ? makeKey() : readSecret(arguments.m_keyFile, "--key-file");
    if (key.empty())
        throw CommandError(ExitCode::File, arguments.m_keyFile + " has no key");
    const model::Key object{name, organisation, model::toHex(digester.digest(key))};

    const std::uint64_t version = publishChange(client, [&](model::Configuration &set) {
        const bool isKnown = std::any_of(
                set.m_organisations.begin(), set.m_organisations.end(),
                [&](const model::Organisation &other) { return other.m_name == organisation; });
        if (!isKnown)
            throw CommandError(ExitCode::NotFound, "there is no organisation " + organisation);
        set.m_keys.push_back(object);
    });
    json::object result{{"name", name},
                        {"organisation", organisation},
                        {"digest", object.m_digest},
                        {"version", version}};
    // A key from a file is not printed: the operator knows it, and it must not reach logs or
    // terminals.
    if (isGenerated)
        result["key"] = key;
    print(result, arguments.m_json, streams);
    return ExitCode::Success;
}

ExitCode withdrawKey(const Arguments &arguments, const Streams &streams)
{
    const std::string &name = arguments.m_parameters[0];
    const OperatorsClient client(arguments.m_node, arguments.m_timeout);
    const std::uint64_t version = publishChange(client, [&name](model::Configuration &set) {
        const std::size_t count = std::erase_if(
                set.m_keys, [&name](const model::Key &key) { return key.m_name == name; });
        if (count == 0)
            throw CommandError(ExitCode::NotFound, "there is no key " + name);
    });
    print(json::object{{"name", name}, {"version", version}}, arguments.m_json, streams);
    return ExitCode::Success;
}

} // namespace chervilmount::command
