#include "decisions/relaying.h"
#include <algorithm>

namespace alderward::decisions {

static constexpr double kAlarmMsEachHost = 1000.0 / 300;

ExchangeIntervals getExchangeIntervals(milliseconds quiet, bool isRelayed)
{
    if (!isRelayed)
        return { quiet, quiet };
    auto half = std::max(quiet / 2, kPingIntervalLeast);
    return { half, half };
}

milliseconds getAlarmInterval(size_t hosts)
{
    auto interval = milliseconds(static_cast<int64_t>(kAlarmMsEachHost * static_cast<double>(hosts)));
    return std::clamp(interval, kAlarmIntervalLeast, kAlarmIntervalMost);
}

}
