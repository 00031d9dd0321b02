// The queue of statements before one member: whose turn it is, and who is refused. Plain values; the caller brings the time.
//
// Two loads are answered. A short one, as after a restart of all hosts, is waited out: everybody whose answer can still come in time
// stays. One that lasts, as when both replicas of a group are behind and its primary serves alone, cannot be waited out: whoever is
// served has then waited for most of the objective, and the others are refused after as long. So once the queue has not been short
// for a while it is kept short, the cheapest operations of each priority go first, and whoever is too much hears it at once.
//
// COMMON MISTAKES
//   - Refusing a later statement of a transaction to shorten the queue: all that the transaction took of the member so far is lost.
//
// [SECTION] Costs      what operations take of the member, learned from those that ended
// [SECTION] Overload   whether the queue stands
// [SECTION] Queue      admission and turns
#pragma once
#include "decisions/turns.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Costs
//-----------------------------------------------------------------------------

// Operations that are taken to cost alike.
struct OperationKind {
    uint32_t database { 0 }; // hash of its name
    bool isTransaction { false };
    friend auto operator<=>(const OperationKind&, const OperationKind&) = default;
};

struct OperationCost {
    double ms { 0 }; // of one place at the member, over all statements of the operation; smoothed
    unsigned observations { 0 }; // operations that `ms` rests on
    double offered { 0 }; // operations that came lately; halved each kCountsHalveIn
    double served { 0 }; // of these, got their first turn
    friend bool operator==(const OperationCost&, const OperationCost&) = default;
};

using OperationCosts = std::map<OperationKind, OperationCost>;

inline constexpr unsigned kMinObservations = 8; // below, an operation is taken to cost one statement's usual time

// An operation ended after `ms` of a place at the member.
void recordOperation(OperationCosts& costs, const OperationKind& kind, double ms);
// `workMs`: one statement's usual time, for kinds that were seen too seldom.
double getCostMs(const OperationCosts& costs, const OperationKind& kind, double workMs);
// Whether so few of the kind get a turn that the next one goes first, whatever its priority.
bool isStarved(const OperationCosts& costs, const OperationKind& kind);

//-----------------------------------------------------------------------------
// [SECTION] Overload
//-----------------------------------------------------------------------------

struct Overload {
    bool isSustained { false };
    TimePoint lastTolerableAt {}; // when the queue was last short
    TimePoint lastRefusedAt {}; // when somebody was last refused to keep it short
    friend bool operator==(const Overload&, const Overload&) = default;
};

// The queue now takes `waitMs` to run empty; a wait of `shortMs` does not matter to callers.
Overload updateOverload(Overload overload, double waitMs, double tolerableMs, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Queue
//-----------------------------------------------------------------------------

struct QueueEntry {
    uint64_t number { 0 }; // the caller's, unique
    SchedulingParameters scheduling {};
    OperationKind kind {};
    TimePoint arrivedAt {};

    // The wait that its caller hardly notices, in ms.
    double getTolerableWaitMs() const;
};

// The entries before one member and what was learned there. Changed in place: it moves with each statement.
struct MemberQueue {
    std::vector<QueueEntry> entries {};
    OperationCosts costs {};
    Overload overload {};
    double workMs { 10 }; // usual time of one statement at the member
    unsigned concurrency { 1 }; // statements at the member at a time
    TimePoint countedAt {}; // when counts of operations were last halved
};

// Whether a goes before b, in the order that the queue follows now.
bool isScheduledBefore(const MemberQueue& queue, const QueueEntry& a, const QueueEntry& b, TimePoint now);
// How long the queue as it is takes to run empty, in ms.
double getTotalWaitMs(const MemberQueue& queue);
// How long the entry, which waits or is about to, would wait for its turn.
double getWaitMs(const MemberQueue& queue, const QueueEntry& entry, TimePoint now);
// Adds an entry. Returns those that are refused because of it, unsent: itself, or others that it goes before.
std::vector<QueueEntry> admit(MemberQueue& queue, const QueueEntry& entry, TimePoint now);
// Something else than load keeps entries from running, as writes during a planned change of primary: their wait says nothing.
void noteQueueHeld(MemberQueue& queue, TimePoint now);
// Takes those out that have waited in vain. Call it every few tens of ms.
std::vector<QueueEntry> removeExpired(MemberQueue& queue, TimePoint now);
// Takes out the one whose turn it is among those that can run.
std::optional<QueueEntry> popNextRunnable(MemberQueue& queue, TimePoint now, const std::function<bool(const QueueEntry&)>& isRunnable);

}
