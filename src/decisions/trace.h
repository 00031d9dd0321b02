// Recording and replay of the events and actions of a group at one of its homes, as lines of JSON. A trace is complete from
// the time the host becomes a home; otherwise it could not be replayed. [debug] trace_events enables recording,
// GET /debug/trace?group=NAME returns the trace, and `alderctl replay FILE` replays it.
#pragma once
#include "decisions/group_state.h"
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace alderward::decisions {

// Traces store whole microseconds. Controllers truncate times before use, so that a replay computes with the same values.
TimePoint truncateToMicroseconds(TimePoint time);

struct TraceEntry {
    TimePoint now {};
    GroupEvent event {};
    std::vector<std::string> actions {}; // as returned by formatAction()
    friend bool operator==(const TraceEntry&, const TraceEntry&) = default;
};

// Formats an action for the trace, for example "fence orders-b in term 2".
std::string formatAction(const FailoverAction& action, const GroupRecord& record);

// Formats an entry as one line without a line end. Times are relative to `origin`.
std::string formatTraceEntry(const TraceEntry& entry, TimePoint origin);
// Parses a whole trace. The error gives the line number.
tl::expected<std::vector<TraceEntry>, std::string> parseTrace(const std::string& text);

struct ReplayResult {
    GroupState state {}; // after the last entry
    std::vector<std::string> actions {}; // of all entries, in order
    std::string firstDifference {}; // describes the first entry whose actions differ from the recorded ones; empty if none does
};

ReplayResult replayTrace(const std::vector<TraceEntry>& entries);

}
