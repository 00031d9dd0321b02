#include "decisions/member_queue.h"
#include <algorithm>
#include <chrono>
#include <tuple>

namespace alderward::decisions {

static constexpr double kCostSmoothing = 0.1; // weight of the newest operation
static constexpr milliseconds kCountHalfLife { 1000 };
static constexpr double kMinServedShare = 0.1; // of a kind's operations; below, the kind is starved
static constexpr double kMinOffered = 5; // arrivals needed to judge a kind's share
static constexpr double kTolerableObjectiveShare = 0.125; // tolerable wait, as a share of the time left to the objective: callers hardly notice it, and 0.06 to 0.2 serve as many
static constexpr double kOverloadWaitFactor = 2; // overload begins above this multiple of the tolerable wait
static constexpr double kMinTolerableStatements = 4; // lower bound of the tolerable wait, in typical statement times, so that the member does not idle between bursts
// Long enough for most bursts of callers that reconnect after a fault to pass. Half of it served fewer where overloads last for some seconds, and no more
// where they last all day.
static constexpr milliseconds kOverloadStartDelay { 2000 };
static constexpr milliseconds kOverloadEndDelay { 500 }; // time without a refusal
static constexpr double kMaxWaitFactor = 2; // multiple of the tolerable wait after which a queued entry is refused during overload
// Upper bound of the retry time: the shortest deadline of interactive callers. A later retry is of no use to them.
static constexpr double kMaxRetryAfterMs = 2000;

static double getMs(TimePoint::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void recordOperationCost(OperationCosts& costs, const OperationKind& kind, double ms)
{
    auto& cost = costs[kind];
    ms = std::max(0.0, ms);
    cost.ms = cost.observations == 0 ? ms : cost.ms + kCostSmoothing * (ms - cost.ms);
    ++cost.observations;
}

double getCostMs(const OperationCosts& costs, const OperationKind& kind, double workMs)
{
    auto it = costs.find(kind);
    bool isKnown = it != costs.end() && it->second.observations >= kMinObservations;
    return isKnown ? it->second.ms : workMs;
}

bool isStarved(const OperationCosts& costs, const OperationKind& kind)
{
    auto it = costs.find(kind);
    return it != costs.end() && it->second.offered >= kMinOffered && it->second.served < kMinServedShare * it->second.offered;
}

static void halveCounts(MemberQueue& queue, TimePoint now)
{
    if (now - queue.countedAt < kCountHalfLife)
        return;
    queue.countedAt = now;
    for (auto& [kind, cost] : queue.costs) {
        cost.offered /= 2;
        cost.served /= 2;
    }
}

void noteQueueHeld(MemberQueue& queue, TimePoint now)
{
    if (!queue.overload.isSustained)
        queue.overload.lastTolerableAt = now;
}

Overload updateOverload(Overload overload, double waitMs, double tolerableMs, TimePoint now)
{
    bool isTolerable = waitMs <= (overload.isSustained ? 1 : kOverloadWaitFactor) * tolerableMs;
    if (overload.lastTolerableAt == TimePoint {} || isTolerable)
        overload.lastTolerableAt = now;
    if (!overload.isSustained && now - overload.lastTolerableAt >= kOverloadStartDelay) {
        overload.isSustained = true;
        overload.lastRefusedAt = now;
    }
    // Refusals keep the wait tolerable during overload, so a tolerable wait alone does not show that the load has passed.
    if (overload.isSustained && isTolerable && now - overload.lastRefusedAt >= kOverloadEndDelay)
        overload.isSustained = false;
    return overload;
}

double QueueEntry::getTolerableWaitMs() const
{
    return kTolerableObjectiveShare * std::max(0.0, getMs(scheduling.objective - arrivedAt));
}

static double getTolerableWaitMs(const MemberQueue& queue, const QueueEntry& entry)
{
    return std::max(entry.getTolerableWaitMs(), kMinTolerableStatements * queue.workMs);
}

bool isScheduledBefore(const MemberQueue& queue, const QueueEntry& a, const QueueEntry& b, TimePoint now)
{
    if (queue.shares.isCompeting && !a.scheduling.isContinuation && !b.scheduling.isContinuation) {
        auto rankA = getShareRank(queue.shares, a.account);
        auto rankB = getShareRank(queue.shares, b.account);
        if (rankA != rankB)
            return rankA < rankB;
    }
    if (!queue.overload.isSustained)
        return isScheduledBefore(a.scheduling, b.scheduling, now, queue.workMs);
    auto rank = [&](const QueueEntry& it) { return std::tuple(!it.scheduling.isContinuation, !isStarved(queue.costs, it.kind), it.scheduling.priority, it.arrivedAt); };
    return rank(a) < rank(b);
}

// The more expensive a kind is, the smaller the share of the tolerable wait at which it is still admitted. Cheaper kinds fill the member,
// and more expensive ones are refused on arrival rather than after waiting.
static double getTolerableShare(const MemberQueue& queue, const OperationKind& kind)
{
    if (isStarved(queue.costs, kind))
        return 1;
    auto own = getCostMs(queue.costs, kind, queue.workMs);
    double kindCount = 1;
    double costlierKinds = 1;
    for (auto& [other, cost] : queue.costs) {
        if (other == kind || cost.offered < kMinOffered)
            continue;
        ++kindCount;
        costlierKinds += getCostMs(queue.costs, other, queue.workMs) > own ? 1 : 0;
    }
    return costlierKinds / kindCount;
}

// A first statement counts with its whole operation, because later statements of its transaction are scheduled ahead of other first ones.
static double getEstimatedMs(const MemberQueue& queue, const QueueEntry& entry)
{
    return entry.scheduling.isContinuation ? queue.workMs : getCostMs(queue.costs, entry.kind, queue.workMs);
}

double getWaitMs(const MemberQueue& queue, const QueueEntry& entry, TimePoint now)
{
    double aheadMs = 0;
    for (auto& it : queue.entries) {
        if (it.number != entry.number && isScheduledBefore(queue, it, entry, now))
            aheadMs += getEstimatedMs(queue, it);
    }
    return aheadMs / std::max(1U, queue.concurrency);
}

double getTotalWaitMs(const MemberQueue& queue)
{
    double ms = 0;
    for (auto& it : queue.entries)
        ms += getEstimatedMs(queue, it);
    return ms / std::max(1U, queue.concurrency);
}

static bool isTooLong(const MemberQueue& queue, const QueueEntry& entry, double waitMs)
{
    return !entry.scheduling.isContinuation && waitMs > getTolerableShare(queue, entry.kind) * getTolerableWaitMs(queue, entry);
}

// Refuses entries that were admitted before the overload was detected and would wait too long.
static std::vector<QueueEntry> refuseExcess(MemberQueue& queue, TimePoint now)
{
    std::vector<QueueEntry> refused;
    std::ranges::sort(queue.entries, [&](const QueueEntry& a, const QueueEntry& b) { return isScheduledBefore(queue, a, b, now); });
    double aheadMs = 0;
    std::erase_if(queue.entries, [&](const QueueEntry& it) {
        bool isRefused = isTooLong(queue, it, aheadMs / std::max(1U, queue.concurrency));
        if (isRefused)
            refused.push_back(it);
        else
            aheadMs += getEstimatedMs(queue, it);
        return isRefused;
    });
    return refused;
}

void updateShares(MemberQueue& queue, TimePoint now)
{
    auto& shares = queue.shares;
    if (!shares.isEnabled) {
        shares.isCompeting = false;
        return;
    }
    for (auto& it : shares.accounts)
        it.waiting = it.waitingTransactions = 0;
    bool isTolerable = !queue.overload.isSustained;
    for (auto& it : queue.entries) {
        auto& account = shares.accounts[it.account];
        ++account.waiting;
        if (it.scheduling.isContinuation)
            continue;
        account.waitingTransactions += it.kind.isTransaction ? 1 : 0;
        isTolerable = isTolerable && getMs(now - it.arrivedAt) <= getTolerableWaitMs(queue, it);
    }
    shares.isCompeting = !isTolerable;
    advanceShares(shares, queue.concurrency, queue.workMs, now);
}

void settleCharge(MemberQueue& queue, uint32_t account, double chargedMs, double usedMs)
{
    if (queue.shares.isEnabled)
        chargeAccount(queue.shares, account, usedMs - chargedMs);
}

double getRetryAfterMs(MemberQueue& queue, const QueueEntry& refused)
{
    auto waitMs = getTotalWaitMs(queue);
    if (!queue.shares.isEnabled)
        return waitMs;
    return std::min(kMaxRetryAfterMs, std::max(waitMs, getRefusedWaitMs(queue.shares, refused.account, getEstimatedMs(queue, refused), kMaxRetryAfterMs)));
}

static bool isAdmitted(const MemberQueue& queue, const QueueEntry& entry, TimePoint now)
{
    if (queue.overload.isSustained)
        return !isTooLong(queue, entry, getWaitMs(queue, entry, now));
    auto ahead = std::ranges::count_if(queue.entries, [&](const QueueEntry& it) { return isScheduledBefore(queue, it, entry, now); });
    return canStartInTime(entry.scheduling, static_cast<size_t>(ahead), queue.concurrency, now, queue.workMs);
}

std::vector<QueueEntry> admit(MemberQueue& queue, const QueueEntry& entry, TimePoint now)
{
    halveCounts(queue, now);
    if (!entry.scheduling.isContinuation)
        queue.costs[entry.kind].offered += 1;
    bool wasSustained = queue.overload.isSustained;
    queue.overload = updateOverload(queue.overload, getTotalWaitMs(queue), getTolerableWaitMs(queue, entry), now);
    updateShares(queue, now); // after the overload, which lets the ranks apply
    if (!isAdmitted(queue, entry, now)) {
        queue.overload.lastRefusedAt = now;
        return { entry };
    }
    queue.entries.push_back(entry);
    bool hasBegun = queue.overload.isSustained && !wasSustained;
    return hasBegun ? refuseExcess(queue, now) : std::vector<QueueEntry>();
}

std::vector<QueueEntry> removeExpired(MemberQueue& queue, TimePoint now)
{
    updateShares(queue, now);
    std::vector<QueueEntry> expired;
    std::erase_if(queue.entries, [&](const QueueEntry& it) {
        bool hasWaitedTooLong = queue.overload.isSustained && !it.scheduling.isContinuation && getMs(now - it.arrivedAt) > kMaxWaitFactor * getTolerableWaitMs(queue, it);
        bool isLate = now >= it.scheduling.deadline;
        if (hasWaitedTooLong || isLate)
            expired.push_back(it);
        return hasWaitedTooLong || isLate;
    });
    return expired;
}

std::optional<QueueEntry> popNextRunnable(MemberQueue& queue, TimePoint now, const std::function<bool(const QueueEntry&)>& isRunnable)
{
    updateShares(queue, now);
    auto best = queue.entries.end();
    for (auto it = queue.entries.begin(); it != queue.entries.end(); ++it) {
        bool isBetter = best == queue.entries.end() || isScheduledBefore(queue, *it, *best, now);
        if (isBetter && isRunnable(*it))
            best = it;
    }
    if (best == queue.entries.end())
        return std::nullopt;
    auto entry = *best;
    queue.entries.erase(best);
    if (!entry.scheduling.isContinuation)
        queue.costs[entry.kind].served += 1;
    if (queue.shares.isEnabled)
        entry.chargedMs = std::max(0.0, chargeAccount(queue.shares, entry.account, queue.workMs)); // a lower bound of the lead cuts it, which is no refund
    return entry;
}

}
