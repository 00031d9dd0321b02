// Structured log: one JSON object per line on standard output. Lines go through a bounded buffer and non-blocking writes:
// a blocked reader causes dropped lines, never a delay. Dropped lines are counted and reported (docs/LOGS.md).
#pragma once
#include "base/clock.h"
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace alderward::base {

// Priority of a line when the rate limit does not allow all of them.
enum class LogClass {
    State, // start, stop, reload, dependencies, cluster state; has a rate limit of its own
    Failure, // a request that failed, was refused, missed its deadline or has an unknown outcome
    Request, // a successful request
};

struct LogField {
    std::string_view name;
    std::variant<std::string_view, int64_t, double, bool> value;
};

struct LogBudget {
    int linesPerSecond { 200 }; // for requests, successful and failed together; state changes have the same rate in addition
    int bufferBytes { 256 * 1024 }; // size limit of the lines not yet written
};

// Call once, before the first event; events before it are discarded. Makes standard output non-blocking.
void openEventLog(std::string host, const LogBudget& budget);
void setLogBudget(const LogBudget& budget);
// Writes {"t":steady ms,"wall":"...","host":...,"event":kind,...fields}. Thread safe.
void logEvent(LogClass logClass, std::string_view event, std::initializer_list<LogField> fields);
// Whether a line of this class would be written now, so that callers can skip building its fields. Counts a dropped line if not.
bool hasLogBudget(LogClass logClass);
// Writes buffered lines as far as the reader accepts them. Call periodically and before the process ends.
void flushEventLog();

struct LogLineCounts {
    uint64_t written { 0 }; // lines
    uint64_t droppedLines { 0 }; // lines over the rate limit or the buffer size
};
LogLineCounts getLogCounts();

}
