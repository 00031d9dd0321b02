// Keeps the first events of one group and what was decided on them, for GET /debug/trace (decisions/trace.h).
#pragma once
#include "decisions/trace.h"
#include <mutex>
#include <string>

namespace alderward::controllers {

class TraceRecorder {
public:
    // `limit`: entries kept; 0 records nothing. Later ones are dropped, as a trace without its beginning cannot be replayed.
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
    mutable std::mutex m_mutex; // the group's strand writes, the operators' address reads
    std::string m_text;
};

}
