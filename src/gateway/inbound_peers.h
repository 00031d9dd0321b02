// Connections opened by other hosts: handles their messages and tracks the transactions that they have open here.
#pragma once
#include "gateway/peer_codec.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace alderward::gateway {

// Handlers for messages from other hosts and for changes of their health.
struct PeerCallbacks {
    std::function<std::shared_ptr<TargetPool>(const std::string& member)> findPool; // null if the member is unknown
    std::function<bool(const TargetAddress&)> isUnreachable; // from this host
    std::function<void(const TargetAddress&, const links::StatusQuery&, std::function<void(const StatusReport&)>)> queryStatus; // asks a member from this host
    std::function<void(const std::string& group, const std::string& member, const std::string& reason)> onAlarm;
    std::function<void(const std::string& group, const std::string& member, milliseconds time)> onHoldWrites;
    std::function<void(const std::string& host, const std::string& group, const std::string& member, uint64_t term)> onPrimaryAnnounced; // `host` ordered the promotion
    std::function<void(const peer::PendingPromotion&)> onPendingPromotion;
    std::function<void(const std::string& host, uint64_t number)> onPendingPromotionAcknowledged; // the host knows of an order that this one announced
    // Add the state that this host shares with each ping and each answer to one.
    std::function<void(peer::Ping&)> fillPing;
    std::function<void(const peer::Ping&, peer::Pong&)> fillPong;
    // `sentAt`: when the ping was sent; the other host read the state in its answer later.
    std::function<void(const std::string& host, const peer::Ping&)> onPing;
    std::function<void(const std::string& host, const peer::Pong&, TimePoint sentAt)> onPong;
    std::function<void(const std::string& host, bool isUp, const std::string& reason)> onHostChange;
    // Members known to this host, for one that cannot reach the store; and another host's answer to such a question.
    std::function<void(const peer::MembersQuestion&, peer::MembersAnswer&)> fillMembersAnswer;
    std::function<void(const std::string& host, const peer::MembersAnswer&, TimePoint sentAt)> onMembersAnswer;
    // Quotas of client accounts: the first three are called on quota servers, the others on hosts that report to one.
    std::function<peer::QuotaState(const peer::QuotaReport&)> handleQuotaReport;
    std::function<void(const std::string& host)> onQuotaReporterLost; // its last connection has ended
    std::function<peer::QuotaAnswer(const peer::QuotaAsk&)> handleQuotaAsk;
    std::function<void(const std::string& host, const peer::QuotaState&)> onQuotaState;
    std::function<void(const peer::QuotaAnswer&)> onQuotaAnswer;
};

// When each host's last ping was answered, also of hosts that are not listed.
using PongTimes = std::unordered_map<std::string, TimePoint>;

class InboundPeers {
public:
    // `callbacks` must outlive this object.
    InboundPeers(boost::asio::io_context& context, std::string name, const PeerCallbacks& callbacks);

    tl::expected<void, std::string> listen(const std::string& address);
    const PongTimes& getPongTimes() const { return m_pongTimes; }
    void forgetPongsBefore(TimePoint at);
    // Refuses further statements of open transactions, and rolls these back.
    void endTransactions() { m_isEndingTransactions = true; }
    // Whether statements are unanswered, or open transactions may go on.
    bool hasWork() const;
    // Accepts no new connections; existing ones stay open.
    void stop();
    // Sends to all hosts that have reported usage of client accounts.
    void broadcastQuotaState(const peer::QuotaState& state);

private:
    struct Connection {
        std::string host; // empty until its first ping
        std::shared_ptr<links::Channel> channel;
        std::string reporter; // the host, if it has reported usage of client accounts
        struct RemoteTransaction {
            std::shared_ptr<TargetPool> pool;
            uint64_t transaction;
        };
        std::unordered_map<uint64_t, RemoteTransaction> transactions; // by the other host's number
        struct RemoteRequest {
            std::shared_ptr<TargetPool> pool;
            uint64_t handle; // as returned by the pool
        };
        std::unordered_map<uint64_t, RemoteRequest> requests; // unanswered, by the other host's call number
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void handleMessage(const ConnectionPtr& connection, std::string_view message);
    void answerPing(const ConnectionPtr& connection, const peer::Ping& ping);
    void answerMembersQuestion(const ConnectionPtr& connection, const peer::MembersQuestion& question);
    void acknowledgePendingPromotion(const ConnectionPtr& connection, const peer::PendingPromotion& pending);
    void answerInquiry(const ConnectionPtr& connection, const peer::Inquiry& inquiry);
    void endTransaction(const ConnectionPtr& connection, uint64_t transaction);
    void handleStatementRequest(const ConnectionPtr& connection, const peer::Order& wire);
    void cancelRequest(const ConnectionPtr& connection, uint64_t call);
    bool resolveTransaction(const ConnectionPtr& connection, const std::shared_ptr<TargetPool>& pool, uint64_t remoteNumber, StatementRequest& request);
    void sendAnswer(const ConnectionPtr& connection, uint64_t call, const Outcome& outcome, const TargetPool* pool);
    void answerQuotaReport(const ConnectionPtr& connection, const peer::QuotaReport& report);
    void answerQuotaAsk(const ConnectionPtr& connection, const peer::QuotaAsk& ask);
    void answerUnknownMember(const ConnectionPtr& connection, uint64_t call);
    void removeConnection(const ConnectionPtr& connection);

    boost::asio::io_context& m_context;
    std::string m_name;
    bool m_isEndingTransactions { false };
    const PeerCallbacks& m_callbacks;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<ConnectionPtr> m_connections;
    PongTimes m_pongTimes;
};

}
