// Estimates the log position of a replica from occasional observations, to decide whether a read is worth sending to it.
//
// COMMON MISTAKES
//   - Treating an estimate as proof. A read carries the position that it requires, and the member checks it.
#pragma once
#include "decisions/freshness.h"

namespace alderward::decisions {

struct LogProgress {
    Mark position {}; // last observed; term 0: none
    TimePoint observedAt {}; // of `position`
    Mark rateBase {}; // position from which the rate is measured
    TimePoint rateBaseAt {};
    double positionsPerSecond { 0 }; // 0: not known
    TimePoint lastRefusalAt {}; // when the member last lacked the position that a read required
    friend bool operator==(const LogProgress&, const LogProgress&) = default;
};

inline constexpr milliseconds kMinRateInterval { 250 }; // minimum time between the observations of a rate

// The member's log stood at `position` at `at`. What is older than what is known changes nothing. A log that went back, as after a change of
// primary, is followed.
LogProgress applyPosition(const LogProgress& progress, const Mark& position, TimePoint observedAt);
// The member lacked what a read needed at `at`. Says nothing of where the log stands, and hides nothing that is heard of that.
LogProgress applyRefusal(const LogProgress& progress, TimePoint observedAt);
// Extrapolates the position at `now` by the rate.
Mark estimatePosition(const LogProgress& progress, TimePoint now);

}
