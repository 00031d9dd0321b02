// Promotion orders that the platform may carry out late: which ones this host knows of, and how hosts tell each other (docs/design/0015-synchronous-promotion.md).
#include "base/event_log.h"
#include "gateway/promoter_evidence.h"
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using decisions::MemberFinding;

static constexpr milliseconds kAcknowledgementTimeout { 300 }; // of another host that is told of an order; a round trip takes 40 ms at most
static constexpr milliseconds kAssuranceTime { 3000 }; // must exceed the interval of pings to coordinators
static constexpr milliseconds kAssuranceMargin { 200 }; // for the delays of timers
static constexpr milliseconds kAbsenceCheckInterval { 50 };

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

// Coordinators tell of an order in their answers to pings, too. So a host whose ping was answered by all of them within kAssuranceTime knows the orders
// that were announced before.
bool Promoter::mayMissOrder(const GroupState& state) const
{
    auto& coordinators = state.record.coordinators;
    auto oldest = Clock::now() - kAssuranceTime;
    bool isInTouch = std::ranges::all_of(coordinators, [&](const decisions::Coordinator& it) { return it.host == m_context.self.host || m_context.peers.getAnsweredPingAt(it.host) > oldest; });
    return coordinators.empty() || !isInTouch;
}

PossibleSuccessors Promoter::getPossibleSuccessors(const std::string& group) const
{
    auto it = m_groups.find(group);
    bool isKnown = it != m_groups.end() && it->second.pending;
    if (!isKnown && (it == m_groups.end() || mayMissOrder(it->second))) {
        auto groupView = m_context.view.groups.find(group);
        return { groupView == m_context.view.groups.end() ? std::vector<std::string>() : groupView->second.members, true };
    }
    PossibleSuccessors successors;
    for (auto& [host, members] : it->second.orderedMembers)
        std::ranges::copy_if(members, std::back_inserter(successors.members), [&](const std::string& member) { return m_context.view.members.contains(member); });
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
    m_groups[group].orderedMembers[pending.host].insert(pending.member);
    bool isSame = known && known->member == pending.member && known->previousTerm == pending.previousTerm;
    if (isSame) {
        known->isInForce = known->isInForce || pending.isInForce;
        known->hasLostLog = pending.hasLostLog;
        return;
    }
    logPending(group, pending.member, pending.previousTerm, source, pending.host);
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
    state.mustCheckSuspensions = true;
    logPending(group, pending.member, pending.previousTerm, reason, pending.host);
    if (reason != "refused" || !pending.host.empty())
        return;
    announcePending(group, pending.member, pending.previousTerm, PendingState::Refused);
    holdWritesEverywhere(group, m_context.view.groups[group].primary.member, milliseconds(0));
}

void Promoter::withdrawPending(const std::string& group, const std::optional<PendingPromotion>& before)
{
    auto& pending = m_groups[group].pending;
    if (before && pending)
        pending = before;
    else
        settlePending(group, "refused");
}

bool Promoter::settleIfPromoted(const std::string& group, const std::vector<MemberFinding>& findings, uint64_t newestTerm)
{
    auto& pending = m_groups[group].pending;
    if (!pending)
        return false;
    bool isPrimary = std::ranges::any_of(findings, [&](const MemberFinding& it) { return it.member == pending->member && it.saysPrimary && it.term >= newestTerm; });
    if (isPrimary)
        settlePending(group, "promoted");
    return isPrimary;
}

uint64_t Promoter::announcePending(const std::string& group, const std::string& member, uint64_t previousTerm, PendingState pendingState)
{
    peer::PendingPromotion wire;
    wire.set_group(group);
    wire.set_member(member);
    wire.set_previous_term(previousTerm);
    wire.set_is_refused(pendingState == PendingState::Refused);
    wire.set_number(++m_lastAnnouncement);
    wire.set_host(m_context.self.host);
    m_context.peers.announcePendingPromotion(wire);
    return wire.number();
}

// Until all hosts know of the order that is sent next, so that none of them acknowledges a commit which its member lacks. One that does not answer is
// waited for until it can no longer be sure that there is no order, or until its entry has left the store.
asio::awaitable<void> Promoter::announceToAllHosts(std::string group, std::string member, uint64_t previousTerm)
{
    auto announcement = std::make_shared<Announcement>(m_context.context.get_executor(), 1);
    for (auto& [name, host] : m_context.view.hosts) {
        if (name != m_context.self.host)
            announcement->unacknowledged.insert(name);
    }
    auto announcedAt = Clock::now();
    if (!announcement->unacknowledged.empty()) {
        auto number = announcePending(group, member, previousTerm, PendingState::MayBeCarriedOut);
        m_announcements[number] = announcement;
        co_await announcement->latch.waitFor(kAcknowledgementTimeout);
        logAnnouncement(group, member, *announcement);
        auto isAbsent = [this](const std::string& name) { return !m_context.view.hosts.contains(name); };
        while (!std::ranges::all_of(announcement->unacknowledged, isAbsent) && Clock::now() < announcedAt + kAssuranceTime + kAssuranceMargin)
            co_await base::sleepFor(kAbsenceCheckInterval);
        m_announcements.erase(number);
    }
}

void Promoter::logAnnouncement(const std::string& group, const std::string& member, const Announcement& announcement)
{
    base::logEvent(LogClass::State, "promotion-announced", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "unanswered", std::string_view(fmt::format("{}", fmt::join(announcement.unacknowledged, " "))) } });
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

std::vector<peer::PendingPromotion> Promoter::getPendingPromotions() const
{
    std::vector<peer::PendingPromotion> all;
    for (auto& [group, state] : m_groups) {
        auto own = state.orderedMembers.find("");
        if (!state.pending || own == state.orderedMembers.end())
            continue;
        for (auto& member : own->second) {
            auto& wire = all.emplace_back();
            wire.set_group(group);
            wire.set_member(member);
            wire.set_previous_term(state.pending->previousTerm);
            wire.set_host(m_context.self.host);
        }
    }
    return all;
}

// An answer to a ping that was sent before its host reported a refusal may be older than the refusal. A new order is announced besides.
void Promoter::onReportedPromotion(const peer::PendingPromotion& wire, TimePoint pingSentAt)
{
    auto& refusedAt = m_groups[wire.group()].refusedAt;
    auto it = refusedAt.find(wire.host());
    if (it == refusedAt.end() || pingSentAt > it->second)
        onPendingPromotion(wire);
}

void Promoter::onPendingPromotion(const peer::PendingPromotion& wire)
{
    if (getSynchronousReplicas(wire.group()) == 0 || wire.host() == m_context.self.host)
        return;
    auto& state = m_groups[wire.group()];
    auto& known = state.pending;
    if (wire.is_refused()) {
        state.refusedAt[wire.host()] = Clock::now();
        state.orderedMembers.erase(wire.host());
        if (state.orderedMembers.empty())
            settlePending(wire.group(), "refused");
        else if (known && known->host == wire.host()) { // another host's order may still be carried out
            known->host = state.orderedMembers.begin()->first;
            known->member = *state.orderedMembers.begin()->second.begin();
        }
        return;
    }
    if (m_context.view.groups[wire.group()].provenTerm > wire.previous_term())
        return;
    bool isOutdated = known && known->isInForce && known->previousTerm >= wire.previous_term();
    if (isOutdated) // it may be carried out all the same
        state.orderedMembers[wire.host()].insert(wire.member());
    else
        setPending(wire.group(), { wire.member(), false, wire.previous_term(), wire.host(), true, Clock::now() }, "told");
}

void Promoter::onMemberRestarted(const std::string& group, const std::string& member)
{
    auto it = m_groups.find(group);
    if (it == m_groups.end() || !it->second.pending || it->second.pending->member != member)
        return;
    logPending(group, member, it->second.pending->previousTerm, "restarted", it->second.pending->host);
    it->second.pending->hasLostLog = true;
}

// The member of the order is kept for as long as it can catch up: the order may still be carried out, and it receives all that is acknowledged.
void Promoter::giveUpMemberWithoutLog(const std::string& group)
{
    auto& pending = m_groups[group].pending;
    if (!pending || !pending->hasLostLog)
        return;
    logPending(group, pending->member, pending->previousTerm, "given-up", pending->host);
    pending->member.clear();
}

}
