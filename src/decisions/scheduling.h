// Scheduling order of statements waiting for a busy member, and checks whether one can still be answered in time.
#pragma once
#include "decisions/freshness.h"

namespace alderward::decisions {

inline constexpr unsigned kMaxBusyAttempts = 8; // attempts at members that refuse the statement as busy; if half of the attempts are refused, all but 0.4 % of the statements are served

// Properties of a waiting statement that determine its place in the scheduling order.
struct SchedulingParameters {
    bool isContinuation { false }; // a later statement of an open transaction, which occupies a connection
    int priority { 0 }; // 0 is the highest
    TimePoint objective {}; // the member must have answered by then for the operation to meet its latency objective
    TimePoint deadline {}; // later answers are of no use to the caller
};

// Returns when the next statement of an operation must be answered. The objective covers the whole operation: `timeUsed` is the time that its
// earlier statements took, without the caller's pauses between them.
TimePoint getObjectiveEnd(TimePoint now, milliseconds objective, TimePoint::duration timeUsed);
// Whether a statement sent now is likely to meet its objective. `workMs` is the typical time of one statement at the member.
bool canMeetObjective(const SchedulingParameters& statement, TimePoint now, double workMs);
// Returns the updated typical time after a statement took `tookMs`. Tracks the median, so that a minority of hanging statements does not
// make the member look slow.
double updateWorkTime(double workMs, double tookMs);
// Whether enough time is left to the deadline for a statement sent now to be useful.
bool isWorthSending(const SchedulingParameters& statement, TimePoint now, double workMs);
// Whether `a` is scheduled before `b`. Order: continuations, statements that can meet their objective, priority, earliest objective.
bool isScheduledBefore(const SchedulingParameters& a, const SchedulingParameters& b, TimePoint now, double workMs);
// Whether a statement with `ahead` others before it starts early enough to be useful, where `concurrency` statements run at a time.
bool canStartInTime(const SchedulingParameters& statement, size_t ahead, unsigned concurrency, TimePoint now, double workMs);

}
