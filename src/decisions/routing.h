// Where a statement goes, and whether a write is confirmed. Pure functions over what a home knows of its group.
#pragma once
#include "decisions/health.h"
#include <optional>
#include <string>
#include <vector>

namespace alderward::decisions {

// What a read must see.
struct ReadRequirements {
    Mark mark {}; // the session's mark of the group
    std::optional<milliseconds> maximumAge {}; // empty: any age, the mark alone decides
    std::vector<size_t> tried {}; // members that refused this read as behind since the view last changed
};

// A member as a target for the next statement.
struct TargetLoad {
    bool isUsable { true }; // in the record, not leaving, reachable
    bool isNear { false }; // in this host's data centre
    unsigned waiting { 0 }; // statements queued for it here
    unsigned running { 0 }; // statements in flight from here
    uint64_t knownPosition { 0 }; // newest position seen in the present term
};

enum class RouteKind {
    Member, // send it to `member`
    Wait, // nothing reachable serves it now; try again when the view changes, within the deadline
    Refuse, // it can never be served as asked
};

struct Route {
    RouteKind kind { RouteKind::Wait };
    size_t member { 0 };
    milliseconds waitForPosition { 0 }; // the member may wait this long to reach the session's mark
    ErrorKind reason { ErrorKind::NoPrimary }; // for Wait (if the deadline passes) and Refuse
    friend bool operator==(const Route&, const Route&) = default;
};

// Chooses a member for a read: among those that may serve it without waiting, replicas with room before the primary, then
// near ones, then the least busy.
Route routeRead(const GroupHealth& health, const std::vector<TargetLoad>& loads, const ReadRequirements& need, TimePoint now);

// Chooses the member for a write or a transaction: the primary, if it is known, usable and not being replaced.
Route routeWrite(const GroupHealth& health, const std::vector<TargetLoad>& loads, const Mark& mark);

// What decides whether a write without a primary is kept waiting.
struct WriteHoldConditions {
    const GroupHealth& health;
    size_t majority { 0 }; // members
    bool isPromotionHeldBack { false }; // the record's bounds forbid the promotion that is due
    bool isPathFault { false }; // the primary lives, but this host does not reach it
    size_t held { 0 }; // writes of the group that wait already
    size_t maxHeld { 0 }; // bound of `held`
    TimePoint primaryLostAt {}; // when the primary was lost; for a host that has just become a home, when it did
    milliseconds limit { 5000 }; // ms after lostAt; a promotion that takes longer is not waited for
};

// Whether a write may be held because a primary can still come; otherwise its caller gets its final answer at once.
bool canHoldWrite(const WriteHoldConditions& view, TimePoint now);

// A write that ran and waits for its confirmation.
struct PendingWrite {
    Mark mark {}; // term and position it got
    TimePoint ranAt {}; // when its answer was received
    bool needsPosition { true }; // a majority must hold the position, not only stand in the term
};

// What a member last showed in answer to a confirmation question.
struct ConfirmationReply {
    uint64_t term { 0 };
    uint64_t fencedTerm { 0 };
    uint64_t position { 0 }; // of its log, if the log's last entry is of `term`; else 0
    TimePoint askedAt {}; // when the question was sent
};

enum class Confirmation { Pending,
    Confirmed,
    Superseded };

// Whether a write may be acknowledged. `replies` holds the other members; the primary's own vote is the answer itself,
// given when the write ran. Superseded: a majority promised to a later term, so the write may be lost.
Confirmation confirmWrite(const PendingWrite& write, const std::vector<ConfirmationReply>& replies, size_t members);

}
