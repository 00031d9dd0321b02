// Routing of statements to members, and confirmation of writes. Pure functions of what a home knows about its group.
#pragma once
#include "decisions/health.h"
#include <optional>
#include <string>
#include <vector>

namespace alderward::decisions {

// What a read must observe.
struct ReadRequirements {
    Mark mark {}; // the session's mark of the group
    std::optional<milliseconds> maximumAge {}; // empty: no limit on age
    std::vector<size_t> tried {}; // members that refused this read as behind since the health data last changed
};

// Availability and load of one member as a target.
struct TargetLoad {
    bool isUsable { true }; // in the record, not leaving, reachable
    bool isNear { false }; // in this host's data centre
    unsigned waiting { 0 }; // statements queued for it here
    unsigned running { 0 }; // statements in flight from here
    uint64_t knownPosition { 0 }; // newest log position seen in the current term
};

enum class RouteKind {
    Member, // send the statement to `member`
    Wait, // no reachable member can serve it now; retry when the health data changes, until the deadline
    Refuse, // it can never be served as requested
};

struct Route {
    RouteKind kind { RouteKind::Wait };
    size_t member { 0 };
    milliseconds waitForPosition { 0 }; // how long the member may wait to reach the session's mark
    ErrorKind reason { ErrorKind::NoPrimary }; // the error for Refuse, and for Wait when the deadline passes
    Mark markAfterLoss {}; // SessionWritesLost: the mark with which the session continues
    friend bool operator==(const Route&, const Route&) = default;
};

// Chooses a member for a read. Order of preference: members that need neither wait nor confirmation, members without a queue,
// replicas, members in this data centre, the least loaded.
Route routeRead(const GroupHealth& health, const std::vector<TargetLoad>& loads, const ReadRequirements& need, TimePoint now);

// Chooses the member for a write or a transaction: the primary, if it is known and usable. Refuses if the primary's log
// has lost a write that the session has seen.
Route routeWrite(const GroupHealth& health, const std::vector<TargetLoad>& loads, const Mark& mark);

// Inputs of canHoldWrite().
struct WriteHoldConditions {
    const GroupHealth& health;
    size_t majority { 0 }; // number of members
    bool isPromotionHeldBack { false }; // the limits in the group's record forbid the promotion that is due
    bool isPathFault { false }; // the primary is alive but unreachable from this host
    size_t held { 0 }; // writes of the group held at present
    size_t maxHeld { 0 }; // limit of `held`
    TimePoint primaryLostAt {}; // when the primary was lost; on a host that has just become a home, when it became one
    milliseconds limit { 5000 }; // maximum time since primaryLostAt; a longer promotion is not waited for
};

// Whether a write may wait for a new primary. If not, it fails immediately.
bool canHoldWrite(const WriteHoldConditions& conditions, TimePoint now);

// Whether a member ran a read as the primary of `term`, the term in which it was primary when the read was sent (0: it was not).
// `log` and `status` are those of its answer. A member that does not report its term is judged by the term of its last entry.
bool wasPrimaryOfTerm(uint64_t term, const Mark& log, const PiggybackedStatus& status);

// An executed write that awaits confirmation.
struct PendingWrite {
    Mark mark {}; // of its log entry
    TimePoint ranAt {}; // when its answer was received
    bool needsPosition { true }; // a majority must hold the log entry, not only be in its term
};

// A member's last reply to a confirmation question.
struct ConfirmationReply {
    uint64_t term { 0 };
    uint64_t fencedTerm { 0 };
    uint64_t position { 0 }; // end of its log if the last entry is of `term`, else 0
    TimePoint askedAt {}; // when the question was sent
};

enum class Confirmation { Pending,
    Confirmed,
    Superseded };

// Whether a write may be acknowledged. `replies` holds those of the members other than the primary, whose answer to the write counts
// as its vote. Superseded: a majority has moved to a later term, so the write may be lost.
Confirmation confirmWrite(const PendingWrite& write, const std::vector<ConfirmationReply>& replies, size_t members);

}
