#include "gateway/inbound_peers.h"
#include "base/families.h"
#include "links/http.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

InboundPeers::InboundPeers(boost::asio::io_context& context, std::string name, const PeerCallbacks& callbacks)
    : m_context(context)
    , m_name(std::move(name))
    , m_callbacks(callbacks)
    , m_acceptor(context)
{
}

tl::expected<void, std::string> InboundPeers::listen(const std::string& address)
{
    if (auto listening = links::listenOn(m_acceptor, address); !listening)
        return listening;
    accept();
    return {};
}

void InboundPeers::stop()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

bool InboundPeers::hasWork() const
{
    return std::ranges::any_of(m_connections, [this](const ConnectionPtr& it) { return !it->requests.empty() || (!m_isEndingTransactions && !it->transactions.empty()); });
}

void InboundPeers::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec) {
            auto connection = std::make_shared<Connection>();
            connection->channel = std::make_shared<links::Channel>(m_context.get_executor(), links::ChannelOptions { links::splitFrame });
            m_connections.insert(connection);
            connection->channel->start(
                std::move(socket), [this, connection](std::string_view message) { handleMessage(connection, message); }, [this, connection](const std::string&) { removeConnection(connection); });
        }
        accept();
    });
}

void InboundPeers::handleMessage(const ConnectionPtr& connection, std::string_view message)
{
    peer::Frame frame;
    if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        connection->channel->close();
        removeConnection(connection);
        return;
    }
    if (frame.has_order())
        handleStatementRequest(connection, frame.order());
    else if (frame.has_end_transaction())
        endTransaction(connection, frame.end_transaction().transaction());
    else if (frame.has_cancel())
        cancelRequest(connection, frame.cancel().call());
    else if (frame.has_ping())
        answerPing(connection, frame.ping());
    else if (frame.has_inquiry())
        answerInquiry(connection, frame.inquiry());
    else if (frame.has_alarm())
        m_callbacks.onAlarm(frame.alarm().group(), frame.alarm().member(), "host " + connection->host + ": " + frame.alarm().reason());
    else if (frame.has_lead())
        m_callbacks.onPrimaryAnnounced(connection->host, frame.lead().group(), frame.lead().member(), frame.lead().term());
    else if (frame.has_pending_promotion())
        acknowledgePendingPromotion(connection, frame.pending_promotion());
    else if (frame.has_members_question())
        answerMembersQuestion(connection, frame.members_question());
    else if (frame.has_quota_report())
        answerQuotaReport(connection, frame.quota_report());
    else if (frame.has_quota_ask())
        answerQuotaAsk(connection, frame.quota_ask());
    else if (frame.has_hold_writes())
        m_callbacks.onHoldWrites(frame.hold_writes().group(), frame.hold_writes().member(), milliseconds(frame.hold_writes().for_ms()));
}

void InboundPeers::answerPing(const ConnectionPtr& connection, const peer::Ping& ping)
{
    connection->host = ping.host();
    m_callbacks.onPing(connection->host, ping);
    peer::Frame reply;
    reply.mutable_pong()->set_number(ping.number());
    m_callbacks.fillPong(ping, *reply.mutable_pong());
    sendFrame(*connection->channel, reply);
    m_pongTimes[connection->host] = Clock::now();
}

void InboundPeers::forgetPongsBefore(TimePoint at)
{
    std::erase_if(m_pongTimes, [&](auto& it) { return it.second < at; });
}

void InboundPeers::answerQuotaReport(const ConnectionPtr& connection, const peer::QuotaReport& report)
{
    connection->reporter = report.host();
    peer::Frame reply;
    *reply.mutable_quota_state() = m_callbacks.handleQuotaReport(report);
    sendFrame(*connection->channel, reply);
}

void InboundPeers::answerQuotaAsk(const ConnectionPtr& connection, const peer::QuotaAsk& ask)
{
    peer::Frame reply;
    *reply.mutable_quota_answer() = m_callbacks.handleQuotaAsk(ask);
    sendFrame(*connection->channel, reply);
}

void InboundPeers::broadcastQuotaState(const peer::QuotaState& state)
{
    peer::Frame frame;
    *frame.mutable_quota_state() = state;
    for (auto& it : m_connections) {
        if (!it->reporter.empty())
            sendFrame(*it->channel, frame);
    }
}

void InboundPeers::acknowledgePendingPromotion(const ConnectionPtr& connection, const peer::PendingPromotion& pending)
{
    m_callbacks.onPendingPromotion(pending);
    if (pending.number() == 0)
        return;
    peer::Frame reply;
    reply.mutable_pending_promotion_acknowledgement()->set_number(pending.number());
    sendFrame(*connection->channel, reply);
}

void InboundPeers::answerMembersQuestion(const ConnectionPtr& connection, const peer::MembersQuestion& question)
{
    peer::Frame reply;
    m_callbacks.fillMembersAnswer(question, *reply.mutable_members_answer());
    sendFrame(*connection->channel, reply);
}

void InboundPeers::answerInquiry(const ConnectionPtr& connection, const peer::Inquiry& inquiry)
{
    links::StatusQuery query { static_cast<links::ReplicationChange>(inquiry.change()), inquiry.term() };
    m_callbacks.queryStatus({ inquiry.member(), inquiry.group(), inquiry.address() }, query, [connection, call = inquiry.call()](const StatusReport& report) {
        peer::Frame reply;
        reply.mutable_finding()->set_call(call);
        encodeStatus(*reply.mutable_finding(), report);
        sendFrame(*connection->channel, reply);
    });
}

void InboundPeers::endTransaction(const ConnectionPtr& connection, uint64_t transaction)
{
    auto it = connection->transactions.find(transaction);
    if (it == connection->transactions.end())
        return;
    it->second.pool->endTransaction(it->second.transaction);
    connection->transactions.erase(it);
}

void InboundPeers::sendAnswer(const ConnectionPtr& connection, uint64_t call, const Outcome& outcome, const TargetPool* pool)
{
    peer::Frame frame;
    auto& answer = *frame.mutable_answer();
    answer.set_call(call);
    encodeOutcome(answer, outcome);
    if (pool)
        encodeLoad(*answer.mutable_load(), pool->getTarget().member, pool->getLoad(), m_callbacks.isUnreachable(pool->getTarget()));
    sendFrame(*connection->channel, frame);
}

void InboundPeers::answerUnknownMember(const ConnectionPtr& connection, uint64_t call)
{
    peer::Frame frame;
    auto& answer = *frame.mutable_answer();
    answer.set_call(call);
    answer.set_lacks_member(true);
    encodeOutcome(answer, decisions::makeFailure(ErrorKind::TargetUnreachable, "host " + m_name + " does not know the member"));
    sendFrame(*connection->channel, frame);
}

// Replaces the remote host's transaction number by the pool's own. Returns false if the transaction is unknown.
bool InboundPeers::resolveTransaction(const ConnectionPtr& connection, const std::shared_ptr<TargetPool>& pool, uint64_t remoteNumber, StatementRequest& request)
{
    if (request.kind == RequestKind::Begin) {
        request.transaction = pool->takeTransactionNumber();
        connection->transactions[remoteNumber] = { pool, request.transaction };
        return true;
    }
    auto it = connection->transactions.find(remoteNumber);
    if (it == connection->transactions.end())
        return false;
    auto known = it->second;
    if (request.statement.kind == decisions::StatementKind::Commit) // no end of the transaction follows
        connection->transactions.erase(it);
    request.transaction = known.transaction;
    return known.pool == pool;
}

void InboundPeers::handleStatementRequest(const ConnectionPtr& connection, const peer::Order& wire)
{
    auto request = decodeStatementRequest(wire, Clock::now());
    auto pool = m_callbacks.findPool(wire.member());
    if (!pool) {
        answerUnknownMember(connection, wire.call());
        return;
    }
    auto reply = [this, connection, call = wire.call(), pool](const Outcome& outcome) {
        connection->requests.erase(call);
        sendAnswer(connection, call, outcome, pool.get());
    };
    bool isInTransaction = request.kind == RequestKind::Begin || request.kind == RequestKind::Continue;
    if (isInTransaction && !resolveTransaction(connection, pool, wire.transaction(), request)) {
        reply(decisions::makeFailure(ErrorKind::TransactionAborted, "the transaction is unknown to this host"));
        return;
    }
    if (m_isEndingTransactions && request.kind == RequestKind::Continue) {
        pool->endTransaction(request.transaction);
        connection->transactions.erase(wire.transaction());
        reply(decisions::makeFailure(ErrorKind::TransactionAborted, "host " + m_name + " is stopping: the transaction was rolled back"));
        return;
    }
    connection->requests[wire.call()] = { pool, pool->submit(std::move(request), reply) };
}

void InboundPeers::cancelRequest(const ConnectionPtr& connection, uint64_t call)
{
    auto it = connection->requests.find(call);
    if (it != connection->requests.end())
        it->second.pool->cancel(it->second.handle);
}

// Removes the waiting requests of the connection, whose answers can no longer be delivered, and ends the transactions begun on it, as the
// remote host can no longer do so.
void InboundPeers::removeConnection(const ConnectionPtr& connection)
{
    auto requests = std::move(connection->requests);
    connection->requests.clear();
    for (auto& [call, request] : requests) {
        if (request.pool->cancel(request.handle) == CancelResult::Removed)
            base::incrementCounter(base::MetricFamily::Abandoned, { { "stage", "queue" } });
    }
    auto transactions = std::move(connection->transactions);
    connection->transactions.clear();
    for (auto& [number, remote] : transactions)
        remote.pool->endTransaction(remote.transaction);
    m_connections.erase(connection);
    bool isReporter = !connection->reporter.empty();
    if (isReporter && std::ranges::none_of(m_connections, [&](const ConnectionPtr& it) { return it->reporter == connection->reporter; }))
        m_callbacks.onQuotaReporterLost(connection->reporter);
}

}
