// Whose turn it is before a busy member, and which statements cannot be answered in time any more.
#pragma once
#include "decisions/freshness.h"

namespace alderward::decisions {

inline constexpr unsigned kMaxBusyAttempts = 8; // of a statement that members turn away; one that turns away half of them then takes all but 0.4%

// What decides a waiting statement's statement.
struct SchedulingParameters {
    bool isContinuation { false }; // the next statement of an open transaction, which holds a connection that others wait for
    int priority { 0 }; // 0 goes first
    TimePoint objective {}; // its answer must leave the member's connection by then to be in time
    TimePoint deadline {}; // an answer after this is worth nothing
};

// When the answer of an operation's next statement must be there. The objective is one for the whole operation: `spent` of it have passed under
// its statements so far, pauses of its caller apart.
TimePoint getObjectiveEnd(TimePoint now, milliseconds objective, TimePoint::duration spent);
// Whether a statement that is sent now will probably meet its objective. `workMs` is a statement's usual time at the member.
bool canMeetObjective(const SchedulingParameters& statement, TimePoint now, double workMs);
// A member's usual time after one more statement took `tookMs`. Follows the median, so that a member on which less than half of the
// statements hang is not taken for one on which all are slow.
double updateWorkTime(double workMs, double tookMs);
// Whether there is still time for a statement to be worth sending.
bool isWorthSending(const SchedulingParameters& statement, TimePoint now, double workMs);
// Whether a goes before b: continuations first, then those that can still meet their objective, by priority, the soonest first.
bool isScheduledBefore(const SchedulingParameters& a, const SchedulingParameters& b, TimePoint now, double workMs);
// Whether a statement with `ahead` others before it gets its turn while that is of use, where `concurrency` statements run at a time.
bool canStartInTime(const SchedulingParameters& statement, size_t ahead, unsigned concurrency, TimePoint now, double workMs);

}
