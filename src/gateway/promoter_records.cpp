// The coordinator record of each group in the platform's store: who may order promotions, with which tokens, and, in groups with synchronous replicas,
// the orders that may be carried out late (docs/design/0015-synchronous-promotion.md).
#include "base/event_log.h"
#include "base/families.h"
#include "base/metrics.h"
#include "base/tasks.h"
#include "gateway/directory.h"
#include "gateway/promoter_evidence.h"
#include <algorithm>
#include <array>
#include <utility>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;

static constexpr milliseconds kStoreTimeout { 600 }; // of a write of the coordinator record
static constexpr std::array<std::string_view, 3> kRecordWriteNames { "recorded", "conflict", "unavailable" }; // by RecordWrite
static constexpr int kRecordAttempts = 3; // to record an order, while other hosts change the record

// Whether this host is the best-ranked live host that can write the record, or the best-ranked live host if none can. Called often by
// every host for every group, so it stops at the first match instead of ranking all hosts.
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

// The live hosts needed to check the record: this host, its coordinators, and the best-ranked ones up to kCoordinatorCount.
std::vector<decisions::LiveCandidate> Promoter::getLiveCandidates(const std::string& group, const GroupState& state) const
{
    std::vector<decisions::LiveCandidate> live;
    auto addCandidate = [&](const decisions::Coordinator& it) {
        if (std::ranges::find(live, it, &decisions::LiveCandidate::coordinator) == live.end())
            live.push_back({ it, canPerformTask(it.host, decisions::PromotionTask::HandOver) });
    };
    addCandidate(m_context.self);
    for (auto& it : state.record.coordinators) {
        auto host = m_context.view.hosts.find(it.host);
        if (host != m_context.view.hosts.end() && host->second.incarnation == it.incarnation && isLive(it.host))
            addCandidate(it);
    }
    for (auto& name : getRankedHosts(m_context.view, group)) {
        if (live.size() >= decisions::kCoordinatorCount)
            break;
        if (isLive(name))
            addCandidate({ name, m_context.view.hosts.at(name).incarnation });
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
    // A host that starts now would find no record and begin with token 1 again, so a host that knows the previous record must replace it.
    state.mustRenewRecord = item.isDeleted || !record;
    if (state.mustRenewRecord) {
        base::incrementCounter(base::MetricFamily::EntriesRefused, { { "result", item.isDeleted ? "gone" : "unreadable" } });
        base::logEvent(LogClass::State, "entry-unreadable", { { "key", std::string_view(item.key) }, { "reason", item.isDeleted ? std::string_view("the coordinator record was deleted") : std::string_view("the value is not a coordinator record") }, { "revision", static_cast<int64_t>(item.revision) } });
        return;
    }
    if (*record == state.record)
        return;
    bool areTokensSame = record->coordinators == state.record.coordinators && record->firstToken == state.record.firstToken;
    auto before = std::exchange(state.record, *record);
    if (areTokensSame) {
        withdrawRemovedOrders(group, before.recorded);
        return;
    }
    bool wasCoordinator = decisions::findRank(before, m_context.self).has_value();
    state.firstUsableRank = 0;
    state.orderCount = 0;
    auto rank = decisions::findRank(*record, m_context.self);
    if (rank && !wasCoordinator)
        state.coordinatorSince = Clock::now();
    std::string_view firstCoordinator = record->coordinators.empty() ? std::string_view() : std::string_view(record->coordinators.front().host);
    base::logEvent(LogClass::State, "succession", { { "group", std::string_view(group) }, { "holder", firstCoordinator }, { "first_token", static_cast<int64_t>(record->firstToken) }, { "rank_here", rank ? static_cast<int64_t>(*rank) : int64_t { -1 } }, { "revision", static_cast<int64_t>(item.revision) } });
}

void Promoter::maintainCoordinatorRecord(const std::string& group, GroupState& state, TimePoint now)
{
    if (state.isWritingRecord || state.isPromoting || m_context.isDraining || now - state.startedAt < kStoreTimeout || now - state.recordCheckedAt < kRecordCheckInterval)
        return;
    state.recordCheckedAt = now;
    if (!isFirstCandidate(group))
        return;
    bool mustRenew = state.firstUsableRank > 0 || state.mustRenewRecord;
    if (!mustRenew && !decisions::isCoordinatorRecordDue(state.record, getLiveCandidates(group, state)))
        return;
    auto ranked = rankLiveHosts(group);
    std::ranges::stable_partition(ranked, [this](const decisions::RankedCandidate& it) { return canPerformTask(it.coordinator.host, decisions::PromotionTask::HandOver); });
    state.isWritingRecord = true;
    spawnRecordWrite(group, decisions::makeCoordinatorRecord(state.record, ranked), state.revision);
}

void Promoter::spawnRecordWrite(const std::string& group, decisions::CoordinatorRecord record, uint64_t revision)
{
    base::spawnTask(m_context.context, "write-record", writeCoordinatorRecord(group, std::move(record), revision), [this, group] { m_groups[group].isWritingRecord = false; });
}

asio::awaitable<void> Promoter::writeCoordinatorRecord(std::string group, decisions::CoordinatorRecord record, uint64_t revision)
{
    auto result = co_await storeRecord(group, std::move(record), revision);
    if (result != RecordWrite::Written)
        co_await base::sleepFor(kAttemptCooldown);
    m_groups[group].isWritingRecord = false;
}

// Replaces the record of this revision, and applies the one that is in the store then.
asio::awaitable<Promoter::RecordWrite> Promoter::storeRecord(std::string group, decisions::CoordinatorRecord record, uint64_t revision)
{
    auto key = std::string(kCoordinatorRecordPrefix) + group;
    links::StoreChange change;
    change.expected.emplace_back(key, revision);
    change.puts.push_back({ .key = key, .value = decisions::formatCoordinatorRecord(record) });
    auto written = co_await m_context.platform.getStore().change(std::move(change), Clock::now() + kStoreTimeout);
    if (written) {
        applyCoordinatorRecord(group, { .key = key, .value = decisions::formatCoordinatorRecord(record), .revision = *written });
        co_return RecordWrite::Written;
    }
    if (written.error().kind != links::StoreErrorKind::Conflict)
        co_return RecordWrite::Unknown;
    for (auto& it : written.error().items)
        applyCoordinatorRecord(group, it);
    co_return RecordWrite::Conflict;
}

// ---- orders in the record ----

// Without those that are settled, and those that are known to be refused.
std::vector<decisions::RecordedOrder> Promoter::getRecordedOrders(const std::string& group, const GroupState& state) const
{
    auto& recorded = state.record.recorded;
    auto groupView = m_context.view.groups.find(group);
    bool isSettled = groupView != m_context.view.groups.end() && groupView->second.provenTerm > recorded.previousTerm;
    if (isSettled)
        return {};
    auto orders = recorded.orders;
    std::erase_if(orders, [&](const decisions::RecordedOrder& it) {
        auto refused = state.refusedMembers.find(it.sender);
        return refused != state.refusedMembers.end() && refused->second.contains(it.member);
    });
    return orders;
}

static void logRecordedOrder(const std::string& group, const std::string& member, uint64_t previousTerm, std::string_view result)
{
    base::logEvent(LogClass::State, "promotion-recorded", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "previous_term", static_cast<int64_t>(previousTerm) }, { "result", result } });
}

// Whoever becomes a coordinator later finds the order in its record, even if all that were told of it have ended. Returns false if this process may not
// send it: it is no coordinator any more, or another member may be promoted. An order is sent without a record if the store cannot be reached.
asio::awaitable<bool> Promoter::recordOrder(std::string group, std::string member, uint64_t previousTerm)
{
    auto& state = m_groups[group];
    state.refusedMembers[m_context.self].erase(member);
    std::string_view result = "conflict";
    for (int i = 0; i < kRecordAttempts && result == "conflict"; ++i) {
        if (!decisions::findRank(state.record, m_context.self) || mayPromoteOther(group, state, member)) {
            result = "superseded";
            break;
        }
        auto record = state.record;
        record.recorded = decisions::addOrder(record.recorded, { member, m_context.self }, previousTerm);
        auto write = record == state.record ? RecordWrite::Written : RecordWrite::Unknown;
        if (write != RecordWrite::Written && m_context.hasStore())
            write = co_await storeRecord(group, record, state.revision);
        result = kRecordWriteNames[static_cast<size_t>(write)];
    }
    logRecordedOrder(group, member, previousTerm, result);
    auto orders = getRecordedOrders(group, state);
    bool wasOrderedByOther = std::ranges::any_of(orders, [&](const decisions::RecordedOrder& it) { return it.member == member && it.sender != m_context.self; });
    if (wasOrderedByOther && state.pending)
        state.pending->isInForce = true;
    co_return result == "recorded" || result == "unavailable";
}

// Whether the record has an order for another member that this host has not heard of otherwise.
bool Promoter::mayPromoteOther(const std::string& group, const GroupState& state, const std::string& member) const
{
    auto isKnown = [&](const decisions::RecordedOrder& it) {
        return it.member == member || std::ranges::any_of(state.orderedMembers, [&](auto& known) { return known.second.contains(it.member); });
    };
    auto orders = getRecordedOrders(group, state);
    return !std::ranges::all_of(orders, isKnown);
}

// Orders that were refused, or not sent after all, no longer bind the coordinators that come later.
void Promoter::removeRefusedOrders(const std::string& group, GroupState& state)
{
    auto refused = state.refusedMembers.find(m_context.self);
    bool isBusy = state.isWritingRecord || state.isPromoting || m_context.isDraining;
    if (isBusy || refused == state.refusedMembers.end())
        return;
    auto record = state.record;
    record.recorded = decisions::removeOrders(record.recorded, m_context.self, refused->second);
    bool isSettled = m_context.view.groups[group].provenTerm > state.record.recorded.previousTerm;
    if (record == state.record || isSettled) {
        state.refusedMembers.erase(refused);
        return;
    }
    if (!m_context.hasStore())
        return;
    state.isWritingRecord = true;
    spawnRecordWrite(group, std::move(record), state.revision);
}

// Recorded orders bind the next attempts, whoever sent them.
void Promoter::applyRecordedOrders(const std::string& group, GroupState& state)
{
    if (state.isPromoting)
        return;
    for (auto& it : getRecordedOrders(group, state)) {
        auto known = state.orderedMembers.find(it.sender);
        bool isKnown = it.sender == m_context.self || (known != state.orderedMembers.end() && known->second.contains(it.member));
        if (!isKnown)
            applyOrder(group, it, state.record.recorded.previousTerm, "recorded");
    }
}

// Their senders have removed them from the record, as they are not carried out.
void Promoter::withdrawRemovedOrders(const std::string& group, const decisions::RecordedOrders& before)
{
    auto& state = m_groups[group];
    auto& recorded = state.record.recorded.orders;
    for (auto& it : before.orders) {
        auto known = state.orderedMembers.find(it.sender);
        bool isRemoved = it.sender != m_context.self && std::ranges::find(recorded, it) == recorded.end();
        if (isRemoved && known != state.orderedMembers.end() && known->second.contains(it.member))
            withdrawOrder(group, it);
    }
}

}
