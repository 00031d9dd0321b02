#include "gateway/promoter.h"
#include "base/event_log.h"
#include "base/families.h"
#include "base/metrics.h"
#include "gateway/directory.h"
#include "gateway/promoter_evidence.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <set>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using decisions::MemberFinding;
using links::PromotionResult;

static constexpr milliseconds kRecordCheckInterval { 100 }; // between two looks at a succession; hosts come and go more seldom
static constexpr milliseconds kStoreTimeout { 600 }; // a change of the succession that takes longer is tried again
static constexpr milliseconds kOrderTimeout { 800 }; // an order is answered within tens of ms; without an answer the member itself is asked
static constexpr milliseconds kOrderRetryDelay { 150 }; // between orders of one decision
static constexpr milliseconds kAttemptCooldown { 400 }; // after an attempt that ended, good or bad, or a primary that was found alive
static constexpr milliseconds kNoPrimaryDelay { 600 }; // without a known primary for this long, one is looked for
static constexpr milliseconds kRelistingTime { 2500 }; // entries that lapsed with the store are back by then
static constexpr milliseconds kStandbyDelay { 300 }; // each deputy waits this much longer than the one before
static constexpr int kMaxOrderAttempts = 8; // of one decision while no clear answer comes
static constexpr milliseconds kOrderRejectionCooldown { 10000 }; // a host whose order was not taken is passed over this long, while there are others

bool Promoter::isLive(const std::string& host) const
{
    return host == m_context.self.host || m_context.peers.isUsable(host);
}

decisions::HostCapabilities Promoter::getCapabilities() const
{
    bool canOrder = m_orderRejectedAt == TimePoint {} || Clock::now() - m_orderRejectedAt > kOrderRejectionCooldown;
    return { m_context.hasStore(), canOrder };
}

bool Promoter::canPerformTask(const std::string& host, decisions::PromotionTask task) const
{
    return decisions::canPerform(host == m_context.self.host ? getCapabilities() : m_context.peers.getAbility(host), task);
}

// Whether this host is the first in the group's order of those that can write the record, or of all if none can. Every host asks this for every
// group ten times a second, so the order is walked no further than to the first: ranking all hosts each time took two fifths of the processor time
// at 295 hosts and 20 groups.
bool Promoter::isFirstCandidate(const std::string& group) const
{
    const std::string* firstLive = nullptr;
    for (auto& name : getRankedHosts(m_context.view, group)) {
        if (!isLive(name))
            continue;
        if (canPerformTask(name, decisions::PromotionTask::HandOver))
            return name == m_context.self.host;
        firstLive = firstLive ? firstLive : &name;
    }
    return firstLive && *firstLive == m_context.self.host;
}

// As many live hosts as it takes to judge the record: those that it names, this one, and the first in the group's order.
std::vector<decisions::LiveCandidate> Promoter::getLiveCandidates(const std::string& group, const GroupState& state) const
{
    std::vector<decisions::LiveCandidate> live;
    auto take = [&](const decisions::Coordinator& it) {
        if (std::ranges::find(live, it, &decisions::LiveCandidate::coordinator) == live.end())
            live.push_back({ it, canPerformTask(it.host, decisions::PromotionTask::HandOver) });
    };
    take(m_context.self);
    for (auto& it : state.record.coordinators) {
        auto host = m_context.view.hosts.find(it.host);
        if (host != m_context.view.hosts.end() && host->second.incarnation == it.incarnation && isLive(it.host))
            take(it);
    }
    for (auto& name : getRankedHosts(m_context.view, group)) {
        if (live.size() >= decisions::kCoordinatorCount)
            break;
        if (isLive(name))
            take({ name, m_context.view.hosts.at(name).incarnation });
    }
    return live;
}

std::vector<decisions::RankedCandidate> Promoter::rankLiveHosts(const std::string& group) const
{
    std::vector<decisions::RankedCandidate> ranked;
    for (auto& name : getRankedHosts(m_context.view, group)) {
        if (!isLive(name))
            continue;
        auto& host = m_context.view.hosts.at(name);
        ranked.push_back({ { name, host.incarnation }, host.dataCentre });
    }
    return ranked;
}

void Promoter::applyCoordinatorRecord(const std::string& group, const links::StoreItem& item)
{
    auto& state = m_groups[group];
    if (item.revision < state.revision)
        return;
    state.revision = item.isDeleted ? 0 : item.revision;
    auto record = decisions::parseCoordinatorRecord(item.value);
    // Whoever starts now finds none and would begin with token 1: those who know the last one write the next.
    state.mustRenewRecord = item.isDeleted || !record;
    if (state.mustRenewRecord) {
        base::incrementCounter(base::MetricFamily::EntriesRefused, { { "result", item.isDeleted ? "gone" : "unreadable" } });
        base::logEvent(LogClass::State, "entry-unreadable", { { "key", std::string_view(item.key) }, { "reason", item.isDeleted ? std::string_view("a record of who may order is gone") : std::string_view("no record of who may order") }, { "revision", static_cast<int64_t>(item.revision) } });
        return;
    }
    if (*record == state.record)
        return;
    state.record = *record;
    state.firstUsableRank = 0;
    state.orderCount = 0;
    auto rank = decisions::findRank(*record, m_context.self);
    std::string_view firstCoordinator = record->coordinators.empty() ? std::string_view() : std::string_view(record->coordinators.front().host);
    base::logEvent(LogClass::State, "succession", { { "group", std::string_view(group) }, { "holder", firstCoordinator }, { "first_token", static_cast<int64_t>(record->firstToken) }, { "rank_here", rank ? static_cast<int64_t>(*rank) : int64_t { -1 } }, { "revision", static_cast<int64_t>(item.revision) } });
}

void Promoter::raiseAlarm(const std::string& group, const std::string& reason)
{
    auto& state = m_groups[group];
    if (state.alarmedAt != TimePoint {})
        return;
    state.alarmedAt = Clock::now();
    state.alarmReason = reason;
}

std::vector<std::string> Promoter::getCoordinators(const std::string& group) const
{
    std::vector<std::string> names;
    auto it = m_groups.find(group);
    if (it == m_groups.end())
        return names;
    for (auto& coordinator : it->second.record.coordinators)
        names.push_back(coordinator.host);
    return names;
}

CoordinatorRole Promoter::getCoordinatorRole() const
{
    CoordinatorRole role;
    for (auto& [group, state] : m_groups) {
        if (!decisions::findRank(state.record, m_context.self))
            continue;
        role.groups.insert(group);
        for (auto& it : state.record.coordinators)
            role.coordinators.insert(it.host);
    }
    return role;
}

void Promoter::onPrimaryConfirmed(const std::string& group, TimePoint confirmedAt)
{
    auto it = m_groups.find(group);
    if (it == m_groups.end() || it->second.isPromoting || confirmedAt < it->second.alarmedAt)
        return;
    it->second.alarmedAt = {};
}

void Promoter::onPrimaryChanged(const std::string& group)
{
    auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    it->second.alarmedAt = {};
    it->second.handoverDueAt = {};
}

void Promoter::onPromotionOrdered(const std::string& group, const std::string& host)
{
    auto& state = m_groups[group];
    auto& coordinators = state.record.coordinators;
    auto it = std::ranges::find(coordinators, host, &decisions::Coordinator::host);
    if (it != coordinators.end())
        state.firstUsableRank = std::max(state.firstUsableRank, static_cast<size_t>(it - coordinators.begin()));
}

std::vector<decisions::CoordinatorState> Promoter::getCoordinatorStates(const GroupState& state, decisions::PromotionTask task) const
{
    std::vector<decisions::CoordinatorState> states;
    for (auto& it : state.record.coordinators) {
        bool isSelf = it == m_context.self;
        auto host = m_context.view.hosts.find(it.host);
        bool isSame = host != m_context.view.hosts.end() && host->second.incarnation == it.incarnation;
        bool isUsable = isSelf ? !m_context.isDraining : isSame && m_context.peers.isUsable(it.host);
        bool areTokensSpent = states.size() < state.firstUsableRank;
        states.push_back({ isUsable && !areTokensSpent, canPerformTask(it.host, task) });
    }
    return states;
}

std::optional<size_t> Promoter::getTurnIndex(const GroupState& state, decisions::PromotionTask task) const
{
    auto rank = decisions::findRank(state.record, m_context.self);
    if (!rank)
        return std::nullopt;
    auto acting = decisions::rankUsableCoordinators(getCoordinatorStates(state, task));
    auto it = std::ranges::find(acting, *rank);
    if (it == acting.end())
        return std::nullopt;
    return static_cast<size_t>(it - acting.begin());
}

// Tells afterwards why nobody acted: each orderer says whom it leaves the group to.
void Promoter::logActingCoordinator(const std::string& group, GroupState& state)
{
    if (!decisions::findRank(state.record, m_context.self))
        return;
    auto acting = decisions::rankUsableCoordinators(getCoordinatorStates(state, decisions::PromotionTask::HandOver));
    auto actingCoordinator = acting.empty() ? std::string() : state.record.coordinators[acting.front()].host;
    if (actingCoordinator == state.loggedCoordinator)
        return;
    state.loggedCoordinator = actingCoordinator;
    base::logEvent(LogClass::State, "in-charge", { { "group", std::string_view(group) }, { "holder", std::string_view(state.record.coordinators.front().host) }, { "in_charge", std::string_view(actingCoordinator) } });
}

bool Promoter::mustHandOver(const GroupBelief& belief) const
{
    auto it = m_context.view.members.find(belief.lead.member);
    return it != m_context.view.members.end() && (it->second.listed.isLeaving || it->second.unlistedAt);
}

// What is to be done for a group, and since when.
struct Promoter::DueTask {
    decisions::PromotionTask task;
    TimePoint at;
    std::string cause;
};

std::optional<Promoter::DueTask> Promoter::findDueTask(const GroupBelief& belief, GroupState& state, TimePoint now) const
{
    auto rank = decisions::findRank(state.record, m_context.self).value_or(0);
    bool hasNoPrimary = belief.lead.member.empty();
    if (!hasNoPrimary)
        state.noPrimarySince = {};
    else if (state.noPrimarySince == TimePoint {})
        state.noPrimarySince = now;
    if (!mustHandOver(belief))
        state.handoverDueAt = {};
    else if (state.handoverDueAt == TimePoint {})
        state.handoverDueAt = now;
    // A primary that leaves is replaced whether it is alive or not: an alarm must not make this an examination that ends with "it lives".
    if (state.handoverDueAt != TimePoint {})
        return DueTask { decisions::PromotionTask::HandOver, state.handoverDueAt, "the primary leaves" };
    if (state.alarmedAt != TimePoint {} && !hasNoPrimary)
        return DueTask { decisions::PromotionTask::CheckPrimary, state.alarmedAt + rank * kStandbyDelay, state.alarmReason };
    if (hasNoPrimary && now - state.startedAt > kRelistingTime)
        return DueTask { decisions::PromotionTask::FindPrimary, state.noPrimarySince + kNoPrimaryDelay, "no primary is known" };
    return std::nullopt;
}

// The holder acts at once, a deputy when those before it are out of reach, say that they cannot, or have not done it in time.
bool Promoter::isMyTurn(const GroupState& state, const DueTask& due, TimePoint now) const
{
    auto turn = getTurnIndex(state, due.task);
    return turn && now >= due.at + *turn * decisions::getTakeoverDelay(due.task); // no differences: a product with a size is unsigned
}

// Most hosts order for no group: they only look now and then whether a record is due.
void Promoter::sweep(TimePoint now)
{
    if (!m_isCoordinator && now - m_sweptAt < kRecordCheckInterval)
        return;
    m_sweptAt = now;
    m_isCoordinator = std::ranges::any_of(m_groups, [&](auto& it) { return decisions::findRank(it.second.record, m_context.self).has_value(); });
    for (auto& [group, belief] : m_context.view.groups) {
        if (!m_context.view.configuration.groups.contains(group)) // some entry names it, operators do not
            continue;
        auto& state = m_groups[group];
        if (state.startedAt == TimePoint {})
            state.startedAt = now;
        maintainCoordinatorRecord(group, state, now);
        logActingCoordinator(group, state);
        auto due = findDueTask(belief, state, now);
        if (!due || state.isPromoting || now < state.nextAttemptAt || !isMyTurn(state, *due, now))
            continue;
        state.isPromoting = true;
        asio::co_spawn(m_context.context, replacePrimary(group, due->task == decisions::PromotionTask::HandOver, due->cause), asio::detached);
    }
}

void Promoter::maintainCoordinatorRecord(const std::string& group, GroupState& state, TimePoint now)
{
    if (state.isWritingRecord || state.isPromoting || m_context.isDraining || now - state.startedAt < kStoreTimeout || now - state.recordCheckedAt < kRecordCheckInterval)
        return;
    state.recordCheckedAt = now;
    if (!isFirstCandidate(group))
        return;
    bool areTokensSpent = state.firstUsableRank > 0 || state.mustRenewRecord;
    if (!areTokensSpent && !decisions::isCoordinatorRecordDue(state.record, getLiveCandidates(group, state)))
        return;
    auto ranked = rankLiveHosts(group);
    std::ranges::stable_partition(ranked, [this](const decisions::RankedCandidate& it) { return canPerformTask(it.coordinator.host, decisions::PromotionTask::HandOver); });
    state.isWritingRecord = true;
    asio::co_spawn(m_context.context, writeCoordinatorRecord(group, decisions::makeCoordinatorRecord(state.record, ranked), state.revision), asio::detached);
}

asio::awaitable<void> Promoter::writeCoordinatorRecord(std::string group, decisions::CoordinatorRecord record, uint64_t revision)
{
    auto key = std::string(kSuccessionPrefix) + group;
    links::StoreChange change;
    change.expected.emplace_back(key, revision);
    change.puts.push_back({ .key = key, .value = decisions::formatCoordinatorRecord(record) });
    auto written = co_await m_context.platform.getStore().change(std::move(change), Clock::now() + kStoreTimeout);
    auto& state = m_groups[group];
    if (written)
        applyCoordinatorRecord(group, { .key = key, .value = decisions::formatCoordinatorRecord(record), .revision = *written });
    else if (written.error().kind == links::StoreErrorKind::Conflict) {
        for (auto& it : written.error().items)
            applyCoordinatorRecord(group, it);
    }
    if (!written)
        co_await base::sleepFor(kAttemptCooldown);
    state.isWritingRecord = false;
}

// What a decision rests on, a line a member.
static void logEvidence(const std::string& group, const std::vector<MemberFinding>& findings)
{
    for (auto& it : findings) {
        auto received = fmt::format("{}.{}", it.received.term, it.received.position);
        base::logEvent(LogClass::State, "promotion-evidence", { { "group", std::string_view(group) }, { "member", std::string_view(it.member) }, { "reached", it.wasReached }, { "primary", it.saysPrimary }, { "term", static_cast<int64_t>(it.term) }, { "received", std::string_view(received) }, { "may_lead", it.isPromotable } });
    }
}

asio::awaitable<void> Promoter::replacePrimary(std::string group, bool isPlanned, std::string cause)
{
    auto believed = m_context.view.groups[group].lead;
    auto startedAt = Clock::now();
    base::logEvent(LogClass::State, "promotion-considered", { { "group", std::string_view(group) }, { "primary", std::string_view(believed.member) }, { "term", static_cast<int64_t>(believed.term) }, { "cause", std::string_view(cause) }, { "planned", isPlanned } });
    bool isDue = true;
    bool wasOrdered = false;
    auto member = m_context.view.members.find(believed.member);
    if (isPlanned)
        co_await waitForReplicaCatchUp(group, believed.member);
    auto replicas = std::make_shared<ReplicaQuery>(m_context.context.get_executor());
    queryReplicas(group, believed.member, isPlanned, replicas);
    if (member != m_context.view.members.end() && !isPlanned)
        isDue = co_await isPrimaryDead(group, member->second.getTarget());
    // Only now: a cut shows in the links to other hosts no sooner than in the silence of those that were asked.
    auto reachability = m_context.peers.countInReach();
    if (isDue && !isPlanned && !decisions::canJudgePrimary(reachability)) {
        isDue = false;
        base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("most other hosts are out of reach") }, { "hosts_answering", static_cast<int64_t>(reachability.answering) }, { "hosts_lost", static_cast<int64_t>(reachability.lost) } });
    }
    if (isDue)
        co_await replicas->latch.wait();
    auto& belief = m_context.view.groups[group];
    PromotionAttempt attempt { believed, isPlanned, startedAt };
    auto holdBackReason = isDue ? findHoldBackReason(group, attempt) : std::string_view();
    if (!holdBackReason.empty()) {
        isDue = false;
        base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", holdBackReason }, { "member", std::string_view(belief.lead.member) }, { "term", static_cast<int64_t>(belief.lead.term) } });
    }
    if (isDue) {
        auto& findings = replicas->findings;
        logEvidence(group, findings);
        auto newestSeen = std::max(belief.shownTerm, decisions::findNewerTerm(findings, 0).value_or(0));
        auto confirmedPrimary = std::ranges::find_if(findings, [&](const MemberFinding& it) { return it.wasReached && it.saysPrimary && it.term >= newestSeen && it.member != believed.member; });
        auto limits = m_context.view.configuration.groups[group];
        auto successor = decisions::chooseSuccessor(findings, limits.synchronousReplicas, countListedMembers(group));
        auto before = belief.lead;
        m_context.view.isPlacementDue = true;
        auto newerTerm = decisions::findNewerTerm(findings, believed.term);
        if (confirmedPrimary != findings.end() && confirmedPrimary->term < getLeastTerm(belief, startedAt))
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("a member leads, and an order is not over yet") }, { "member", std::string_view(confirmedPrimary->member) }, { "term", static_cast<int64_t>(confirmedPrimary->term) } });
        else if (confirmedPrimary != findings.end()) {
            takeShownLead(belief, confirmedPrimary->member, confirmedPrimary->term, startedAt, ShownTo::ThisHost);
            m_context.notifyPrimaryChanged(group, before, "proof");
        } else if (newerTerm) {
            takeShownTerm(belief, *newerTerm);
            m_context.notifyPrimaryChanged(group, before, "members");
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("members know a newer term") }, { "term", static_cast<int64_t>(*newerTerm) }, { "known", static_cast<int64_t>(believed.term) } });
        } else if (successor) {
            uint64_t term = believed.term; // also an assumed one: hosts that believe it have to take the next
            for (auto& it : findings)
                term = std::max(term, std::max(it.term, it.received.term));
            wasOrdered = co_await orderPromotion(group, *successor, term, attempt);
        } else
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("no member can be chosen") }, { "members_asked", static_cast<int64_t>(findings.size()) } });
    }
    auto& state = m_groups[group];
    std::chrono::duration<double, std::milli> took = Clock::now() - startedAt;
    base::logEvent(LogClass::State, "promotion-ended", { { "group", std::string_view(group) }, { "ms", took.count() } });
    state.isPromoting = false;
    state.alarmedAt = {};
    state.nextAttemptAt = Clock::now() + (wasOrdered ? kPromotionTakes : kAttemptCooldown);
}

// A handover waits up to 0.8 s for a replica, an examination up to 2 s for answers, an order without an answer is repeated for up to 7.6 s. A primary that takes its word back
// meanwhile, or shows that it leads, stays: to replace it would take back what it acknowledged since and replicas lack.
std::string_view Promoter::findHoldBackReason(const std::string& group, const PromotionAttempt& attempt) const
{
    auto& belief = m_context.view.groups[group];
    if (decisions::isSuperseded(attempt.primary, belief.lead))
        return "another primary became known meanwhile";
    if (attempt.isPlanned) {
        bool isSame = belief.lead.member == attempt.primary.member; // or nobody is known to lead since, and the change is due all the more
        return !isSame || mustHandOver(belief) ? "" : "the primary does not leave any more";
    }
    auto& floors = belief.floors.floors;
    bool isConfirmed = !floors.empty() && floors.back().coveredUntil > attempt.startedAt && floors.back().mark.term == belief.lead.term;
    return isConfirmed && !belief.lead.member.empty() ? "the primary showed meanwhile that it leads" : "";
}

// One decision: one token, one member. An order without an answer is repeated as it was; it may still be carried out.
asio::awaitable<bool> Promoter::orderPromotion(std::string group, std::string member, uint64_t previousTerm, PromotionAttempt attempt)
{
    auto& state = m_groups[group];
    auto rank = decisions::findRank(state.record, m_context.self);
    auto token = rank ? decisions::getFencingToken(state.record, *rank, state.orderCount) : std::nullopt;
    if (!token)
        co_return false;
    ++state.orderCount;
    base::checkInvariant(*token > state.lastFencingToken, "a token for a promotion was not above the one before", group);
    state.lastFencingToken = *token;
    for (int i = 0; i < kMaxOrderAttempts; ++i) {
        auto askedAt = Clock::now();
        // A named value: g++ 12 destroys aggregates that are made within a co_await expression twice.
        links::PromotionOrder request { group, member, m_context.self.host, *token };
        auto result = co_await m_context.platform.promote(request, askedAt + kOrderTimeout);
        static constexpr std::array names { "done", "outranked", "not-running", "busy", "unknown" };
        std::chrono::duration<double, std::milli> took = Clock::now() - askedAt;
        base::logEvent(LogClass::State, "promotion-ordered", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "token", static_cast<int64_t>(*token) }, { "result", std::string_view(names[static_cast<size_t>(result)]) }, { "ms", took.count() } });
        base::incrementCounter(base::MetricFamily::PromotionOrders, { { "group", group }, { "result", names[static_cast<size_t>(result)] } });
        // One without an answer may yet be carried out, unless a deputy's higher token comes in between: that is no reason to leave it to others.
        m_orderRejectedAt = result == PromotionResult::Busy ? Clock::now() : TimePoint {};
        bool isPromoted = result == PromotionResult::Done;
        auto newTerm = previousTerm + 1;
        auto chosen = m_context.view.members.find(member);
        if (result == PromotionResult::Unknown && chosen != m_context.view.members.end()) {
            auto target = chosen->second.getTarget();
            auto finding = co_await queryStatus(m_context.self.host, target);
            isPromoted = finding.wasReached && finding.status.isPrimary && finding.status.term > previousTerm;
            newTerm = std::max(newTerm, finding.status.term);
        }
        if (isPromoted) {
            auto& belief = m_context.view.groups[group];
            auto before = belief.lead;
            takeOrderedLead(belief, member, newTerm, Clock::now());
            m_context.notifyPrimaryChanged(group, before, "ordered");
            m_context.peers.sendLead(group, member, newTerm);
            co_return true;
        }
        if (result == PromotionResult::Outranked || result == PromotionResult::NotRunning) {
            if (result == PromotionResult::Outranked) // another host has ordered; the next record's tokens are above all of this one's
                state.firstUsableRank = std::max(state.firstUsableRank, *rank + 1);
            co_return false;
        }
        co_await base::sleepFor(kOrderRetryDelay);
        // Somebody else may have taken over meanwhile, the more so if this process was frozen.
        if (Clock::now() - askedAt > kOrderTimeout + kOrderRetryDelay + kAttemptCooldown || *rank < state.firstUsableRank || m_context.isDraining)
            co_return false;
        if (auto holdBackReason = findHoldBackReason(group, attempt); !holdBackReason.empty()) {
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", holdBackReason }, { "member", std::string_view(member) }, { "token", static_cast<int64_t>(*token) } });
            co_return false;
        }
    }
    co_return false;
}

}
