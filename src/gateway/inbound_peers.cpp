#include "gateway/inbound_peers.h"
#include "links/http.h"

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

InboundPeers::InboundPeers(boost::asio::io_context& context, std::string name, const PeerService& service)
    : m_context(context)
    , m_name(std::move(name))
    , m_service(service)
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

void InboundPeers::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec) {
            auto peer = std::make_shared<Peer>();
            peer->channel = std::make_shared<links::Channel>(m_context.get_executor(), links::ChannelOptions { links::splitFrame });
            m_peers.insert(peer);
            peer->channel->start(
                std::move(socket), [this, peer](std::string_view message) { takeMessage(peer, message); }, [this, peer](const std::string&) { lose(peer); });
        }
        accept();
    });
}

void InboundPeers::takeMessage(const PeerPtr& peer, std::string_view message)
{
    peer::Frame frame;
    if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        peer->channel->close();
        lose(peer);
        return;
    }
    if (frame.has_order())
        serveOrder(peer, frame.order());
    else if (frame.has_end_transaction())
        endTransaction(peer, frame.end_transaction().transaction());
    else if (frame.has_ping())
        answerPing(peer, frame.ping());
    else if (frame.has_inquiry())
        answerInquiry(peer, frame.inquiry());
    else if (frame.has_alarm())
        m_service.onAlarm(frame.alarm().group(), frame.alarm().member(), "host " + peer->host + ": " + frame.alarm().reason());
    else if (frame.has_lead())
        m_service.onLead(peer->host, frame.lead().group(), frame.lead().member(), frame.lead().term());
    else if (frame.has_members_question())
        tellMembers(peer, frame.members_question());
    else if (frame.has_quota_report())
        answerQuotaReport(peer, frame.quota_report());
    else if (frame.has_quota_ask())
        answerQuotaAsk(peer, frame.quota_ask());
    else if (frame.has_hold_writes())
        m_service.onHoldWrites(frame.hold_writes().group(), frame.hold_writes().member(), milliseconds(frame.hold_writes().for_ms()));
}

void InboundPeers::answerPing(const PeerPtr& peer, const peer::Ping& ping)
{
    peer->host = ping.host();
    m_service.onPing(peer->host, ping);
    peer::Frame reply;
    reply.mutable_pong()->set_number(ping.number());
    m_service.fillPong(ping, *reply.mutable_pong());
    sendFrame(*peer->channel, reply);
}

void InboundPeers::answerQuotaReport(const PeerPtr& peer, const peer::QuotaReport& report)
{
    peer->isReporter = true;
    peer::Frame reply;
    *reply.mutable_quota_state() = m_service.takeQuotaReport(report);
    sendFrame(*peer->channel, reply);
}

void InboundPeers::answerQuotaAsk(const PeerPtr& peer, const peer::QuotaAsk& ask)
{
    peer::Frame reply;
    *reply.mutable_quota_answer() = m_service.answerQuotaAsk(ask);
    sendFrame(*peer->channel, reply);
}

void InboundPeers::tellReporters(const peer::QuotaState& state)
{
    peer::Frame frame;
    *frame.mutable_quota_state() = state;
    for (auto& it : m_peers) {
        if (it->isReporter)
            sendFrame(*it->channel, frame);
    }
}

void InboundPeers::tellMembers(const PeerPtr& peer, const peer::MembersQuestion& question)
{
    peer::Frame reply;
    m_service.answerMembers(question, *reply.mutable_members_answer());
    sendFrame(*peer->channel, reply);
}

void InboundPeers::answerInquiry(const PeerPtr& peer, const peer::Inquiry& inquiry)
{
    m_service.inquire({ inquiry.member(), inquiry.group(), inquiry.address() }, [peer, call = inquiry.call()](const StatusReport& report) {
        peer::Frame reply;
        reply.mutable_finding()->set_call(call);
        writeStatus(*reply.mutable_finding(), report);
        sendFrame(*peer->channel, reply);
    });
}

void InboundPeers::endTransaction(const PeerPtr& peer, uint64_t transaction)
{
    auto it = peer->transactions.find(transaction);
    if (it == peer->transactions.end())
        return;
    it->second.pool->endTransaction(it->second.transaction);
    peer->transactions.erase(it);
}

void InboundPeers::answerOrder(const PeerPtr& peer, uint64_t call, const Outcome& outcome, const TargetPool* pool)
{
    peer::Frame frame;
    auto& answer = *frame.mutable_answer();
    answer.set_call(call);
    writeOutcome(answer, outcome);
    if (pool)
        writeLoad(*answer.mutable_load(), pool->getTarget().member, pool->getLoad(), m_service.isTroubled(pool->getTarget()));
    sendFrame(*peer->channel, frame);
}

void InboundPeers::answerUnknownMember(const PeerPtr& peer, uint64_t call)
{
    peer::Frame frame;
    auto& answer = *frame.mutable_answer();
    answer.set_call(call);
    answer.set_lacks_member(true);
    writeOutcome(answer, decisions::makeFailure(ErrorKind::TargetUnreachable, "host " + m_name + " does not know the member"));
    sendFrame(*peer->channel, frame);
}

// Numbers of transactions are each host's own. False: the transaction is not known here.
bool InboundPeers::placeTransaction(const PeerPtr& peer, const std::shared_ptr<TargetPool>& pool, uint64_t theirNumber, StatementRequest& order)
{
    if (order.kind == RequestKind::Begin) {
        order.transaction = pool->takeTransactionNumber();
        peer->transactions[theirNumber] = { pool, order.transaction };
        return true;
    }
    auto it = peer->transactions.find(theirNumber);
    if (it == peer->transactions.end() || it->second.pool != pool)
        return false;
    order.transaction = it->second.transaction;
    if (order.statement.kind == decisions::StatementKind::Commit)
        peer->transactions.erase(it);
    return true;
}

void InboundPeers::serveOrder(const PeerPtr& peer, const peer::Order& wire)
{
    auto order = readOrder(wire, Clock::now());
    auto pool = m_service.findPool(wire.member());
    if (!pool) {
        answerUnknownMember(peer, wire.call());
        return;
    }
    auto reply = [this, peer, call = wire.call(), pool](const Outcome& outcome) { answerOrder(peer, call, outcome, pool.get()); };
    bool isInTransaction = order.kind == RequestKind::Begin || order.kind == RequestKind::Continue;
    if (isInTransaction && !placeTransaction(peer, pool, wire.transaction(), order)) {
        reply(decisions::makeFailure(ErrorKind::TransactionAborted, "the transaction is not known here"));
        return;
    }
    pool->submit(std::move(order), reply);
}

// The host that began these transactions cannot end them any more.
void InboundPeers::lose(const PeerPtr& peer)
{
    auto transactions = std::move(peer->transactions);
    peer->transactions.clear();
    for (auto& [number, held] : transactions)
        held.pool->endTransaction(held.transaction);
    m_peers.erase(peer);
}

}
