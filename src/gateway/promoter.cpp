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

static constexpr milliseconds kCheckInterval { 100 }; // between two looks at a succession; hosts come and go more seldom
static constexpr milliseconds kStoreLimit { 600 }; // a change of the succession that takes longer is tried again
static constexpr milliseconds kOrderLimit { 800 }; // an order is answered within tens of ms; without an answer the member itself is asked
static constexpr milliseconds kRetryPause { 150 }; // between orders of one decision
static constexpr milliseconds kPauseAfter { 400 }; // after an attempt that ended, good or bad, or a primary that was found alive
static constexpr milliseconds kLeaderlessLimit { 600 }; // without a known primary for this long, one is looked for
static constexpr milliseconds kListedAgainLimit { 2500 }; // entries that lapsed with the store are back by then
static constexpr milliseconds kDeputyPause { 300 }; // each deputy waits this much longer than the one before
static constexpr int kOrderTries = 8; // of one decision while no clear answer comes
static constexpr milliseconds kOrdersLostFor { 10000 }; // a host whose order was not taken is passed over this long, while there are others

bool Promoter::isLive(const std::string& host) const
{
    return host == m_context.self.host || m_context.peers.isUsable(host);
}

decisions::HostCapabilities Promoter::getAbility() const
{
    bool canOrder = m_ordersLostAt == TimePoint {} || Clock::now() - m_ordersLostAt > kOrdersLostFor;
    return { m_context.hasStore(), canOrder };
}

bool Promoter::canDo(const std::string& host, decisions::PromotionTask task) const
{
    return decisions::canPerform(host == m_context.self.host ? getAbility() : m_context.peers.getAbility(host), task);
}

// Whether this host is the first in the group's order of those that can write the record, or of all if none can. Every host asks this for every
// group ten times a second, so the order is walked no further than to the first: ranking all hosts each time took two fifths of the processor time
// at 295 hosts and 20 groups.
bool Promoter::isFirst(const std::string& group) const
{
    const std::string* firstLive = nullptr;
    for (auto& name : getRankedHosts(m_context.view, group)) {
        if (!isLive(name))
            continue;
        if (canDo(name, decisions::PromotionTask::HandOver))
            return name == m_context.self.host;
        firstLive = firstLive ? firstLive : &name;
    }
    return firstLive && *firstLive == m_context.self.host;
}

// As many live hosts as it takes to judge the record: those that it names, this one, and the first in the group's order.
std::vector<decisions::LiveCandidate> Promoter::getLiveOrderers(const std::string& group, const State& state) const
{
    std::vector<decisions::LiveCandidate> live;
    auto take = [&](const decisions::Coordinator& it) {
        if (std::ranges::find(live, it, &decisions::LiveCandidate::coordinator) == live.end())
            live.push_back({ it, canDo(it.host, decisions::PromotionTask::HandOver) });
    };
    take(m_context.self);
    for (auto& it : state.succession.coordinators) {
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

std::vector<decisions::RankedCandidate> Promoter::rankLive(const std::string& group) const
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

void Promoter::takeSuccession(const std::string& group, const links::StoreItem& item)
{
    auto& state = m_states[group];
    if (item.revision < state.revision)
        return;
    state.revision = item.isDeleted ? 0 : item.revision;
    auto succession = decisions::parseCoordinatorRecord(item.value);
    // Whoever starts now finds none and would begin with token 1: those who know the last one write the next.
    state.mustRenew = item.isDeleted || !succession;
    if (state.mustRenew) {
        base::incrementCounter(base::MetricFamily::EntriesRefused, { { "result", item.isDeleted ? "gone" : "unreadable" } });
        base::logEvent(LogClass::State, "entry-unreadable", { { "key", std::string_view(item.key) }, { "reason", item.isDeleted ? std::string_view("a record of who may order is gone") : std::string_view("no record of who may order") }, { "revision", static_cast<int64_t>(item.revision) } });
        return;
    }
    if (*succession == state.succession)
        return;
    state.succession = *succession;
    state.spentBelow = 0;
    state.decisions = 0;
    auto rank = decisions::findRank(*succession, m_context.self);
    std::string_view holder = succession->coordinators.empty() ? std::string_view() : std::string_view(succession->coordinators.front().host);
    base::logEvent(LogClass::State, "succession", { { "group", std::string_view(group) }, { "holder", holder }, { "first_token", static_cast<int64_t>(succession->firstToken) }, { "rank_here", rank ? static_cast<int64_t>(*rank) : int64_t { -1 } }, { "revision", static_cast<int64_t>(item.revision) } });
}

void Promoter::raiseAlarm(const std::string& group, const std::string& reason)
{
    auto& state = m_states[group];
    if (state.alarmedAt != TimePoint {})
        return;
    state.alarmedAt = Clock::now();
    state.alarm = reason;
}

std::vector<std::string> Promoter::getOrderers(const std::string& group) const
{
    std::vector<std::string> names;
    auto it = m_states.find(group);
    if (it == m_states.end())
        return names;
    for (auto& orderer : it->second.succession.coordinators)
        names.push_back(orderer.host);
    return names;
}

OrdererPlace Promoter::getOrdererPlace() const
{
    OrdererPlace place;
    for (auto& [group, state] : m_states) {
        if (!decisions::findRank(state.succession, m_context.self))
            continue;
        place.groups.insert(group);
        for (auto& it : state.succession.coordinators)
            place.orderers.insert(it.host);
    }
    return place;
}

void Promoter::noteProof(const std::string& group, TimePoint provenAt)
{
    auto it = m_states.find(group);
    if (it == m_states.end() || it->second.isWorking || provenAt < it->second.alarmedAt)
        return;
    it->second.alarmedAt = {};
}

void Promoter::noteNewLead(const std::string& group)
{
    auto it = m_states.find(group);
    if (it == m_states.end())
        return;
    it->second.alarmedAt = {};
    it->second.handoverDueAt = {};
}

void Promoter::noteOrder(const std::string& group, const std::string& host)
{
    auto& state = m_states[group];
    auto& orderers = state.succession.coordinators;
    auto it = std::ranges::find(orderers, host, &decisions::Coordinator::host);
    if (it != orderers.end())
        state.spentBelow = std::max(state.spentBelow, static_cast<size_t>(it - orderers.begin()));
}

std::vector<decisions::CoordinatorState> Promoter::getOrdererStates(const State& state, decisions::PromotionTask task) const
{
    std::vector<decisions::CoordinatorState> states;
    for (auto& it : state.succession.coordinators) {
        bool isSelf = it == m_context.self;
        auto host = m_context.view.hosts.find(it.host);
        bool isSame = host != m_context.view.hosts.end() && host->second.incarnation == it.incarnation;
        bool isUsable = isSelf ? !m_context.isDraining : isSame && m_context.peers.isUsable(it.host);
        bool isSpent = states.size() < state.spentBelow;
        states.push_back({ isUsable && !isSpent, canDo(it.host, task) });
    }
    return states;
}

std::optional<size_t> Promoter::getPlace(const State& state, decisions::PromotionTask task) const
{
    auto rank = decisions::findRank(state.succession, m_context.self);
    if (!rank)
        return std::nullopt;
    auto acting = decisions::rankUsableCoordinators(getOrdererStates(state, task));
    auto it = std::ranges::find(acting, *rank);
    if (it == acting.end())
        return std::nullopt;
    return static_cast<size_t>(it - acting.begin());
}

// Tells afterwards why nobody acted: each orderer says whom it leaves the group to.
void Promoter::noteCharge(const std::string& group, State& state)
{
    if (!decisions::findRank(state.succession, m_context.self))
        return;
    auto acting = decisions::rankUsableCoordinators(getOrdererStates(state, decisions::PromotionTask::HandOver));
    auto inCharge = acting.empty() ? std::string() : state.succession.coordinators[acting.front()].host;
    if (inCharge == state.inCharge)
        return;
    state.inCharge = inCharge;
    base::logEvent(LogClass::State, "in-charge", { { "group", std::string_view(group) }, { "holder", std::string_view(state.succession.coordinators.front().host) }, { "in_charge", std::string_view(inCharge) } });
}

bool Promoter::mustHandOver(const GroupView& belief) const
{
    auto it = m_context.view.members.find(belief.primary.member);
    return it != m_context.view.members.end() && (it->second.registration.isLeaving || it->second.unlistedAt);
}

// What is to be done for a group, and since when.
struct Promoter::Due {
    decisions::PromotionTask task;
    TimePoint at;
    std::string cause;
};

std::optional<Promoter::Due> Promoter::findDue(const GroupView& belief, State& state, TimePoint now) const
{
    auto rank = decisions::findRank(state.succession, m_context.self).value_or(0);
    bool isLeaderless = belief.primary.member.empty();
    if (!isLeaderless)
        state.leaderlessSince = {};
    else if (state.leaderlessSince == TimePoint {})
        state.leaderlessSince = now;
    if (!mustHandOver(belief))
        state.handoverDueAt = {};
    else if (state.handoverDueAt == TimePoint {})
        state.handoverDueAt = now;
    // A primary that leaves is replaced whether it is alive or not: an alarm must not make this an examination that ends with "it lives".
    if (state.handoverDueAt != TimePoint {})
        return Due { decisions::PromotionTask::HandOver, state.handoverDueAt, "the primary leaves" };
    if (state.alarmedAt != TimePoint {} && !isLeaderless)
        return Due { decisions::PromotionTask::CheckPrimary, state.alarmedAt + rank * kDeputyPause, state.alarm };
    if (isLeaderless && now - state.startedAt > kListedAgainLimit)
        return Due { decisions::PromotionTask::FindPrimary, state.leaderlessSince + kLeaderlessLimit, "no primary is known" };
    return std::nullopt;
}

// The holder acts at once, a deputy when those before it are out of reach, say that they cannot, or have not done it in time.
bool Promoter::isMyTurn(const State& state, const Due& due, TimePoint now) const
{
    auto place = getPlace(state, due.task);
    return place && now >= due.at + *place * decisions::getTakeoverDelay(due.task); // no differences: a product with a size is unsigned
}

// Most hosts order for no group: they only look now and then whether a record is due.
void Promoter::sweep(TimePoint now)
{
    if (!m_isOrderer && now - m_lookedAt < kCheckInterval)
        return;
    m_lookedAt = now;
    m_isOrderer = std::ranges::any_of(m_states, [&](auto& it) { return decisions::findRank(it.second.succession, m_context.self).has_value(); });
    for (auto& [group, belief] : m_context.view.groups) {
        if (!m_context.view.configuration.groups.contains(group)) // some entry names it, operators do not
            continue;
        auto& state = m_states[group];
        if (state.startedAt == TimePoint {})
            state.startedAt = now;
        keepSuccession(group, state, now);
        noteCharge(group, state);
        auto due = findDue(belief, state, now);
        if (!due || state.isWorking || now < state.notBefore || !isMyTurn(state, *due, now))
            continue;
        state.isWorking = true;
        asio::co_spawn(m_context.context, replace(group, due->task == decisions::PromotionTask::HandOver, due->cause), asio::detached);
    }
}

void Promoter::keepSuccession(const std::string& group, State& state, TimePoint now)
{
    if (state.isWriting || state.isWorking || m_context.isDraining || now - state.startedAt < kStoreLimit || now - state.checkedAt < kCheckInterval)
        return;
    state.checkedAt = now;
    if (!isFirst(group))
        return;
    bool isSpent = state.spentBelow > 0 || state.mustRenew;
    if (!isSpent && !decisions::isCoordinatorRecordDue(state.succession, getLiveOrderers(group, state)))
        return;
    auto ranked = rankLive(group);
    std::ranges::stable_partition(ranked, [this](const decisions::RankedCandidate& it) { return canDo(it.coordinator.host, decisions::PromotionTask::HandOver); });
    state.isWriting = true;
    asio::co_spawn(m_context.context, writeSuccession(group, decisions::makeCoordinatorRecord(state.succession, ranked), state.revision), asio::detached);
}

asio::awaitable<void> Promoter::writeSuccession(std::string group, decisions::CoordinatorRecord succession, uint64_t revision)
{
    auto key = std::string(kCoordinatorRecordPrefix) + group;
    links::StoreChange change;
    change.expected.emplace_back(key, revision);
    change.puts.push_back({ .key = key, .value = decisions::formatCoordinatorRecord(succession) });
    auto written = co_await m_context.platform.getStore().change(std::move(change), Clock::now() + kStoreLimit);
    auto& state = m_states[group];
    if (written)
        takeSuccession(group, { .key = key, .value = decisions::formatCoordinatorRecord(succession), .revision = *written });
    else if (written.error().kind == links::StoreErrorKind::Conflict) {
        for (auto& it : written.error().items)
            takeSuccession(group, it);
    }
    if (!written)
        co_await base::sleepFor(kPauseAfter);
    state.isWriting = false;
}

// What a decision rests on, a line a member.
static void logEvidence(const std::string& group, const std::vector<MemberFinding>& findings)
{
    for (auto& it : findings) {
        auto received = fmt::format("{}.{}", it.received.term, it.received.position);
        base::logEvent(LogClass::State, "promotion-evidence", { { "group", std::string_view(group) }, { "member", std::string_view(it.member) }, { "reached", it.wasReached }, { "primary", it.saysPrimary }, { "term", static_cast<int64_t>(it.term) }, { "received", std::string_view(received) }, { "may_lead", it.isPromotable } });
    }
}

asio::awaitable<void> Promoter::replace(std::string group, bool isPlanned, std::string cause)
{
    auto lead = m_context.view.groups[group].primary;
    auto began = Clock::now();
    base::logEvent(LogClass::State, "promotion-considered", { { "group", std::string_view(group) }, { "primary", std::string_view(lead.member) }, { "term", static_cast<int64_t>(lead.term) }, { "cause", std::string_view(cause) }, { "planned", isPlanned } });
    bool isDue = true;
    bool wasOrdered = false;
    auto member = m_context.view.members.find(lead.member);
    if (isPlanned)
        co_await waitForReplica(group, lead.member);
    auto replicas = std::make_shared<Replicas>(m_context.context.get_executor());
    askReplicas(group, lead.member, isPlanned, replicas);
    if (member != m_context.view.members.end() && !isPlanned)
        isDue = co_await isDead(group, member->second.getTarget());
    // Only now: a cut shows in the links to other hosts no sooner than in the silence of those that were asked.
    auto inReach = m_context.peers.countInReach();
    if (isDue && !isPlanned && !decisions::canJudgePrimary(inReach)) {
        isDue = false;
        base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("most other hosts are out of reach") }, { "hosts_answering", static_cast<int64_t>(inReach.answering) }, { "hosts_lost", static_cast<int64_t>(inReach.lost) } });
    }
    if (isDue)
        co_await replicas->latch.wait();
    auto& belief = m_context.view.groups[group];
    Occasion occasion { lead, isPlanned, began };
    auto objection = isDue ? findObjection(group, occasion) : std::string_view();
    if (!objection.empty()) {
        isDue = false;
        base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", objection }, { "member", std::string_view(belief.primary.member) }, { "term", static_cast<int64_t>(belief.primary.term) } });
    }
    if (isDue) {
        auto& findings = replicas->findings;
        logEvidence(group, findings);
        auto newestSeen = std::max(belief.provenTerm, decisions::findNewerTerm(findings, 0).value_or(0));
        auto leading = std::ranges::find_if(findings, [&](const MemberFinding& it) { return it.wasReached && it.saysPrimary && it.term >= newestSeen && it.member != lead.member; });
        auto limits = m_context.view.configuration.groups[group];
        auto successor = decisions::chooseSuccessor(findings, limits.synchronousReplicas, countListed(group));
        auto before = belief.primary;
        m_context.view.isForwardingUpdateDue = true;
        auto newerTerm = decisions::findNewerTerm(findings, lead.term);
        if (leading != findings.end() && leading->term < getMinTerm(belief, began))
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("a member leads, and an order is not over yet") }, { "member", std::string_view(leading->member) }, { "term", static_cast<int64_t>(leading->term) } });
        else if (leading != findings.end()) {
            applyProvenPrimary(belief, leading->member, leading->term, began, ProofRecipient::ThisHost);
            m_context.noteLead(group, before, "proof");
        } else if (newerTerm) {
            applyProvenTerm(belief, *newerTerm);
            m_context.noteLead(group, before, "members");
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("members know a newer term") }, { "term", static_cast<int64_t>(*newerTerm) }, { "known", static_cast<int64_t>(lead.term) } });
        } else if (successor) {
            uint64_t term = lead.term; // also an assumed one: hosts that believe it have to take the next
            for (auto& it : findings)
                term = std::max(term, std::max(it.term, it.received.term));
            wasOrdered = co_await order(group, *successor, term, occasion);
        } else
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("no member can be chosen") }, { "members_asked", static_cast<int64_t>(findings.size()) } });
    }
    auto& state = m_states[group];
    std::chrono::duration<double, std::milli> took = Clock::now() - began;
    base::logEvent(LogClass::State, "promotion-ended", { { "group", std::string_view(group) }, { "ms", took.count() } });
    state.isWorking = false;
    state.alarmedAt = {};
    state.notBefore = Clock::now() + (wasOrdered ? kPromotionGracePeriod : kPauseAfter);
}

// A handover waits up to 0.8 s for a replica, an examination up to 2 s for answers, an order without an answer is repeated for up to 7.6 s. A primary that takes its word back
// meanwhile, or shows that it leads, stays: to replace it would take back what it acknowledged since and replicas lack.
std::string_view Promoter::findObjection(const std::string& group, const Occasion& occasion) const
{
    auto& belief = m_context.view.groups[group];
    if (decisions::isSuperseded(occasion.lead, belief.primary))
        return "another primary became known meanwhile";
    if (occasion.isPlanned) {
        bool isSame = belief.primary.member == occasion.lead.member; // or nobody is known to lead since, and the change is due all the more
        return !isSame || mustHandOver(belief) ? "" : "the primary does not leave any more";
    }
    auto& floors = belief.floors.floors;
    bool hasShown = !floors.empty() && floors.back().coveredUntil > occasion.since && floors.back().mark.term == belief.primary.term;
    return hasShown && !belief.primary.member.empty() ? "the primary showed meanwhile that it leads" : "";
}

// One decision: one token, one member. An order without an answer is repeated as it was; it may still be carried out.
asio::awaitable<bool> Promoter::order(std::string group, std::string member, uint64_t oldTerm, Occasion occasion)
{
    auto& state = m_states[group];
    auto rank = decisions::findRank(state.succession, m_context.self);
    auto token = rank ? decisions::getFencingToken(state.succession, *rank, state.decisions) : std::nullopt;
    if (!token)
        co_return false;
    ++state.decisions;
    base::checkInvariant(*token > state.lastToken, "a token for a promotion was not above the one before", group);
    state.lastToken = *token;
    for (int i = 0; i < kOrderTries; ++i) {
        auto askedAt = Clock::now();
        // A named value: g++ 12 destroys aggregates that are made within a co_await expression twice.
        links::PromotionOrder request { group, member, m_context.self.host, *token };
        auto result = co_await m_context.platform.promote(request, askedAt + kOrderLimit);
        static constexpr std::array names { "done", "outranked", "not-running", "busy", "unknown" };
        std::chrono::duration<double, std::milli> took = Clock::now() - askedAt;
        base::logEvent(LogClass::State, "promotion-ordered", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "token", static_cast<int64_t>(*token) }, { "result", std::string_view(names[static_cast<size_t>(result)]) }, { "ms", took.count() } });
        base::incrementCounter(base::MetricFamily::PromotionOrders, { { "group", group }, { "result", names[static_cast<size_t>(result)] } });
        // One without an answer may yet be carried out, unless a deputy's higher token comes in between: that is no reason to leave it to others.
        m_ordersLostAt = result == PromotionResult::Busy ? Clock::now() : TimePoint {};
        bool isDone = result == PromotionResult::Done;
        auto newTerm = oldTerm + 1;
        auto chosen = m_context.view.members.find(member);
        if (result == PromotionResult::Unknown && chosen != m_context.view.members.end()) {
            auto target = chosen->second.getTarget();
            auto finding = co_await ask(m_context.self.host, target);
            isDone = finding.wasReached && finding.status.isPrimary && finding.status.term > oldTerm;
            newTerm = std::max(newTerm, finding.status.term);
        }
        if (isDone) {
            auto& belief = m_context.view.groups[group];
            auto before = belief.primary;
            applyOrderedPrimary(belief, member, newTerm, Clock::now());
            m_context.noteLead(group, before, "ordered");
            m_context.peers.sendLead(group, member, newTerm);
            co_return true;
        }
        if (result == PromotionResult::Outranked || result == PromotionResult::NotRunning) {
            if (result == PromotionResult::Outranked) // another host has ordered; the next record's tokens are above all of this one's
                state.spentBelow = std::max(state.spentBelow, *rank + 1);
            co_return false;
        }
        co_await base::sleepFor(kRetryPause);
        // Somebody else may have taken over meanwhile, the more so if this process was frozen.
        if (Clock::now() - askedAt > kOrderLimit + kRetryPause + kPauseAfter || *rank < state.spentBelow || m_context.isDraining)
            co_return false;
        if (auto objection = findObjection(group, occasion); !objection.empty()) {
            base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", objection }, { "member", std::string_view(member) }, { "token", static_cast<int64_t>(*token) } });
            co_return false;
        }
    }
    co_return false;
}

}
