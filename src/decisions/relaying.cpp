#include "decisions/relaying.h"
#include <algorithm>

namespace alderward::decisions {

static constexpr double kAlarmMsPerHost = 1000.0 / 300; // at most 300 alarms a second for one group

ExchangeIntervals getExchangeIntervals(milliseconds quietInterval, bool isRelayed)
{
    if (!isRelayed)
        return { quietInterval, quietInterval };
    auto half = std::max(quietInterval / 2, kMinPingInterval);
    return { half, half };
}

std::set<std::string> findUnreachableHosts(const std::vector<std::set<std::string>>& reportsOfRelays)
{
    if (reportsOfRelays.empty())
        return {};
    auto unreachable = reportsOfRelays.front();
    for (auto& report : reportsOfRelays)
        std::erase_if(unreachable, [&](const std::string& it) { return !report.contains(it); });
    return unreachable;
}

milliseconds getAlarmInterval(size_t hosts)
{
    auto interval = milliseconds(static_cast<int64_t>(kAlarmMsPerHost * static_cast<double>(hosts)));
    return std::clamp(interval, kMinAlarmInterval, kMaxAlarmInterval);
}

}
