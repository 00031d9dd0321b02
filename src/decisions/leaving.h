// How long operations may be sent to a member that is leaving, or that the platform no longer lists.
//
// A leaving member serves for the drain time, in which a primary is to be handed over. The deadline holds even if the
// handover is delayed, so every sender checks it.
//
// COMMON MISTAKES
//   - Checking only when a statement is routed. It may be queued for the member until the time is over.
#pragma once
#include "decisions/freshness.h"
#include <optional>

namespace alderward::decisions {

// Covers the delay until a host learns that a member is leaving, at most 1 s of pause after a watch, and the transit time of a statement, some tens of ms.
inline constexpr milliseconds kDrainSafetyMargin { 1500 };

// Whether a new operation may be sent at `now` to a member that has been leaving since `leavingSince`; empty if it is not
// leaving. Later statements of a transaction are not new operations.
bool acceptsNewOperations(std::optional<TimePoint> leavingSince, milliseconds drainTime, TimePoint now);

// Estimates when a member began to leave that was already leaving when this host first saw it, after a start or a loss of
// the store. Assumes that half of the drain time is over.
TimePoint estimateLeavingSince(milliseconds drainTime, TimePoint foundAt);

}
