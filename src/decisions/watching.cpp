#include "decisions/watching.h"
#include <algorithm>
#include <cmath>

namespace alderward::decisions {

static constexpr double kInitialRetryMs = 225;
static constexpr double kMaxRetryMs = 1000; // how late the store's return may be noticed
static constexpr unsigned kMaxDoublings = 10;

std::vector<std::string> chooseWatchers(const std::vector<WatcherHost>& ranked)
{
    std::vector<std::string> names;
    for (bool hasStore : { true, false }) {
        for (auto& it : ranked) {
            if (it.hasStore == hasStore && names.size() < kWatchersPerDataCentre)
                names.push_back(it.name);
        }
    }
    return names;
}

bool isWatcher(const std::string& self, const std::vector<WatcherHost>& ranked)
{
    auto names = chooseWatchers(ranked);
    return std::ranges::find(names, self) != names.end();
}

milliseconds getWatchPause(milliseconds previous, bool hadPendingChanges)
{
    if (!hadPendingChanges)
        return kMinWatchPause;
    return std::clamp(previous * 2, kMinWatchPause, kMaxWatchPause);
}

milliseconds getRetryPause(unsigned failures, double random)
{
    auto doublings = std::min(failures > 0 ? failures - 1 : 0, kMaxDoublings);
    auto mean = std::min(kMaxRetryMs, kInitialRetryMs * std::exp2(doublings));
    return milliseconds(static_cast<int64_t>(mean * (0.5 + random)));
}

ReportedChange applyReportedChange(const ReportedChange& reported, uint64_t change, uint64_t seen, TimePoint now)
{
    if (reported.change > seen) // the one that is missing already counts
        return reported;
    return change > seen ? ReportedChange { change, now } : ReportedChange {};
}

bool isWatchSilent(const ReportedChange& reported, uint64_t seen, TimePoint now)
{
    return reported.change > seen && now - reported.at >= kSilentWatchThreshold;
}

}
