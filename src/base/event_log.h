// Structured log: one JSON object a line on standard output. Lines wait in a bounded buffer and are written when the reader takes
// them; a reader that is stuck costs lines, never time. What had to be left out is counted and said (docs/LOGS.md).
#pragma once
#include "base/clock.h"
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace alderward::base {

// How much a line matters when not all can be written.
enum class LogClass {
    State, // start, stop, reload, dependencies, beliefs: always first
    Failure, // a request that failed, was refused, came late or is in doubt
    Request, // a request that was served
};

struct LogField {
    std::string_view name;
    std::variant<std::string_view, int64_t, double, bool> value;
};

struct LogBudget {
    int linesPerSecond { 200 }; // of requests, served and failed; changes of state have as many again for themselves
    int bufferBytes { 256 * 1024 }; // waiting to be written
};

// Call once, before the first event. Makes standard output non-blocking.
void openEventLog(std::string host, const LogBudget& budget);
void setLogBudget(const LogBudget& budget);
// Writes {"t":steady ms,"wall":"...","host":...,"event":kind,...fields}. Any thread.
void logEvent(LogClass logClass, std::string_view event, std::initializer_list<LogField> fields);
// Whether a line of this class would be written now; saves making its fields.
bool hasLogBudget(LogClass logClass);
// Writes out what it can. Call before the process ends.
void flushEventLog();

struct LogLineCounts {
    uint64_t written { 0 }; // lines
    uint64_t droppedLines { 0 }; // lines, over budget or over the buffer
};
LogLineCounts getLogCounts();

}
