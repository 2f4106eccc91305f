#include "sharedstate/publicationfleet.h"

#include "sharedstate/simulation/faultplan.h"

namespace chervilmount::simulation {

using namespace sharedstate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Domains = 2;
constexpr int Nodes = 6;
constexpr int MaximumTries = 15;

std::string hashOf(const std::string &set)
{
    return toHex(std::hash<std::string>()(set));
}

} // namespace

PublicationFleet::PublicationFleet(std::uint64_t seed, bool traced, const PublicationFaults &faults,
                                   const LeaseFaults &leaseFaults)
    : m_world(seed, traced)
    , m_store(m_world)
    , m_lease(m_world, m_store, "configuration", {0, 1, 2, 3}, leaseFaults)
    , m_faults(faults)
    , m_nodes(Nodes)
{
    for (int node = 0; node < Nodes; ++node)
        m_world.addNode(node % Domains);
    for (const int member : m_lease.members()) {
        LeaseSettings &settings = m_lease.state(member).m_settings;
        settings.m_leaseTime = milliseconds(3000);
        settings.m_renewalInterval = milliseconds(1000);
        settings.m_promiseTime = milliseconds(1000);
        settings.m_promiseAfter = milliseconds(1500);
        settings.m_promiseInterval = milliseconds(400);
        settings.m_longestOutage = milliseconds(20000);
        settings.m_storeUnreachableTime = milliseconds(2500);
        settings.m_successorReadInterval = milliseconds(500);
        settings.m_candidateReadInterval = milliseconds(1000);
    }
    for (int node = 0; node < Nodes; ++node)
        start(node);
}

std::vector<int> PublicationFleet::neighbours(int node) const
{
    std::vector<int> found;
    for (int other = 0; other < Nodes; ++other) {
        const bool sameDomain = other % Domains == node % Domains;
        // Each node has a bridge to one node of the other domain.
        if (other != node && (sameDomain || other / Domains == node / Domains))
            found.push_back(other);
    }
    return found;
}

void PublicationFleet::start(int node)
{
    m_nodes[index(node)] = Node();
    ConfigurationCopy &copy = m_nodes[index(node)].m_copy;
    copy.m_watcher = node / Domains < 2;
    for (const int neighbour : neighbours(node))
        copy.m_neighbours.push_back(std::to_string(neighbour));
    const std::vector<int> &members = m_lease.members();
    if (std::find(members.begin(), members.end(), node) != members.end())
        m_lease.start(node);
    m_world.every(node, milliseconds(100), [this, node]() { tick(node); });
}

PublisherRight PublicationFleet::right(int node) const
{
    const std::vector<int> &members = m_lease.members();
    if (std::find(members.begin(), members.end(), node) == members.end())
        return {};
    return {m_lease.holds(node), m_lease.epoch(node)};
}

void PublicationFleet::tick(int node)
{
    Node &self = m_nodes[index(node)];
    const TimePoint now = m_world.localTime(node);
    publisherEffects(node,
                     publisherTick(self.m_publisher, right(node), now, m_world.random(), m_faults));
    copyEffects(node, copyTick(self.m_copy, now, m_world.random()));
    ++self.m_ticks;
    if (self.m_ticks % 10 == 0) {
        for (const int to : neighbours(node))
            sendHeartbeat(node, to);
    }
    const PublicationRow *row = attestedRow(self.m_publisher, right(node));
    if (self.m_ticks % 5 == 0 && row != nullptr) {
        const FreshnessAttestation attestation{row->m_epoch, row->m_version, row->m_hash, {}};
        copyEffects(node, attestationReceived(self.m_copy, attestation, now, now));
    }
    m_checker.versionSeen(node, m_world.node(node).m_incarnation, self.m_copy.m_version,
                          self.m_copy.m_hash);
}

void PublicationFleet::sendHeartbeat(int node, int to)
{
    const LinkStamp stamp = makeStamp(m_nodes[index(node)].m_links[to],
                                      m_world.node(node).m_incarnation, m_world.localTime(node));
    m_world.send(node, to, [this, node, to, stamp]() {
        stampReceived(m_nodes[index(to)].m_links[node], stamp, m_world.localTime(to));
    });
}

void PublicationFleet::sendAttestation(int node, const AttestationForPeer &attestation)
{
    const int to = std::stoi(attestation.m_to);
    const LinkStamp stamp = makeStamp(m_nodes[index(node)].m_links[to],
                                      m_world.node(node).m_incarnation, m_world.localTime(node));
    m_world.send(node, to, [this, node, to, stamp, attestation]() {
        Node &receiver = m_nodes[index(to)];
        const TimePoint now = m_world.localTime(to);
        stampReceived(receiver.m_links[node], stamp, now);
        const auto transit = transitBound(stamp, m_world.node(to).m_incarnation, now);
        if (m_faults.m_ignoreTransit)
            copyEffects(to,
                        attestationReceived(receiver.m_copy, attestation.m_attestation, now, now));
        else if (transit)
            copyEffects(to,
                        attestationReceived(receiver.m_copy, attestation.m_attestation,
                                            now - *transit, now));
    });
}

void PublicationFleet::publisherEffects(int node, const PublisherEffects &effects)
{
    for (const StoreRequest &request : effects.m_store) {
        m_store.request(node, request, [this, node](const StoreResult &result) {
            publisherEffects(node,
                             publisherResult(m_nodes[index(node)].m_publisher, result, right(node),
                                             m_world.localTime(node), m_world.random(), m_faults));
        });
    }
    for (const ConfigurationObject &object : effects.m_committed)
        copyEffects(node, objectReceived(m_nodes[index(node)].m_copy, object));
    for (const PublishResult &result : effects.m_results) {
        const int to = std::stoi(result.m_to);
        m_world.send(node, to, [this, result]() { resultAt(result); });
    }
}

void PublicationFleet::copyEffects(int node, const CopyEffects &effects)
{
    for (const StoreRequest &request : effects.m_store) {
        m_store.request(node, request, [this, node](const StoreResult &result) {
            copyEffects(node,
                        copyResult(m_nodes[index(node)].m_copy, result, m_world.localTime(node)));
        });
    }
    for (const AttestationForPeer &attestation : effects.m_attestations)
        sendAttestation(node, attestation);
    for (const ConfigurationOffer &offer : effects.m_offers) {
        const int to = std::stoi(offer.m_to);
        m_world.send(node, to, [this, to, object = offer.m_object]() {
            copyEffects(to, objectReceived(m_nodes[index(to)].m_copy, object));
        });
    }
    for (const ConfigurationFetch &fetch : effects.m_fetches) {
        const int to = std::stoi(fetch.m_to);
        m_world.send(node, to, [this, node, to, fetch]() {
            copyEffects(
                    to,
                    fetchReceived(m_nodes[index(to)].m_copy, std::to_string(node), fetch.m_after));
        });
    }
    for (const std::string &peer : effects.m_snapshotsTo) {
        const int to = std::stoi(peer);
        const Node &self = m_nodes[index(node)];
        const ConfigurationObject snapshot{self.m_copy.m_version, self.m_copy.m_hash, 0,
                                           self.m_set};
        m_world.send(node, to, [this, to, snapshot]() {
            copyEffects(to, objectReceived(m_nodes[index(to)].m_copy, snapshot));
        });
    }
    for (const ConfigurationObject &object : effects.m_apply)
        applyObject(node, object);
}

void PublicationFleet::applyObject(int node, const ConfigurationObject &object)
{
    Node &self = m_nodes[index(node)];
    const std::string set = object.m_base == 0 ? object.m_body : self.m_set + object.m_body;
    if (hashOf(set) != object.m_hash)
        return;
    self.m_set = set;
    self.m_publications.clear();
    std::size_t begin = 0;
    for (std::size_t end = set.find(','); end != std::string::npos; end = set.find(',', begin)) {
        self.m_publications.insert(std::stoull(set.substr(begin, end - begin)));
        begin = end + 1;
    }
    if (m_world.traced())
        m_world.trace("node " + std::to_string(node) + " uses version "
                      + std::to_string(object.m_version));
    copyEffects(node, objectApplied(self.m_copy, object, m_world.localTime(node)));
}

void PublicationFleet::publish(std::uint64_t publication,
                               const std::function<void(PublishOutcome)> &action)
{
    // The operator's command is based on the version that some node reports.
    int source = std::uniform_int_distribution<int>(0, Nodes - 1)(m_world.random());
    for (int count = 0; count < Nodes && !m_world.runs(source); ++count)
        source = (source + 1) % Nodes;
    const Node &node = m_nodes[index(source)];
    Attempt &attempt = m_attempts[publication];
    attempt.m_request.m_nonce = publication;
    attempt.m_request.m_expectedVersion = node.m_copy.m_version;
    attempt.m_request.m_body = std::to_string(publication) + ",";
    attempt.m_request.m_hash = hashOf(node.m_set + attempt.m_request.m_body);
    attempt.m_action = action;
    sendAttempt(publication);
}

void PublicationFleet::sendAttempt(std::uint64_t publication)
{
    const std::map<std::uint64_t, Attempt>::iterator found = m_attempts.find(publication);
    if (found == m_attempts.end() || found->second.m_tries++ >= MaximumTries)
        return;
    const int entry = std::uniform_int_distribution<int>(0, Nodes - 1)(m_world.random());
    const int holder = m_lease.holder();
    if (holder >= 0 && m_world.runs(entry)) {
        PublishRequest request = found->second.m_request;
        request.m_from = std::to_string(entry);
        m_world.send(entry, holder, [this, holder, request]() {
            publisherEffects(holder,
                             publishRequested(m_nodes[index(holder)].m_publisher, request,
                                              right(holder), m_world.localTime(holder),
                                              m_world.random(), m_faults));
        });
    }
    m_world.after(milliseconds(1500), [this, publication]() { sendAttempt(publication); });
}

void PublicationFleet::resultAt(const PublishResult &result)
{
    const std::map<std::uint64_t, Attempt>::iterator found = m_attempts.find(result.m_nonce);
    if (m_world.traced())
        m_world.trace("operator: publication " + std::to_string(result.m_nonce) + " outcome "
                      + std::to_string(static_cast<int>(result.m_outcome)) + ", version "
                      + std::to_string(result.m_version));
    if (result.m_outcome == PublishOutcome::Accepted)
        m_checker.accepted(result.m_nonce, result.m_version, m_world.now());
    if (result.m_outcome == PublishOutcome::Conflict)
        m_checker.refused(result.m_nonce);
    const bool definite = result.m_outcome == PublishOutcome::Accepted
            || result.m_outcome == PublishOutcome::Conflict;
    if (found == m_attempts.end() || !definite)
        return;
    const std::function<void(PublishOutcome)> action = found->second.m_action;
    m_attempts.erase(found);
    if (action)
        action(result.m_outcome);
}

void PublicationFleet::operate(Nanoseconds until)
{
    if (m_world.now() >= until)
        return;
    publish(m_nextPublication++, [this, until](PublishOutcome) {
        m_world.after(m_world.between(milliseconds(100), seconds(4)),
                      [this, until]() { operate(until); });
    });
}

bool PublicationFleet::fresh(int node) const
{
    return hasFreshnessProof(m_nodes[index(node)].m_copy, m_world.localTime(node), m_faults);
}

bool PublicationFleet::serves(int node, std::uint64_t key)
{
    return fresh(node) && !m_nodes[index(node)].m_publications.contains(key);
}

void PublicationFleet::callAll(Nanoseconds until)
{
    for (int node = 0; node < Nodes; ++node) {
        if (!m_world.runs(node))
            continue;
        for (std::uint64_t key = m_nextPublication > 3 ? m_nextPublication - 3 : 1;
             key < m_nextPublication; ++key) {
            if (serves(node, key))
                m_checker.served(node, key, version(node), m_world.now());
        }
    }
    if (m_world.now() < until)
        m_world.after(milliseconds(90), [this, until]() { callAll(until); });
}

void PublicationFleet::checkFinalState()
{
    if (m_checker.acceptedCount() == 0)
        return;
    for (int node = 0; node < Nodes; ++node) {
        m_checker.finalState(node, version(node), m_nodes[index(node)].m_publications, fresh(node));
    }
}

ScheduleResult runPublicationSchedule(std::uint64_t seed, bool traced,
                                      const PublicationFaults &faults,
                                      const LeaseFaults &leaseFaults)
{
    PublicationFleet fleet(seed, traced, faults, leaseFaults);
    FaultPlan plan;
    plan.m_domains = Domains;
    plan.m_until = seconds(10);
    plan.m_longestPause = seconds(6);
    plan.m_longestOutage = seconds(5);
    plan.m_onRestart = [&fleet](int node) { fleet.start(node); };
    fleet.world().after(seconds(1), [&fleet]() { fleet.operate(seconds(13)); });
    fleet.world().after(seconds(1), [&fleet]() { fleet.operate(seconds(13)); });
    fleet.callAll(seconds(17));
    injectFaults(fleet.world(), fleet.store(), plan);
    fleet.world().run(seconds(23));
    fleet.checkFinalState();
    return {fleet.checker().violation(), fleet.world().traceText(), fleet.checker().observations()};
}

} // namespace chervilmount::simulation
