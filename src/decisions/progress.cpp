#include "decisions/progress.h"
#include <algorithm>
#include <chrono>

namespace alderward::decisions {

static constexpr double kAheadMostSeconds = 1; // a speed is not carried further than this: it may have changed

Progress takePosition(const Progress& progress, const Mark& position, TimePoint at)
{
    if (at < progress.at)
        return progress;
    auto next = progress;
    next.position = position;
    next.at = at;
    bool isAnew = position.term != progress.countedFrom.term || position < progress.position;
    if (isAnew) {
        next.countedFrom = position;
        next.countedAt = at;
        next.perSecond = 0;
        return next;
    }
    if (at - progress.countedAt < kCountFor)
        return next;
    std::chrono::duration<double> passed = at - progress.countedAt;
    next.perSecond = static_cast<double>(position.position - progress.countedFrom.position) / passed.count();
    next.countedFrom = position;
    next.countedAt = at;
    return next;
}

Progress takeRefusal(const Progress& progress, TimePoint at)
{
    auto next = progress;
    next.behindAt = std::max(progress.behindAt, at);
    return next;
}

Mark estimatePosition(const Progress& progress, TimePoint now)
{
    std::chrono::duration<double> passed = now - progress.at;
    auto seconds = std::clamp(passed.count(), 0.0, kAheadMostSeconds);
    auto mark = progress.position;
    mark.position += static_cast<uint64_t>(progress.perSecond * seconds);
    return mark;
}

}
