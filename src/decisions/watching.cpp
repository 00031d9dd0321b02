#include "decisions/watching.h"
#include <algorithm>
#include <cmath>

namespace alderward::decisions {

static constexpr double kInitialRetryMs = 225;
static constexpr double kMaxRetryMs = 1000; // bounds the time to notice that the store is back
static constexpr unsigned kMaxDoublings = 10;

std::vector<std::string> chooseWatchers(const std::vector<WatcherHost>& ranked)
{
    std::vector<std::string> chosen;
    for (bool hasStore : { true, false }) {
        for (auto& it : ranked) {
            if (it.hasStore == hasStore && chosen.size() < kWatchersPerDataCentre)
                chosen.push_back(it.name);
        }
    }
    return chosen;
}

bool isWatcher(const std::string& self, const std::vector<WatcherHost>& ranked)
{
    auto chosen = chooseWatchers(ranked);
    return std::ranges::find(chosen, self) != chosen.end();
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

ReportedChange applyReportedChange(const ReportedChange& reported, uint64_t revision, uint64_t knownRevision, TimePoint now)
{
    if (reported.revision > knownRevision) // still missing: keeps the time of the first report
        return reported;
    return revision > knownRevision ? ReportedChange { revision, now } : ReportedChange {};
}

bool isWatchSilent(const ReportedChange& reported, uint64_t knownRevision, TimePoint now)
{
    return reported.revision > knownRevision && now - reported.at >= kSilentWatchThreshold;
}

}
