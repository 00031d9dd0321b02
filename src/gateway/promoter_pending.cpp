// Promotion orders that the platform may carry out late: which ones this host knows of, and how hosts tell each other (docs/design/0015-synchronous-promotion.md).
#include "base/event_log.h"
#include "gateway/promoter_evidence.h"
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ranges>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using decisions::MemberFinding;

static constexpr milliseconds kAssuranceTime { 2000 }; // must exceed the interval of pings to coordinators
static constexpr milliseconds kAssuranceMargin { 200 }; // for the delays of timers
static constexpr milliseconds kRelianceCheckInterval { 50 };

unsigned Promoter::getSynchronousReplicas(const std::string& group) const
{
    auto it = m_context.view.configuration.groups.find(group);
    return it == m_context.view.configuration.groups.end() ? 0 : it->second.synchronousReplicas;
}

bool Promoter::hasOrderInForce(const std::string& group) const
{
    auto it = m_groups.find(group);
    return it != m_groups.end() && it->second.pending && it->second.pending->isInForce;
}

// Coordinators report their orders in answers to pings, too. So a host whose pings were answered by all processes of the current record within
// kAssuranceTime knows the orders that were announced before.
bool Promoter::mayMissOrder(const GroupState& state) const
{
    auto& coordinators = state.record.coordinators;
    auto oldest = Clock::now() - kAssuranceTime;
    auto hasAnswered = [&](const decisions::Coordinator& it) {
        auto answer = state.coordinatorAnswers.find(it.host);
        return answer != state.coordinatorAnswers.end() && answer->second.incarnation == it.incarnation && answer->second.recordRevision <= state.revision && answer->second.pingSentAt > oldest;
    };
    bool areInTouch = std::ranges::all_of(coordinators, [&](const decisions::Coordinator& it) { return it == m_context.self || hasAnswered(it); });
    bool isAlone = coordinators.size() == 1 && coordinators.front() == m_context.self;
    bool mayBeReplaced = isAlone && !m_context.hasStore(); // by a record that nobody could tell it of
    return coordinators.empty() || !areInTouch || mayBeReplaced;
}

PossibleSuccessors Promoter::getPossibleSuccessors(const std::string& group) const
{
    auto it = m_groups.find(group);
    std::set<std::string> ordered;
    if (it != m_groups.end()) {
        for (auto& [sender, members] : it->second.orderedMembers)
            ordered.insert(members.begin(), members.end());
        for (auto& order : getRecordedOrders(group, it->second))
            ordered.insert(order.member);
    }
    bool isUnknown = ordered.empty() && (it == m_groups.end() || mayMissOrder(it->second));
    if (isUnknown) {
        auto groupView = m_context.view.groups.find(group);
        return { groupView == m_context.view.groups.end() ? std::vector<std::string>() : groupView->second.members, true };
    }
    PossibleSuccessors successors;
    std::ranges::copy_if(ordered, std::back_inserter(successors.members), [&](const std::string& member) { return m_context.view.members.contains(member); });
    return successors;
}

bool Promoter::isBoundToSuccessor(const std::string& group) const
{
    if (!hasOrderInForce(group))
        return false;
    auto& pending = *m_groups.at(group).pending;
    return !pending.hasLostLog && m_context.view.members.contains(pending.member);
}

bool Promoter::mustChooseAnew(const std::string& group) const
{
    return hasOrderInForce(group) && !m_context.view.members.contains(m_groups.at(group).pending->member);
}

static void logPending(const std::string& group, const std::string& member, uint64_t previousTerm, std::string_view state, const std::string& host)
{
    base::logEvent(LogClass::State, "promotion-pending", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "previous_term", static_cast<int64_t>(previousTerm) }, { "state", state }, { "holder", std::string_view(host) } });
}

void Promoter::setPending(const std::string& group, PendingPromotion pending, std::string_view source)
{
    auto& known = m_groups[group].pending;
    m_groups[group].orderedMembers[pending.sender].insert(pending.member);
    bool isSame = known && known->member == pending.member && known->previousTerm == pending.previousTerm;
    if (isSame) {
        known->isInForce = known->isInForce || pending.isInForce;
        known->hasLostLog = pending.hasLostLog;
        return;
    }
    logPending(group, pending.member, pending.previousTerm, source, pending.sender.host);
    known = std::move(pending);
}

void Promoter::settlePending(const std::string& group, std::string_view reason)
{
    auto& state = m_groups[group];
    if (!state.pending)
        return;
    auto pending = std::move(*state.pending);
    state.pending.reset();
    state.orderedMembers.clear();
    state.sentMembers.clear();
    if (reason == "promoted") // recorded orders are settled, too
        state.refusedMembers.clear();
    state.mustCheckSuspensions = true;
    logPending(group, pending.member, pending.previousTerm, reason, pending.sender.host);
}

void Promoter::withdrawAnnouncedOrder(const std::string& group, const std::string& member, const std::optional<PendingPromotion>& before)
{
    auto& state = m_groups[group];
    withdrawUnsentOrder(group, member);
    auto isOrdered = [&](auto& it) { return before->member.empty() || it.second.contains(before->member); };
    if (before && state.pending && std::ranges::any_of(state.orderedMembers, isOrdered))
        state.pending = before;
}

// Unless this process has sent it, and it may be carried out: then it binds the next attempts as before.
void Promoter::withdrawUnsentOrder(const std::string& group, const std::string& member)
{
    auto& state = m_groups[group];
    if (!state.pending || state.sentMembers.contains(member))
        return;
    auto previousTerm = state.pending->previousTerm;
    state.refusedMembers[m_context.self].insert(member);
    withdrawOrder(group, { member, m_context.self });
    announcePending(group, member, previousTerm, PendingState::Refused);
    if (!state.pending)
        holdWritesEverywhere(group, m_context.view.groups[group].primary.member, milliseconds(0));
}

bool Promoter::settleIfPromoted(const std::string& group, const std::vector<MemberFinding>& findings, uint64_t newestTerm)
{
    auto& pending = m_groups[group].pending;
    if (!pending)
        return false;
    bool isPrimary = std::ranges::any_of(findings, [&](const MemberFinding& it) { return it.member == pending->member && it.saysPrimary && it.term >= newestTerm; });
    if (!isPrimary)
        return false;
    auto member = pending->member;
    settlePending(group, "promoted");
    auto& state = m_groups[group];
    for (auto& it : state.record.recorded.orders) { // also if no newer term has begun
        if (it.member == member)
            state.refusedMembers[it.sender].insert(member);
    }
    return true;
}

// An order of this process, or one that it has found without its sender.
peer::PendingPromotion Promoter::makeWireOrder(const std::string& group, const std::string& member, uint64_t previousTerm) const
{
    peer::PendingPromotion wire;
    wire.set_group(group);
    wire.set_member(member);
    wire.set_previous_term(previousTerm);
    wire.set_host(m_context.self.host);
    wire.set_incarnation(m_context.self.incarnation);
    return wire;
}

uint64_t Promoter::announcePending(const std::string& group, const std::string& member, uint64_t previousTerm, PendingState pendingState)
{
    auto wire = makeWireOrder(group, member, previousTerm);
    wire.set_is_refused(pendingState == PendingState::Refused);
    wire.set_number(++m_lastAnnouncement);
    m_context.peers.announcePendingPromotion(wire);
    return wire.number();
}

// Also hosts that are not listed any more and still ping this one.
std::map<std::string, TimePoint> Promoter::findHostsToTell() const
{
    auto& pongTimes = m_context.peers.getPongTimes();
    std::map<std::string, TimePoint> hosts { pongTimes.begin(), pongTimes.end() };
    for (auto& [name, host] : m_context.view.hosts)
        hosts.try_emplace(name);
    hosts.erase(m_context.self.host);
    return hosts;
}

// A host that knows an older record relies on the coordinators of that one, for kAssuranceTime at most after this one was appointed.
bool Promoter::mayAnyHostRelyOnAnswer(const GroupState& state, const Announcement& announcement) const
{
    auto oldest = Clock::now() - kAssuranceTime - kAssuranceMargin;
    return std::ranges::any_of(announcement.unacknowledged, [&](auto& it) {
        bool isListed = m_context.view.hosts.contains(it.first);
        return std::max(it.second, isListed ? state.coordinatorSince : TimePoint {}) > oldest;
    });
}

void Promoter::logAnnouncement(const std::string& group, const std::string& member, const Announcement& announcement, TimePoint since)
{
    std::chrono::duration<double, std::milli> took = Clock::now() - since;
    auto unanswered = announcement.unacknowledged | std::views::keys;
    base::logEvent(LogClass::State, "promotion-announced", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "unanswered", std::string_view(fmt::format("{}", fmt::join(unanswered, " "))) }, { "ms", took.count() } });
}

// Until each host knows of the order that is sent next, or can no longer rely on an answer of this host to its pings: so that none of them acknowledges a
// commit which the order's member lacks.
asio::awaitable<void> Promoter::announceToAllHosts(std::string group, std::string member, uint64_t previousTerm)
{
    auto announcement = std::make_shared<Announcement>(m_context.context.get_executor());
    announcement->unacknowledged = findHostsToTell();
    auto announcedAt = Clock::now();
    auto number = announcePending(group, member, previousTerm, PendingState::MayBeCarriedOut);
    if (announcement->unacknowledged.empty())
        co_return;
    m_announcements[number] = announcement;
    while (mayAnyHostRelyOnAnswer(m_groups[group], *announcement))
        co_await announcement->latch.waitFor(kRelianceCheckInterval);
    m_announcements.erase(number);
    logAnnouncement(group, member, *announcement, announcedAt);
}

void Promoter::onPendingPromotionAcknowledged(const std::string& host, uint64_t number)
{
    auto it = m_announcements.find(number);
    if (it == m_announcements.end())
        return;
    it->second->unacknowledged.erase(host);
    if (it->second->unacknowledged.empty())
        it->second->latch.open();
}

void Promoter::writeOrders(peer::Pong& pong) const
{
    for (auto& [group, state] : m_groups) {
        if (getSynchronousReplicas(group) == 0)
            continue;
        if (decisions::findRank(state.record, m_context.self)) {
            pong.set_incarnation(m_context.self.incarnation);
            auto& coordinated = *pong.add_coordinated_groups();
            coordinated.set_group(group);
            coordinated.set_record_revision(state.revision);
        }
        if (!state.pending)
            continue;
        for (auto& [sender, members] : state.orderedMembers) {
            bool isReported = sender == m_context.self || sender == decisions::Coordinator {};
            for (auto& member : members) {
                if (isReported)
                    *pong.add_pending_promotions() = makeWireOrder(group, member, state.pending->previousTerm);
            }
        }
    }
}

void Promoter::readOrders(const std::string& host, const peer::Pong& pong, TimePoint pingSentAt)
{
    for (auto& it : pong.pending_promotions())
        onReportedPromotion(it, pingSentAt);
    for (auto& it : pong.coordinated_groups())
        m_groups[it.group()].coordinatorAnswers[host] = { pong.incarnation(), it.record_revision(), pingSentAt };
}

// An answer to a ping that was sent before its host reported a refusal may be older than the refusal. A new order is announced besides.
void Promoter::onReportedPromotion(const peer::PendingPromotion& wire, TimePoint pingSentAt)
{
    auto& refusedAt = m_groups[wire.group()].refusedAt;
    auto it = refusedAt.find({ wire.host(), wire.incarnation() });
    if (it == refusedAt.end() || pingSentAt > it->second)
        onPendingPromotion(wire);
}

void Promoter::onPendingPromotion(const peer::PendingPromotion& wire)
{
    decisions::Coordinator sender { wire.host(), wire.incarnation() };
    if (getSynchronousReplicas(wire.group()) == 0 || sender == m_context.self)
        return;
    auto& state = m_groups[wire.group()];
    auto& refused = state.refusedMembers[sender];
    if (!wire.is_refused()) {
        refused.erase(wire.member());
        applyOrder(wire.group(), { wire.member(), sender }, wire.previous_term(), "told");
        return;
    }
    refused.insert(wire.member());
    state.refusedAt[sender] = Clock::now();
    withdrawOrder(wire.group(), { wire.member(), sender });
}

void Promoter::applyOrder(const std::string& group, const decisions::RecordedOrder& order, uint64_t previousTerm, std::string_view source)
{
    if (m_context.view.groups[group].provenTerm > previousTerm)
        return;
    auto& state = m_groups[group];
    bool isOutdated = state.pending && state.pending->isInForce && state.pending->previousTerm >= previousTerm;
    if (isOutdated) // it may be carried out all the same
        state.orderedMembers[order.sender].insert(order.member);
    else
        setPending(group, { order.member, false, previousTerm, order.sender, true, Clock::now() }, source);
}

// The order is not carried out any more. Others may still be.
void Promoter::withdrawOrder(const std::string& group, const decisions::RecordedOrder& order)
{
    auto& state = m_groups[group];
    state.orderedMembers[order.sender].erase(order.member);
    std::erase_if(state.orderedMembers, [](auto& it) { return it.second.empty(); });
    if (state.orderedMembers.empty()) {
        settlePending(group, "refused");
        return;
    }
    if (!state.pending || state.pending->member != order.member)
        return;
    auto remaining = std::ranges::find_if(state.orderedMembers, [&](auto& it) { return it.second.contains(order.member); });
    if (remaining == state.orderedMembers.end()) {
        remaining = state.orderedMembers.begin();
        state.pending->member = *remaining->second.begin();
        state.pending->hasLostLog = false;
    }
    state.pending->sender = remaining->first;
}

void Promoter::onMemberRestarted(const std::string& group, const std::string& member)
{
    auto it = m_groups.find(group);
    if (it == m_groups.end() || !it->second.pending || it->second.pending->member != member)
        return;
    logPending(group, member, it->second.pending->previousTerm, "restarted", it->second.pending->sender.host);
    it->second.pending->hasLostLog = true;
}

// The member of the order is kept for as long as it can catch up: the order may still be carried out, and it receives all that is acknowledged.
void Promoter::giveUpMemberWithoutLog(const std::string& group)
{
    auto& pending = m_groups[group].pending;
    if (!pending || !pending->hasLostLog)
        return;
    logPending(group, pending->member, pending->previousTerm, "given-up", pending->sender.host);
    pending->member.clear();
}

}
