// How long a member that leaves, or that the platform's list has dropped, may be used.
//
// A member that leaves serves on for the drain time, in which a primary is to be handed over. That can be held up by anything: a lost store, orders
// without an answer, replicas out of reach. So the bound is no part of the handover: whoever sends an operation looks at the clock itself.
//
// COMMON MISTAKES
//   - Checking where a statement is routed only. It may wait for its turn before the member until the time is over.
#pragma once
#include "decisions/freshness.h"
#include <optional>

namespace alderward::decisions {

// A host hears of a leaving late by the pause after a watch that answered, 1 s at most, and a statement is on its way for some tens of ms.
inline constexpr milliseconds kDrainSafetyMargin { 1500 };

// Whether a new operation may be sent at `now` to a member that has been known to leave since `leavingSince`; empty: it does not leave.
// Later statements of a transaction are not new ones.
bool acceptsNewOperations(std::optional<TimePoint> leavingSince, milliseconds drainTime, TimePoint now);

// Since when a member counts as leaving that was found so, and nobody saw it begin: a host that has just started, or had lost the store. Half of
// the drain time is taken to be over.
TimePoint estimateLeavingSince(milliseconds drainTime, TimePoint foundAt);

}
