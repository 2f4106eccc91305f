#include "traffic/instance/instanceregister.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

InstanceAnnouncement announcement(const std::string &id, std::chrono::milliseconds startedAt,
                                  std::uint64_t sequence,
                                  InstanceState state = InstanceState::Ready)
{
    InstanceAnnouncement result;
    result.m_id = id;
    result.m_service = "slips";
    result.m_address = "127.0.0.1:80";
    result.m_slots = 10;
    result.m_state = state;
    result.m_sequence = sequence;
    result.m_startedAt = startedAt;
    return result;
}

/** @returns a register whose first backend server needs no confirmation. */
InstanceRegister confirmedRegister()
{
    InstanceRegister instances;
    instances.m_isConfirmed = true;
    return instances;
}

} // namespace

// Guards against new work for a departed backend server when an earlier announcement arrives after
// the departure message.
TEST_CASE("A late announcement does not bring back a backend server that leaves")
{
    InstanceRegister instances = confirmedRegister();
    CHECK(announce(instances, announcement("a", 1s, 1)) == AnnouncementEffect::Changed);
    CHECK(announce(instances, announcement("a", 1s, 2)) == AnnouncementEffect::Renewed);
    CHECK(announce(instances, announcement("a", 1s, 4, InstanceState::Draining))
          == AnnouncementEffect::Leaving);
    CHECK(announce(instances, announcement("a", 1s, 3)) == AnnouncementEffect::Ignored);
    CHECK(announce(instances, announcement("a", 1s, 5)) == AnnouncementEffect::Ignored);
    CHECK_FALSE(instances.m_usable);
}

// Guards against ignoring a restarted backend server because the previous start with the same id
// has departed.
TEST_CASE("A later start under the same id is used, its counts begin anew")
{
    InstanceRegister instances = confirmedRegister();
    announce(instances, announcement("a", 1s, 7));
    CHECK(depart(instances, "a", 0ms, 100s) == AnnouncementEffect::Leaving);
    CHECK(announce(instances, announcement("a", 2s, 1)) == AnnouncementEffect::Changed);
    CHECK(instances.m_usable);
    // The earlier start's messages are still on their way.
    CHECK(announce(instances, announcement("a", 1s, 9)) == AnnouncementEffect::Ignored);
    CHECK(depart(instances, "a", 1s, 100s) == AnnouncementEffect::Ignored);
    CHECK(instances.m_usable);
}

// Guards against replacing a backend server by its crashed predecessor when an announcement is
// late.
TEST_CASE("An announcement of an earlier start does not replace a later one")
{
    InstanceRegister instances = confirmedRegister();
    announce(instances, announcement("b", 5s, 1));
    CHECK(announce(instances, announcement("a", 1s, 9)) == AnnouncementEffect::Ignored);
    CHECK(instances.m_current->m_id == "b");
    CHECK(announce(instances, announcement("c", 6s, 1)) == AnnouncementEffect::Changed);
    CHECK(instances.m_current->m_id == "c");
}

// Guards against losing departures when the node restarts.
TEST_CASE("Recorded departures hold after a restart")
{
    InstanceRegister before = confirmedRegister();
    announce(before, announcement("a", 1s, 1));
    depart(before, "a", 0ms, 100s);
    InstanceRegister after;
    restoreDepartures(after, toList(before.m_departed));
    CHECK(announce(after, announcement("a", 1s, 2)) == AnnouncementEffect::Ignored);
    CHECK_FALSE(after.m_usable);
}

// Guards against departures that are loaded from the store after the first announcement.
TEST_CASE("A departure that is restored late still stops new work")
{
    InstanceRegister instances = confirmedRegister();
    announce(instances, announcement("a", 1s, 1));
    restoreDepartures(instances, {{"a", 1s}});
    CHECK_FALSE(instances.m_usable);
}

// Guards against using a departed backend server again: a node that had just started acknowledged a
// departure message without a start time, and an earlier announcement arrived late.
TEST_CASE("A departure without a start holds for every start before it")
{
    InstanceRegister instances = confirmedRegister();
    const bool isFoundByStatusCheck = GENERATE(false, true);
    if (isFoundByStatusCheck)
        announce(instances, announcement("a", 0ms, 0));
    depart(instances, "a", 0ms, 100s);
    CHECK_FALSE(instances.m_usable);
    CHECK(announce(instances, announcement("a", 90s, 12)) == AnnouncementEffect::Ignored);
    CHECK_FALSE(instances.m_usable);
    // The same name may be used by a later start.
    CHECK(announce(instances, announcement("a", 101s, 1)) == AnnouncementEffect::Changed);
}

// Guards against a server that is used again although an earlier process of the node has
// acknowledged its departure: an announcement from before may arrive late.
TEST_CASE("An announcement after the start of the node is not enough to use a backend server")
{
    InstanceRegister instances;
    CHECK(announce(instances, announcement("a", 1s, 7)) == AnnouncementEffect::Unconfirmed);
    CHECK_FALSE(instances.m_usable);
    SECTION("a status check confirms it, and its successors need none")
    {
        CHECK(confirm(instances, announcement("b", 0ms, 0)) == AnnouncementEffect::Ignored);
        CHECK(confirm(instances, announcement("a", 0ms, 0)) == AnnouncementEffect::Changed);
        CHECK(instances.m_usable);
        CHECK(instances.m_current->m_sequence == 7);
        CHECK(announce(instances, announcement("c", 2s, 1)) == AnnouncementEffect::Changed);
        CHECK(instances.m_usable);
    }
    SECTION("a departure that becomes known later keeps it out of use")
    {
        restoreDepartures(instances, {{"a", 1s}});
        CHECK(isLeaving(instances));
        CHECK(confirm(instances, announcement("a", 0ms, 0)) == AnnouncementEffect::Ignored);
        CHECK_FALSE(instances.m_usable);
    }
    SECTION("its later start under the same id is confirmed although an earlier one has departed")
    {
        restoreDepartures(instances, {{"a", 1s}});
        CHECK(announce(instances, announcement("a", 2s, 1)) == AnnouncementEffect::Unconfirmed);
        CHECK(confirm(instances, announcement("a", 0ms, 0)) == AnnouncementEffect::Changed);
    }
    SECTION("it is used after some announcements in a row whatever its status checks say")
    {
        CHECK(announce(instances, announcement("a", 1s, 8)) == AnnouncementEffect::Unconfirmed);
        CHECK(announce(instances, announcement("a", 1s, 8)) == AnnouncementEffect::Ignored);
        CHECK(announce(instances, announcement("a", 1s, 9)) == AnnouncementEffect::Unconfirmed);
        CHECK(announce(instances, announcement("a", 1s, 10)) == AnnouncementEffect::Changed);
        CHECK(instances.m_usable);
    }
}

// Guards against a list of departures that grows with each backend server.
TEST_CASE("Only the latest departures are kept")
{
    Departures departures;
    for (int start = 0; start < 1000; ++start)
        mergeDepartures(departures, {{"i" + std::to_string(start), std::chrono::seconds(start)}});
    CHECK(toList(departures).size() == 16);
    CHECK(departures.contains("i999"));
}
