#include "decisions/relaying.h"
#include <algorithm>

namespace alderward::decisions {

static constexpr double kAlarmMsEachHost = 1000.0 / 300;

ExchangeIntervals getExchangeIntervals(milliseconds quiet, bool isRelayed)
{
    if (!isRelayed)
        return { quiet, quiet };
    auto half = std::max(quiet / 2, kMinPingInterval);
    return { half, half };
}

std::set<std::string> findUnusable(const std::vector<std::set<std::string>>& toldByRelays)
{
    if (toldByRelays.empty())
        return {};
    auto unusable = toldByRelays.front();
    for (auto& told : toldByRelays)
        std::erase_if(unusable, [&](const std::string& it) { return !told.contains(it); });
    return unusable;
}

milliseconds getAlarmInterval(size_t hosts)
{
    auto interval = milliseconds(static_cast<int64_t>(kAlarmMsEachHost * static_cast<double>(hosts)));
    return std::clamp(interval, kAlarmIntervalLeast, kAlarmIntervalMost);
}

}
