// The time line: a bounded ring of events per process, merged over all processes by `alderctl timeline`.
// Logs follow the same rule: counters first, lines only for changes of state, so each event is also a log line.
#pragma once
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace alderward::base {

struct Event {
    uint64_t stamp { 0 }; // hybrid logical clock
    std::string host {}; // who saw it
    std::string group {}; // database group, or empty
    std::string kind {}; // what happened, e.g. "promotion-began"
    std::string cause {}; // why: every automatic act names its cause
    friend bool operator==(const Event&, const Event&) = default;
};

class Timeline {
public:
    explicit Timeline(size_t capacity = 4096)
        : m_capacity(capacity)
    {
    }
    void setHost(std::string host) { m_host = std::move(host); }
    // Records an event and writes it as a log line to standard error. Any thread.
    void add(std::string kind, std::string group, std::string cause);
    // The events with a stamp above `after`, oldest first. Any thread.
    std::vector<Event> getEvents(uint64_t after = 0) const;

private:
    const size_t m_capacity;
    std::string m_host;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
};

Timeline& getTimeline();

// Orders events of several processes: by stamp, then by host, without twins.
std::vector<Event> mergeEvents(std::vector<Event> events);

// One log line on standard error. For changes of state only; count everything else (base/metrics.h).
void logLine(std::string_view text);

}
