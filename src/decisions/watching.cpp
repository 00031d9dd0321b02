#include "decisions/watching.h"
#include <algorithm>
#include <cmath>

namespace alderward::decisions {

static constexpr double kRetryFirstMs = 225;
static constexpr double kRetryMostMs = 1000; // how late the store's return may be noticed
static constexpr unsigned kDoublingsMost = 10;

std::vector<std::string> chooseWatchers(const std::vector<WatcherHost>& ranked)
{
    std::vector<std::string> names;
    for (bool hasStore : { true, false }) {
        for (auto& it : ranked) {
            if (it.hasStore == hasStore && names.size() < kWatchersOfDataCentre)
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

milliseconds getWatchPause(milliseconds previous, bool wasAtOnce)
{
    if (!wasAtOnce)
        return kWatchPauseLeast;
    return std::clamp(previous * 2, kWatchPauseLeast, kWatchPauseMost);
}

milliseconds getRetryPause(unsigned failures, double random)
{
    auto doublings = std::min(failures > 0 ? failures - 1 : 0, kDoublingsMost);
    auto mean = std::min(kRetryMostMs, kRetryFirstMs * std::exp2(doublings));
    return milliseconds(static_cast<int64_t>(mean * (0.5 + random)));
}

HeardChange takeHeard(const HeardChange& heard, uint64_t change, uint64_t seen, TimePoint now)
{
    if (heard.change > seen) // the one that is missing already counts
        return heard;
    return change > seen ? HeardChange { change, now } : HeardChange {};
}

bool isWatchSilent(const HeardChange& heard, uint64_t seen, TimePoint now)
{
    return heard.change > seen && now - heard.at >= kChangeLate;
}

}
