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
    double positionsPerSecond { 0 }; // 0: unknown, or the log is idle
    TimePoint lastRefusalAt {}; // when the member last lacked the position that a read required
    friend bool operator==(const LogProgress&, const LogProgress&) = default;
};

inline constexpr milliseconds kMinRateInterval { 250 }; // minimum time between the two observations that give a rate

// Applies an observed position. Older observations are ignored. A position that goes back, as after a change of primary, is
// accepted and resets the rate.
LogProgress applyPosition(const LogProgress& progress, const Mark& position, TimePoint observedAt);
// Records that the member lacked the position that a read required. The observed position stays.
LogProgress applyRefusal(const LogProgress& progress, TimePoint observedAt);
// Extrapolates the position at `now` by the rate.
Mark estimatePosition(const LogProgress& progress, TimePoint now);

}
