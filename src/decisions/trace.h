// Recorded traces: what came in at one home of a group and what was decided, as lines of JSON, and their replay.
// A trace begins when the host becomes a home and holds every event since, or it could not be replayed.
// [debug] trace_events turns recording on; GET /debug/trace?group=NAME shows it; `alderctl replay FILE` replays it.
#pragma once
#include "decisions/group_state.h"
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace alderward::decisions {

// Times in traces are whole microseconds: a controller rounds its times down before it uses them, so that a replay compares
// the same numbers.
TimePoint truncateToMicroseconds(TimePoint time);

struct TraceEntry {
    TimePoint now {};
    GroupEvent event {};
    std::vector<std::string> actions {}; // as formatAction() writes them
    friend bool operator==(const TraceEntry&, const TraceEntry&) = default;
};

// One action in words: "fence orders-b in term 2".
std::string formatAction(const FailoverAction& action, const GroupRecord& record);

// One line each, without line ends. Times are relative to `origin`.
std::string formatTraceEntry(const TraceEntry& entry, TimePoint origin);
// The error names the line.
tl::expected<std::vector<TraceEntry>, std::string> parseTrace(const std::string& text);

struct ReplayResult {
    GroupState state {}; // after the last entry
    std::vector<std::string> actions {}; // all of them, in order
    std::string firstDifference {}; // the first entry whose actions differ from the recorded ones; empty: none
};

ReplayResult replayTrace(const std::vector<TraceEntry>& entries);

}
