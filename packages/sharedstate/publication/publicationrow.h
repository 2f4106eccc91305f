#pragma once

#include "sharedstate/store/rowvalue.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Name of the row that holds the current version. */
constexpr const char *PublicationRowName = "configuration/current";

/** Number of publications kept in the row; the last snapshot is never older than these. */
constexpr std::size_t RememberedPublications = 64;

/** One publication as kept in the row. */
struct PublicationEntry
{
    std::uint64_t m_version = 0;
    std::string m_hash;
    /** Chosen by the operator's command, so that a repeated command finds its own publication. */
    Nonce m_nonce = 0;
};

/** The value of the row `configuration/current`. */
struct PublicationRow
{
    std::uint64_t m_version = 0;
    std::string m_hash;
    /** Epoch of the lease whose holder wrote the row last. */
    std::uint64_t m_epoch = 0;
    /** Identifies the last write of the row. */
    Nonce m_nonce = 0;
    /** The newest publications, oldest first. */
    std::vector<PublicationEntry> m_recent;
};

/** @returns the name of the object that holds a version. */
std::string publicationObject(std::uint64_t version, const std::string &hash);

boost::json::object toValue(const PublicationRow &row);

PublicationRow parsePublicationRow(const boost::json::object &value);

} // namespace chervilmount::sharedstate
