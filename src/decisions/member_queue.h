// The queue of statements for one member: admission control and scheduling. Plain values; the caller supplies the time.
//
// A short burst is queued in full, as long as each statement can be answered before its deadline. In a sustained overload the queue
// is kept short instead: expensive operations are refused on arrival, so that the admitted ones still meet their objectives.
//
// COMMON MISTAKES
//   - Refusing a later statement of a transaction to shorten the queue: the work already done for the transaction is lost.
//
// [SECTION] Costs      member time used by operations, learned from completed ones
// [SECTION] Overload   detection of sustained overload
// [SECTION] Queue      admission and scheduling
#pragma once
#include "decisions/account_shares.h"
#include "decisions/scheduling.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Costs
//-----------------------------------------------------------------------------

// Operations of one kind are assumed to have the same cost.
struct OperationKind {
    uint32_t database { 0 }; // hash of its name
    bool isTransaction { false };
    friend auto operator<=>(const OperationKind&, const OperationKind&) = default;
};

struct OperationCost {
    double ms { 0 }; // moving average of the slot time that all statements of one operation use at the member
    unsigned observations { 0 }; // number of operations in the average
    double offered { 0 }; // recent arrivals; halved every kCountHalfLife
    double served { 0 }; // recent arrivals whose first statement was dequeued; halved likewise
    friend bool operator==(const OperationCost&, const OperationCost&) = default;
};

using OperationCosts = std::map<OperationKind, OperationCost>;

inline constexpr unsigned kMinObservations = 8; // with fewer, the cost is estimated as the typical time of one statement

// Records a completed operation that used a slot at the member for `ms`.
void recordOperationCost(OperationCosts& costs, const OperationKind& kind, double ms);
// Returns the expected cost in ms. `workMs` is the typical time of one statement, used for kinds with too few observations.
double getCostMs(const OperationCosts& costs, const OperationKind& kind, double workMs);
// Whether so few operations of this kind are served that the next one must be scheduled first, regardless of priority.
bool isStarved(const OperationCosts& costs, const OperationKind& kind);

//-----------------------------------------------------------------------------
// [SECTION] Overload
//-----------------------------------------------------------------------------

struct Overload {
    bool isSustained { false };
    TimePoint lastTolerableAt {}; // when the queue's wait was last tolerable
    TimePoint lastRefusedAt {}; // when a statement was last refused on arrival, or the overload began
    friend bool operator==(const Overload&, const Overload&) = default;
};

// Returns the state updated for a queue that takes `waitMs` to empty, where callers tolerate a wait of `tolerableMs`.
Overload updateOverload(Overload overload, double waitMs, double tolerableMs, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Queue
//-----------------------------------------------------------------------------

struct QueueEntry {
    uint64_t number { 0 }; // unique, assigned by the caller of admit()
    SchedulingParameters scheduling {};
    OperationKind kind {};
    TimePoint arrivedAt {};
    uint32_t account { 0 }; // number in AccountShares
    double chargedMs { 0 }; // slot time that the account was charged when the entry was dequeued

    // Returns the wait that uses only a small part of the time left to the objective, in ms.
    double getTolerableWaitMs() const;
};

// The statements queued for one member, with its learned costs and overload state. Modified in place, as it changes with each statement.
struct MemberQueue {
    std::vector<QueueEntry> entries {};
    OperationCosts costs {};
    Overload overload {};
    double workMs { 10 }; // typical time of one statement at the member
    unsigned concurrency { 1 }; // maximum number of statements sent to the member at a time
    TimePoint countedAt {}; // when the counts of operations were last halved
    AccountShares shares {}; // enabled where connections belong to accounts
};

// Whether `a` is scheduled before `b`. The order depends on whether the queue is in a sustained overload, and on accounts' shares while they compete.
bool isScheduledBefore(const MemberQueue& queue, const QueueEntry& a, const QueueEntry& b, TimePoint now);
// Returns the estimated time until the queue is empty, in ms.
double getTotalWaitMs(const MemberQueue& queue);
// Returns the estimated wait of an entry, queued or about to be, in ms.
double getWaitMs(const MemberQueue& queue, const QueueEntry& entry, TimePoint now);
// Queues an entry. Returns the entries to refuse, now removed: the new one, or all that exceed the limits of an overload detected just now.
std::vector<QueueEntry> admit(MemberQueue& queue, const QueueEntry& entry, TimePoint now);
// Call it while something other than load blocks entries, such as a planned change of primary, so that their wait does not count as overload.
void noteQueueHeld(MemberQueue& queue, TimePoint now);
// Removes and returns entries that are past their deadline or, in a sustained overload, have waited too long. Call it every few tens of ms.
std::vector<QueueEntry> removeExpired(MemberQueue& queue, TimePoint now);
// Updates the shares of accounts and whether they compete. The other functions that modify the queue call it as well.
void updateShares(MemberQueue& queue, TimePoint now);
// Replaces the estimate that the account of a dequeued entry was charged by the slot time that the statement used.
void settleCharge(MemberQueue& queue, uint32_t account, double chargedMs, double usedMs);
// Returns when the caller of a refused entry should retry, from the rate at which the member serves the queue and the account's share.
double getRetryAfterMs(MemberQueue& queue, const QueueEntry& refused);
// Removes and returns the first runnable entry in scheduling order.
std::optional<QueueEntry> popNextRunnable(MemberQueue& queue, TimePoint now, const std::function<bool(const QueueEntry&)>& isRunnable);

}
