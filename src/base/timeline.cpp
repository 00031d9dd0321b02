#include "base/timeline.h"
#include "base/clock.h"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace alderward::base {

void Timeline::add(std::string kind, std::string group, std::string cause)
{
    Event event { getHybridClock().tick(), m_host, std::move(group), std::move(kind), std::move(cause) };
    logLine(fmt::format("{} group={} {}", event.kind, event.group.empty() ? "-" : event.group, event.cause));
    std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
    if (m_events.size() > m_capacity)
        m_events.pop_front();
}

std::vector<Event> Timeline::getEvents(uint64_t after) const
{
    std::lock_guard lock(m_mutex);
    std::vector<Event> found;
    std::ranges::copy_if(m_events, std::back_inserter(found), [after](const Event& it) { return it.stamp > after; });
    return found;
}

Timeline& getTimeline()
{
    static Timeline timeline;
    return timeline;
}

std::vector<Event> mergeEvents(std::vector<Event> events)
{
    std::ranges::stable_sort(events, [](const Event& a, const Event& b) {
        return std::tie(a.stamp, a.host) < std::tie(b.stamp, b.host);
    });
    auto duplicates = std::ranges::unique(events);
    events.erase(duplicates.begin(), duplicates.end());
    return events;
}

void logLine(std::string_view text)
{
    auto now = std::chrono::system_clock::now();
    auto ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    auto line = fmt::format("{:%H:%M:%S}.{:03} {}\n", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms, text);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

}
