// How far a replica's log has come, from positions that were seen now and then: whether a read is worth sending there before it was asked.
//
// COMMON MISTAKES
//   - Taking an estimate for a proof. A read always carries what it needs, and the member itself has the last word.
#pragma once
#include "decisions/freshness.h"

namespace alderward::decisions {

struct LogProgress {
    Mark position {}; // newest that was seen; term 0: none
    TimePoint observedAt {}; // when
    Mark rateBase {}; // where the present count of its speed began
    TimePoint rateBaseAt {};
    double positionsPerSecond { 0 }; // positions; as of the last count
    TimePoint lastRefusalAt {}; // when the member last said that it lacks what a read needs
    friend bool operator==(const LogProgress&, const LogProgress&) = default;
};

inline constexpr milliseconds kMinRateInterval { 250 }; // a speed rests on positions at least this far apart

// The member's log stood at `position` at `at`. What is older than what is known changes nothing. A log that went back, as after a change of
// primary, is followed.
LogProgress applyPosition(const LogProgress& progress, const Mark& position, TimePoint observedAt);
// The member lacked what a read needed at `at`. Says nothing of where the log stands, and hides nothing that is heard of that.
LogProgress applyRefusal(const LogProgress& progress, TimePoint observedAt);
// Where the log stands by now if it goes on at its speed.
Mark estimatePosition(const LogProgress& progress, TimePoint now);

}
