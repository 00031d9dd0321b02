// Connections that other hosts opened to this one: what they order, ask and tell, and the transactions that they hold open here.
#pragma once
#include "gateway/peer_codec.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace alderward::gateway {

// What other hosts ask of this one.
struct PeerCallbacks {
    std::function<std::shared_ptr<TargetPool>(const std::string& member)> findPool; // empty for a member that is not known
    std::function<bool(const TargetAddress&)> isUnreachable; // this host cannot reach the target
    std::function<void(const TargetAddress&, std::function<void(const StatusReport&)>)> queryStatus;
    std::function<void(const std::string& group, const std::string& member, const std::string& reason)> onAlarm;
    std::function<void(const std::string& group, const std::string& member, milliseconds time)> onHoldWrites;
    std::function<void(const std::string& host, const std::string& group, const std::string& member, uint64_t term)> onPrimaryAnnounced; // `host` ordered it
    // Fills in what this host knows and tells with each exchange.
    std::function<void(peer::Ping&)> fillPing;
    std::function<void(const peer::Ping&, peer::Pong&)> fillPong;
    // Takes what another host tells. `sentAt` is before the time at which it was told.
    std::function<void(const std::string& host, const peer::Ping&)> onPing;
    std::function<void(const std::string& host, const peer::Pong&, TimePoint sentAt)> onPong;
    std::function<void(const std::string& host, bool isUp, const std::string& reason)> onHostChange;
    // What this host knows of members, for one that has lost the store; and what another one told.
    std::function<void(const peer::MembersQuestion&, peer::MembersAnswer&)> fillMembersAnswer;
    std::function<void(const std::string& host, const peer::MembersAnswer&, TimePoint sentAt)> onMembersAnswer;
    // Quotas of client accounts: what others have begun or want to begin, and what this host is told in return.
    std::function<peer::QuotaState(const peer::QuotaReport&)> handleQuotaReport;
    std::function<peer::QuotaAnswer(const peer::QuotaAsk&)> handleQuotaAsk;
    std::function<void(const std::string& host, const peer::QuotaState&)> onQuotaState;
    std::function<void(const std::string& host, const peer::QuotaAnswer&)> onQuotaAnswer;
};

class InboundPeers {
public:
    // `service` must outlive this.
    InboundPeers(boost::asio::io_context& context, std::string name, const PeerCallbacks& callbacks);

    tl::expected<void, std::string> listen(const std::string& address);
    // Takes no further connection; those that stand go on.
    void stop();
    // To all hosts that report what they begin of client accounts.
    void broadcastQuotaState(const peer::QuotaState& state);

private:
    // One connection.
    struct Connection {
        std::string host; // empty until its first ping
        std::shared_ptr<links::Channel> channel;
        bool isReporter { false }; // it tells what it begins of client accounts
        struct RemoteTransaction {
            std::shared_ptr<TargetPool> pool;
            uint64_t transaction;
        };
        std::unordered_map<uint64_t, RemoteTransaction> transactions; // by the other host's number
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void handleMessage(const ConnectionPtr& connection, std::string_view message);
    void answerPing(const ConnectionPtr& connection, const peer::Ping& ping);
    void answerMembersQuestion(const ConnectionPtr& connection, const peer::MembersQuestion& question);
    void answerInquiry(const ConnectionPtr& connection, const peer::Inquiry& inquiry);
    void endTransaction(const ConnectionPtr& connection, uint64_t transaction);
    void handleOrder(const ConnectionPtr& connection, const peer::Order& wire);
    bool resolveTransaction(const ConnectionPtr& connection, const std::shared_ptr<TargetPool>& pool, uint64_t remoteNumber, Order& order);
    void sendAnswer(const ConnectionPtr& connection, uint64_t call, const Outcome& outcome, const TargetPool* pool);
    void answerQuotaReport(const ConnectionPtr& connection, const peer::QuotaReport& report);
    void answerQuotaAsk(const ConnectionPtr& connection, const peer::QuotaAsk& ask);
    void answerUnknownMember(const ConnectionPtr& connection, uint64_t call);
    void removeConnection(const ConnectionPtr& connection);

    boost::asio::io_context& m_context;
    std::string m_name;
    const PeerCallbacks& m_callbacks;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<ConnectionPtr> m_connections;
};

}
