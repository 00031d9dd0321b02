// Messages to other hosts and their answers.
#include "gateway/peers_link.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

static constexpr milliseconds kCallTimeoutMargin { 250 }; // after the deadline of a request and a round trip, for its answer to arrive
static constexpr double kRoundTripSmoothing = 0.2; // weight of the latest ping

uint64_t Peers::sendStatementRequest(const std::string& host, const TargetAddress& target, const StatementRequest& request, RequestCallback done)
{
    auto link = acquireLink(host);
    if (!link) {
        boost::asio::post(m_context, [done = std::move(done), host] { done(decisions::makeFailure(ErrorKind::TargetUnreachable, "host " + host + " is unreachable")); });
        return 0;
    }
    peer::Frame frame;
    auto& wire = *frame.mutable_order();
    wire.set_call(++link->lastCall);
    encodeStatementRequest(wire, target, request, Clock::now());
    auto roundTrip = std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(link->roundTripMs));
    link->calls[link->lastCall] = { std::move(done), target.member, request.deadline + roundTrip + kCallTimeoutMargin, Clock::now() };
    sendFrame(*link->channel, frame);
    return link->lastCall;
}

void Peers::cancelStatementRequest(const std::string& host, uint64_t number)
{
    auto it = m_links.find(host);
    if (it == m_links.end() || !it->second->channel || !it->second->calls.contains(number))
        return;
    peer::Frame frame;
    frame.mutable_cancel()->set_call(number);
    sendFrame(*it->second->channel, frame);
}

void Peers::endTransaction(const std::string& host, uint64_t transaction)
{
    auto link = acquireLink(host);
    if (!link) // the host ends the transactions of a closed connection itself
        return;
    peer::Frame frame;
    frame.mutable_end_transaction()->set_transaction(transaction);
    sendFrame(*link->channel, frame);
}

void Peers::queryStatus(const std::string& host, const TargetAddress& target, const links::StatusQuery& query, std::function<void(const StatusReport&)> done)
{
    auto link = acquireLink(host);
    if (!link) {
        boost::asio::post(m_context, [done = std::move(done)] { done({}); });
        return;
    }
    peer::Frame frame;
    auto& wire = *frame.mutable_inquiry();
    wire.set_call(++link->lastCall);
    wire.set_member(target.member);
    wire.set_group(target.group);
    wire.set_address(target.address);
    wire.set_change(static_cast<uint32_t>(query.change));
    wire.set_term(query.term);
    link->statusQueries[link->lastCall] = std::move(done);
    sendFrame(*link->channel, frame);
}

void Peers::requestMembers(const std::string& host, uint64_t since)
{
    auto link = acquireLink(host);
    if (!link)
        return;
    link->membersRequestedAt = Clock::now();
    peer::Frame frame;
    frame.mutable_members_question()->set_since(since);
    sendFrame(*link->channel, frame);
}

bool Peers::send(const std::string& host, const peer::Frame& frame)
{
    auto link = acquireLink(host);
    if (!link)
        return false;
    sendFrame(*link->channel, frame);
    return true;
}

void Peers::sendAlarm(const std::string& host, const std::string& group, const std::string& member, const std::string& reason)
{
    auto link = acquireLink(host);
    if (!link)
        return;
    peer::Frame frame;
    frame.mutable_alarm()->set_group(group);
    frame.mutable_alarm()->set_member(member);
    frame.mutable_alarm()->set_reason(reason);
    sendFrame(*link->channel, frame);
}

void Peers::sendHoldWrites(const std::string& group, const std::string& member, milliseconds time)
{
    peer::Frame frame;
    frame.mutable_hold_writes()->set_group(group);
    frame.mutable_hold_writes()->set_member(member);
    frame.mutable_hold_writes()->set_for_ms(static_cast<uint32_t>(time.count()));
    broadcast(frame);
}

void Peers::announcePrimary(const std::string& group, const std::string& member, uint64_t term)
{
    peer::Frame frame;
    frame.mutable_lead()->set_group(group);
    frame.mutable_lead()->set_member(member);
    frame.mutable_lead()->set_term(term);
    broadcast(frame);
}

void Peers::announcePendingPromotion(const peer::PendingPromotion& pending)
{
    peer::Frame frame;
    *frame.mutable_pending_promotion() = pending;
    for (auto& [name, host] : m_hosts)
        send(name, frame);
}

void Peers::broadcast(const peer::Frame& frame)
{
    for (auto& [name, link] : m_links) {
        if (link->channel)
            sendFrame(*link->channel, frame);
    }
}

void Peers::handleMessage(const LinkPtr& link, std::string_view message)
{
    peer::Frame frame;
    link->lastReceivedAt = Clock::now();
    if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        closeLink(link, "malformed message");
        return;
    }
    if (frame.has_pong()) {
        handlePong(link, frame.pong());
    } else if (frame.has_answer()) {
        auto& answer = frame.answer();
        if (answer.has_load())
            link->loads[answer.load().member()] = { answer.load(), link->lastReceivedAt };
        auto it = link->calls.find(answer.call());
        if (it == link->calls.end())
            return; // timed out before
        if (answer.lacks_member())
            link->missingMembers[it->second.member] = link->lastReceivedAt;
        auto done = std::move(it->second.done);
        link->calls.erase(it);
        done(decodeOutcome(answer));
    } else if (frame.has_finding()) {
        auto& wire = frame.finding();
        auto it = link->statusQueries.find(wire.call());
        if (it == link->statusQueries.end())
            return;
        auto done = std::move(it->second);
        link->statusQueries.erase(it);
        done(decodeStatus(wire));
    } else if (frame.has_quota_state()) {
        m_callbacks.onQuotaState(link->host.name, frame.quota_state());
    } else if (frame.has_pending_promotion_acknowledgement()) {
        m_callbacks.onPendingPromotionAcknowledged(link->host.name, frame.pending_promotion_acknowledgement().number());
    } else if (frame.has_quota_answer()) {
        m_callbacks.onQuotaAnswer(frame.quota_answer());
    } else if (frame.has_members_answer())
        m_callbacks.onMembersAnswer(link->host.name, frame.members_answer(), link->membersRequestedAt);
}

void Peers::handlePong(const LinkPtr& link, const peer::Pong& pong)
{
    auto it = link->pendingPings.find(pong.number());
    if (it == link->pendingPings.end())
        return;
    auto now = Clock::now();
    auto sentAt = it->second;
    link->pendingPings.erase(link->pendingPings.begin(), std::next(it));
    link->lastPongAt = now;
    std::chrono::duration<double, std::milli> roundTrip = now - sentAt;
    link->roundTripMs = link->hasAnswered ? link->roundTripMs + kRoundTripSmoothing * (roundTrip.count() - link->roundTripMs) : roundTrip.count();
    m_version += link->isLeaving == pong.is_leaving() ? 0 : 1;
    link->isLeaving = pong.is_leaving();
    link->capabilities = { !pong.lacks_store(), !pong.lacks_orders() };
    for (auto& load : pong.loads())
        recordLoad(link, load, sentAt);
    link->reportedUnusable = { pong.unusable_hosts().begin(), pong.unusable_hosts().end() };
    if (!link->hasAnswered || !link->isUp) {
        link->hasAnswered = true;
        link->isUp = true;
        ++m_version;
        m_callbacks.onHostChange(link->host.name, true, "answers");
    }
    m_callbacks.onPong(link->host.name, pong, sentAt);
}

void Peers::recordLoad(const LinkPtr& link, const peer::Load& load, TimePoint sentAt)
{
    if (load.host() == m_name)
        return;
    auto& loads = load.host().empty() ? link->loads : m_reportedLoads[load.host()];
    auto at = sentAt - std::chrono::microseconds(load.age_us());
    auto& known = loads[load.member()];
    if (known.at <= at)
        known = { load, at };
}

void Peers::writePartnerReports(peer::Pong& wire, bool withLoads) const
{
    auto now = Clock::now();
    for (auto& [name, link] : m_links) {
        if (!link->isPartner())
            continue;
        if (!isUsable(name)) {
            wire.add_unusable_hosts(name);
            continue;
        }
        for (auto& [member, timestamped] : link->loads) {
            if (!withLoads || now - timestamped.at > kReportLifetime)
                continue;
            auto& load = *wire.add_loads();
            load = timestamped.load;
            load.set_host(name);
            load.clear_position(); // the caller adds the newest known position of the member instead
            load.clear_position_age_us();
            load.set_age_us(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now - timestamped.at).count()));
        }
    }
}

void Peers::expireCalls(const LinkPtr& link, TimePoint now)
{
    std::vector<RequestCallback> late;
    std::erase_if(link->calls, [&](auto& it) {
        bool isLate = now > it.second.expiresAt;
        if (isLate)
            late.push_back(std::move(it.second.done));
        return isLate;
    });
    for (auto& done : late)
        done(decisions::makeFailure(ErrorKind::StatementTimedOut, "host " + link->host.name + " did not answer in time", true));
}

}
