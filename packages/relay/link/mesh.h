#pragma once

#include "relay/inbound/callresult.h"
#include "relay/link/frameconnection.h"
#include "relay/timers/timerqueue.h"
#include "traffic/dial/dialschedule.h"
#include "traffic/placement/placement.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::relay {

/** Callbacks through which the mesh uses the rest of the node. */
struct MeshHandlers
{
    /** Runs a call at the local backend server. @returns the number to pass to m_cancel. */
    std::function<std::uint64_t(Call, CallResponder)> m_run;
    std::function<void(std::uint64_t)> m_cancel;
    /** @returns the status for another node; the mesh adds this node's record if it has changed.
     */
    std::function<Status(const NodeRecord &receiver, bool withProfile)> m_status;
    /** @returns the version of the policy in force at this node. */
    std::function<std::uint64_t()> m_policyVersion;
    /** @returns the policy in force at this node, as it was received. */
    std::function<PolicyDocument()> m_policyDocument;
    /** Called when a node announces its policy version. */
    std::function<void(const std::string &node, std::uint64_t version)> m_onPolicyVersion;
    /** Called with the highest era that the store has named to a node. */
    std::function<void(std::uint64_t era)> m_onStoreEra;
    /** Called with the policy of a node. */
    std::function<void(const std::string &node, const PolicyDocument &)> m_onPolicyDocument;
    /** @returns this node's part in the organisations' rates. */
    std::function<traffic::RateStatement()> m_rateStatement;
    /** Called when a node has become known or has opened a link, before it is answered. */
    std::function<void(const NodeRecord &)> m_onNodeSeen;
    /** Called with what a node states about its part in the rates.
     * @param isFirst whether it is the first statement on the link. */
    std::function<void(const std::string &node, const traffic::RateStatement &, bool isFirst)>
            m_onRateStatement;
    /** @returns the nodes that this node counts. */
    std::function<NodeList()> m_listNodes;
    std::function<void(const NodeList &)> m_onNodeList;
    /** @returns how many tokens are handed over; they have been subtracted here. */
    std::function<double(const TokenRequest &)> m_grantTokens;
    std::function<void(const TokenGrant &)> m_onTokensGranted;
    /** Called with departures that an earlier process of this node has made known to another one.
     */
    std::function<void(const std::vector<traffic::DepartedInstance> &)> m_onDepartures;
    /** Called when another node has reported that it holds the current record of this node. */
    std::function<void()> m_onRecordHeld;
    /** Called when a link was established or lost. */
    std::function<void(const NodeRecord &, bool linked)> m_onLinkChanged;
};

/** A link whose node stopped sending while calls were in flight. It carries no new calls, but the
 * results of these calls are still accepted until the connection ends. */
struct RetiredLink
{
    std::shared_ptr<FrameConnection> m_link;
    std::unordered_map<std::uint64_t, CallResponder> m_calls;
};

/** Another node and the outgoing link on which this node sends it calls. */
struct Peer
{
    NodeRecord m_record;
    traffic::Target m_target;
    std::shared_ptr<FrameConnection> m_link;
    /** Socket of the attempt to connect that is in progress. */
    std::shared_ptr<boost::asio::ip::tcp::socket> m_dialling;
    traffic::DialSchedule m_dial;
    /** The other node's Hello has arrived on the link. */
    bool m_helloReceived = false;
    /** The other node reports that its last calls to the store succeeded. */
    bool m_reachesStore = false;
    /** Version of this node's record that the other node holds, as reported on the link. */
    std::uint32_t m_heldVersion = 0;
    /** Departures that the node has made known, kept for its next process. */
    traffic::Departures m_departed;
    std::chrono::steady_clock::time_point m_lastReceivedAt;
    /** When the last link was lost; unset before the first one. */
    std::chrono::steady_clock::time_point m_lostAt;
    /** Call profile of the node's backend server, as last reported. */
    traffic::CallProfile m_profile;
    /** Callers' demand at the node; of its whole region if that is another region. */
    traffic::Demand m_demand;
    /** Calls in flight on the link, by number. */
    std::unordered_map<std::uint64_t, CallResponder> m_calls;
    std::list<std::shared_ptr<RetiredLink>> m_retired;
};

/**
 * Links to the other nodes. Each node connects to every node that it knows and sends its calls on
 * that link; the other node answers on it and periodically reports its status, which also serves
 * as its heartbeat.
 */
class Mesh
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /**
     * @param self this node's record.
     * @param listenAddress address to listen on; empty for the one in the record.
     * @throws std::invalid_argument if the address is malformed.
     * @throws boost::system::system_error if the address cannot be bound.
     */
    Mesh(boost::asio::io_context &context, TimerQueue &timers, NodeRecord self,
         const std::string &listenAddress, MeshHandlers handlers);
    ~Mesh();

    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /** Adds another node, or updates its record if the given one is newer. */
    void updatePeer(const NodeRecord &record);

    /** Sets a node's call profile from before this node started, until the node reports one. */
    void setInitialProfile(const std::string &node, const traffic::CallProfile &profile);

    /** Changes this node's record and sends it to the other nodes at once. */
    void updateSelf(const std::function<void(NodeRecord &)> &change);

    /** Sends all other nodes a status at once. */
    void sendStatuses();

    /** @returns the number of linked nodes that hold the current record of this node. */
    std::size_t nodesHoldingRecord() const;

    const NodeRecord &self() const { return m_self; }

    /** Connects to nodes, retires links that time out and sends statuses; call it every 100 ms. */
    void tick(TimePoint now);

    /** @returns the responsive nodes with a usable backend server of the service. */
    std::vector<const traffic::Target *> targetsOf(const std::string &service, TimePoint now) const;

    /** Sends a call. @returns its number, or 0 if there is no link and nothing was sent. */
    std::uint64_t call(const std::string &node, Call call, CallResponder responder);

    /** Cancels a call whose caller no longer waits; its responder is not called afterwards. */
    void cancel(const std::string &node, std::uint64_t number);

    /** Records the result of an attempt for outlier ejection. */
    void recordAttempt(const std::string &node, routing::AttemptResult result,
                       const routing::OutlierSettings &settings, TimePoint now);

    void requestPolicy(const std::string &node);
    /** Asks a node for those that it counts. */
    void requestNodes(const std::string &node);
    /** Asks one of the responsive nodes for tokens; nodes in this region are preferred.
     * @param draw random number that selects the node. */
    void requestTokens(const TokenRequest &request, const std::vector<std::string> &nodes,
                       std::uint64_t draw);

    /** @returns whether the node is in this node's region. */
    bool isInRegion(const NodeRecord &record) const { return record.m_region == m_self.m_region; }
    /** @returns whether the node is linked and has sent a frame recently enough to get new calls.
     */
    bool isResponsive(const Peer &peer, TimePoint now) const;

    /** @returns whether the node has missed a status, so that it may not answer. It is used only if
     * there is no other. */
    bool isSilent(const Peer &peer, TimePoint now) const;
    /** @returns a node that is known, or nothing. */
    const Peer *peerNamed(const std::string &node) const;

    /** @returns the number of other nodes that are known. */
    std::size_t knownPeers() const { return m_peers.size(); }
    /** @returns the number of other nodes that are linked. */
    std::size_t linkedPeers() const;
    /** @returns the number of accepted links with answers that are not fully sent. */
    std::size_t linksWithUnsentAnswers() const;
    const std::unordered_map<std::string, std::unique_ptr<Peer>> &peers() const { return m_peers; }

    void close();

private:
    /** A link that another node has opened to send its calls. */
    struct Session
    {
        std::shared_ptr<FrameConnection> m_link;
        NodeRecord m_record;
        bool m_helloReceived = false;
        /** The current record of this node has been sent. */
        bool m_selfRecordSent = false;
        TimePoint m_nextStatusAt;
        TimePoint m_nextProfileAt;
        /** Numbers of the local runs by the other node's call numbers. */
        std::unordered_map<std::uint64_t, std::uint64_t> m_runsByCall;
        /** Value of FrameConnection::queuedBytes() after the last answer. */
        std::uint64_t m_lastAnswerEnd = 0;
    };

    void accept();
    void startSession(boost::asio::ip::tcp::socket socket);
    void endSession(const std::shared_ptr<Session> &session);
    void receive(const std::shared_ptr<Session> &session, Frame frame);
    void runCall(const std::shared_ptr<Session> &session, Call call);
    void sendStatus(Session &session, TimePoint now);
    /** Takes over a record that the node itself has sent or stored. */
    void setRecord(Peer &peer, const NodeRecord &record);
    /** Tells a node without delay which version of its record is held here. */
    void reportHeldVersion(const std::string &node);
    /** @returns the greeting for a node. */
    Hello helloFor(const std::string &node);
    void connect(Peer &peer, TimePoint now);
    void connectEnded(const std::string &node,
                      const std::shared_ptr<boost::asio::ip::tcp::socket> &socket,
                      boost::system::error_code error);
    /** Gives up what belongs to an earlier process of the node: an attempt to connect to it, and a
     * link on which it has answered. */
    void forgetEarlierProcess(Peer &peer, TimePoint now);
    void startLink(Peer &peer, boost::asio::ip::tcp::socket socket);
    void receive(Peer &peer, Frame frame);
    void completeCall(Peer &peer, std::uint64_t id, CallResult result);
    /** Closes the link and fails its calls. */
    void loseLink(Peer &peer, TimePoint now);
    /** Stops using a link whose node has stopped sending; calls in flight on it may still end. */
    void retireLink(Peer &peer, TimePoint now);
    void receiveOnRetired(Peer &peer, const std::shared_ptr<RetiredLink> &retired, Frame frame);
    /** @param retired must not refer to the element of the peer's list, which this call removes. */
    static void closeRetired(Peer &peer, const std::shared_ptr<RetiredLink> &retired);
    void resetLink(Peer &peer, TimePoint now);
    std::chrono::milliseconds statusInterval(const NodeRecord &other) const;
    Peer *find(const std::string &node);
    void updatePlace(Peer &peer) const;

    boost::asio::io_context &m_context;
    TimerQueue &m_timers;
    NodeRecord m_self;
    MeshHandlers m_handlers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_map<std::string, std::unique_ptr<Peer>> m_peers;
    std::list<std::shared_ptr<Session>> m_sessions;
    std::uint64_t m_lastCall = 0;
    TimePoint m_lastTick;
    bool m_closed = false;
    /** Tells asynchronous handlers that run late whether the mesh still exists. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace chervilmount::relay
