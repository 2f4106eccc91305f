#pragma once

#include "command/arguments/exitcode.h"
#include "command/http/operatorsclient.h"
#include "model/configuration/configuration.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>

namespace chervilmount::command {

/** The configuration that a node holds. */
struct HeldConfiguration
{
    std::uint64_t m_version = 0;
    /** Set hash as hex digits. */
    std::string m_hash;
    model::Configuration m_configuration;
};

/**
 * Reads the configuration of a node.
 *
 * @throws CommandError with UnexpectedResponse if the response cannot be read in full or does not
 * match its hash; publishing a partially read set would delete the rest.
 */
HeldConfiguration fetchConfiguration(const OperatorsClient &client);

/** Outcome of a publication. */
struct PublicationResult
{
    /** Success, Findings, Conflict, Unavailable or OutcomeUnknown. */
    ExitCode m_code = ExitCode::Success;
    /** The version in force after the publication; 0 if it is not known. */
    std::uint64_t m_version = 0;
    /** The node's response; null if there was none. */
    boost::json::value m_response;
    std::string m_message;
};

/**
 * Publishes a set. If the outcome is unknown, the node's configuration is read once: if it has the
 * hash of the set, the publication was accepted.
 */
PublicationResult publishSet(const OperatorsClient &client, const model::Configuration &set,
                             std::uint64_t expectedVersion);

} // namespace chervilmount::command
