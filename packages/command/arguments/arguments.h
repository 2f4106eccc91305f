#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::command {

/** The parsed command line. */
struct Arguments
{
    bool m_help = false;
    bool m_version = false;
    /** Print JSON in place of tables. */
    bool m_json = false;
    /** IP number and port of the operators' interface of a node, e.g. "10.0.0.7:7403". */
    std::string m_node;
    /** Time limit of one request to the node. */
    std::chrono::milliseconds m_timeout{10000};
    /** How long `inforce` waits for the version. */
    std::chrono::seconds m_wait{0};
    std::optional<std::uint64_t> m_expectedVersion;
    /** Files of the older configuration for `diff`; if empty, the node's configuration is the older
     * one. */
    std::vector<std::string> m_from;
    std::string m_digestKeyFile;
    std::string m_keyFile;
    std::string m_command;
    /** Arguments after the command. */
    std::vector<std::string> m_parameters;
};

/**
 * Parses a command line.
 *
 * @throws CommandError with ExitCode::Usage.
 */
Arguments parseArguments(int argc, const char **argv);

/** @returns the text of --help. */
std::string helpText();

} // namespace chervilmount::command
