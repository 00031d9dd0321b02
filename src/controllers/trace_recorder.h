// Records the first events of a group and the resulting actions, for GET /debug/trace (decisions/trace.h).
#pragma once
#include "decisions/trace.h"
#include <mutex>
#include <string>

namespace alderward::controllers {

class TraceRecorder {
public:
    // `limit`: maximum number of entries; 0 records nothing. Later entries are dropped, because a replay needs the first ones.
    explicit TraceRecorder(size_t limit)
        : m_limit(limit)
    {
    }

    void record(decisions::TimePoint now, const decisions::GroupEvent& event, const std::vector<decisions::FailoverAction>& actions, const decisions::GroupRecord& record)
    {
        if (m_count >= m_limit)
            return;
        if (m_count++ == 0)
            m_origin = now;
        decisions::TraceEntry entry { now, event, {} };
        for (auto& it : actions)
            entry.actions.push_back(decisions::formatAction(it, record));
        auto line = decisions::formatTraceEntry(entry, m_origin);
        std::lock_guard lock(m_mutex);
        m_text += line + "\n";
    }

    std::string getText() const
    {
        std::lock_guard lock(m_mutex);
        return m_text;
    }

private:
    const size_t m_limit;
    size_t m_count { 0 };
    decisions::TimePoint m_origin {};
    mutable std::mutex m_mutex; // guards m_text, which the strand writes and operators read
    std::string m_text;
};

}
