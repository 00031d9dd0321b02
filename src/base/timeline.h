// Timeline of state changes: a bounded buffer of events per process; `alderctl timeline` merges those of all processes.
// Each event is also written as a log line.
#pragma once
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace alderward::base {

struct Event {
    uint64_t stamp { 0 }; // hybrid logical clock
    std::string host {}; // host that recorded it
    std::string group {}; // database group, or empty
    std::string kind {}; // e.g. "promotion-began"
    std::string cause {}; // reason for an automatic action
    friend bool operator==(const Event&, const Event&) = default;
};

class Timeline {
public:
    explicit Timeline(size_t capacity = 4096)
        : m_capacity(capacity)
    {
    }
    void setHost(std::string host) { m_host = std::move(host); }
    // Records an event and writes it as a log line to standard error. Thread safe.
    void add(std::string kind, std::string group, std::string cause);
    // Events with a timestamp above `after`, oldest first. Thread safe.
    std::vector<Event> getEvents(uint64_t after = 0) const;

private:
    const size_t m_capacity;
    std::string m_host;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
};

Timeline& getTimeline();

// Sorts events of several processes by timestamp and host, and removes duplicates.
std::vector<Event> mergeEvents(std::vector<Event> events);

// Writes a line to standard error. For state changes only; frequent events are counted (base/metrics.h).
void logLine(std::string_view text);

}
