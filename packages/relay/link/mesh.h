#pragma once

#include "relay/inbound/callresult.h"
#include "relay/link/frameconnection.h"
#include "relay/timers/timerqueue.h"
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

/** What the node does for other nodes. */
struct MeshHandlers
{
    /** Runs a call beside this node; @returns the number for m_cancel. */
    std::function<std::uint64_t(Call, CallResponder)> m_run;
    std::function<void(std::uint64_t)> m_cancel;
    /** @returns the status for another node; the mesh adds this node's record if it has changed.
     */
    std::function<Status(const NodeRecord &receiver, bool withProfile)> m_status;
    /** @returns the version of the policy in force here. */
    std::function<std::uint64_t()> m_policyVersion;
    /** @returns the policy in force here as it was received. */
    std::function<PolicyDocument()> m_policyDocument;
    /** A node announced a policy version. */
    std::function<void(const std::string &node, std::uint64_t version)> m_onPolicyVersion;
    std::function<void(const PolicyDocument &)> m_onPolicyDocument;
    std::function<double(const TokenRequest &)> m_grantTokens;
    std::function<void(const TokenGrant &)> m_onTokensGranted;
    /** A link was made or lost. */
    std::function<void(const NodeRecord &, bool linked)> m_onLinkChanged;
};

/** A link that has gone silent while calls ran at the other node. It carries nothing new; the calls
 * end on it, as long as the connection lasts. */
struct RetiredLink
{
    std::shared_ptr<FrameConnection> m_link;
    std::unordered_map<std::uint64_t, CallResponder> m_calls;
};

/** Another node and the link on which this node sends it calls. */
struct Peer
{
    NodeRecord m_record;
    traffic::Target m_target;
    std::shared_ptr<FrameConnection> m_link;
    bool m_connecting = false;
    /** The other node has introduced itself on the link. */
    bool m_greeted = false;
    /** The other node's last calls to the store were answered. */
    bool m_reachesStore = false;
    std::chrono::steady_clock::time_point m_heardAt;
    std::chrono::steady_clock::time_point m_nextDial;
    std::chrono::steady_clock::time_point m_lostAt;
    std::chrono::milliseconds m_redialDelay{0};
    /** What runs beside the node do, as it last reported. */
    traffic::CallProfile m_profile;
    /** Callers' demand at the node, or in its region if that is another one. */
    traffic::Demand m_demand;
    /** Calls that wait for an answer. */
    std::unordered_map<std::uint64_t, CallResponder> m_calls;
    std::list<std::shared_ptr<RetiredLink>> m_retired;
};

/**
 * Links to the other nodes. Each node dials every node that it knows and sends its calls on that
 * link; the dialled node answers on it and reports its load, which is also its sign of life.
 */
class Mesh
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /**
     * @param self this node; its address is the one to listen on.
     * @throws std::invalid_argument if the address is malformed.
     * @throws boost::system::system_error if it cannot be bound.
     */
    Mesh(boost::asio::io_context &context, TimerQueue &timers, NodeRecord self,
         MeshHandlers handlers);
    ~Mesh();

    Mesh(const Mesh &) = delete;
    Mesh &operator=(const Mesh &) = delete;

    /** Takes a record of another node. */
    void updatePeer(const NodeRecord &record);

    /** Takes what runs beside another node were seen to do before this node started. */
    void setInitialProfile(const std::string &node, const traffic::CallProfile &profile);

    /** Changes this node's record and tells the others at once. */
    void updateSelf(const std::function<void(NodeRecord &)> &change);

    /** Sends all other nodes a status at once. */
    void sendStatuses();

    const NodeRecord &self() const { return m_self; }

    /** Dials, replaces silent links and sends statuses; to be called every 100 ms. */
    void tick(TimePoint now);

    /** @returns the linked nodes with a usable backend server of the service. */
    std::vector<const traffic::Target *> targetsOf(const std::string &service, TimePoint now) const;

    /** Sends a call. @returns its number, or 0 if the link is gone; then nothing was sent. */
    std::uint64_t call(const std::string &node, Call call, CallResponder responder);

    /** The caller has gone; the responder is not called any more. */
    void cancel(const std::string &node, std::uint64_t number);

    /** Takes how an attempt ended, for the ejection of failing backend servers. */
    void recordAttempt(const std::string &node, routing::AttemptResult result,
                       const routing::OutlierSettings &settings, TimePoint now);

    void requestPolicy(const std::string &node);
    /** Asks one of the nodes for tokens; those of the own region are preferred. */
    void requestTokens(const TokenRequest &request, const std::vector<std::string> &nodes,
                       std::uint64_t draw);

    /** @returns whether the node is in this node's region. */
    bool isInRegion(const NodeRecord &record) const { return record.m_region == m_self.m_region; }
    /** @returns whether the node has been heard lately. */
    bool isResponsive(const Peer &peer, TimePoint now) const;

    /** @returns how many other nodes are known. */
    std::size_t knownPeers() const { return m_peers.size(); }
    /** @returns how many other nodes are linked. */
    std::size_t linkedPeers() const;
    /** @returns how many links have answers that are not sent yet. */
    std::size_t linksWithUnsentAnswers() const;
    const std::unordered_map<std::string, std::unique_ptr<Peer>> &peers() const { return m_peers; }

    void close();

private:
    /** An accepted link. */
    struct Session
    {
        std::shared_ptr<FrameConnection> m_link;
        NodeRecord m_record;
        bool m_greeted = false;
        bool m_reportedSelf = false;
        TimePoint m_nextStatus;
        TimePoint m_nextProfile;
        /** Numbers of the runs here by the numbers of the calls. */
        std::unordered_map<std::uint64_t, std::uint64_t> m_runs;
        /** Bytes queued on the link up to the end of the last answer. */
        std::uint64_t m_answeredUpTo = 0;
    };

    void accept();
    void startSession(boost::asio::ip::tcp::socket socket);
    void endSession(const std::shared_ptr<Session> &session);
    void receive(const std::shared_ptr<Session> &session, Frame frame);
    void runCall(const std::shared_ptr<Session> &session, Call call);
    void sendStatus(Session &session, TimePoint now);
    void dial(Peer &peer, TimePoint now);
    void linked(Peer &peer, boost::asio::ip::tcp::socket socket);
    void receive(Peer &peer, Frame frame);
    void answered(Peer &peer, std::uint64_t id, CallResult result);
    /** The link has ended: its calls have, too. */
    void loseLink(Peer &peer, TimePoint now);
    /** The other node is silent: new calls go elsewhere, those that run there go on. */
    void retireLink(Peer &peer, TimePoint now);
    void receiveLate(Peer &peer, const std::shared_ptr<RetiredLink> &retired, Frame frame);
    /** @param retired not the one in the peer's list, which this call removes. */
    static void endRetired(Peer &peer, const std::shared_ptr<RetiredLink> &retired);
    void forgetLink(Peer &peer, TimePoint now);
    std::chrono::milliseconds statusInterval(const NodeRecord &other) const;
    Peer *find(const std::string &node);
    void place(Peer &peer) const;

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
    /** Expires with the mesh, so that late completions do not touch it. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace chervilmount::relay
