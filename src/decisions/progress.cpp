#include "decisions/progress.h"
#include <algorithm>
#include <chrono>

namespace alderward::decisions {

static constexpr double kMaxExtrapolationSeconds = 1; // the rate may have changed after this

LogProgress applyPosition(const LogProgress& progress, const Mark& position, TimePoint observedAt)
{
    if (observedAt < progress.observedAt)
        return progress;
    auto next = progress;
    next.position = position;
    next.observedAt = observedAt;
    bool isReset = position.term != progress.rateBase.term || position < progress.position;
    if (isReset) {
        next.rateBase = position;
        next.rateBaseAt = observedAt;
        next.positionsPerSecond = 0;
        return next;
    }
    if (observedAt - progress.rateBaseAt < kMinRateInterval)
        return next;
    std::chrono::duration<double> passed = observedAt - progress.rateBaseAt;
    next.positionsPerSecond = static_cast<double>(position.position - progress.rateBase.position) / passed.count();
    next.rateBase = position;
    next.rateBaseAt = observedAt;
    return next;
}

LogProgress applyRefusal(const LogProgress& progress, TimePoint observedAt)
{
    auto next = progress;
    next.lastRefusalAt = std::max(progress.lastRefusalAt, observedAt);
    return next;
}

Mark estimatePosition(const LogProgress& progress, TimePoint now)
{
    std::chrono::duration<double> passed = now - progress.observedAt;
    auto seconds = std::clamp(passed.count(), 0.0, kMaxExtrapolationSeconds);
    auto mark = progress.position;
    mark.position += static_cast<uint64_t>(progress.positionsPerSecond * seconds);
    return mark;
}

}
