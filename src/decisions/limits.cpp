#include "decisions/limits.h"
#include <algorithm>
#include <cmath>

namespace alderward::decisions {

static constexpr double kSmoothing = 0.1; // weight of the newest latency
static constexpr double kForgetting = 1.001; // the best latency rises by this with every answer
static constexpr double kTolerated = 2.0; // latency above this multiple of the best means a queue at the member
static constexpr double kToleratedMs = 2; // and this much more: scheduling alone moves short latencies by a multiple
static constexpr double kShrink = 0.95;
static constexpr double kGrow = 0.1;
static constexpr double kLeastRetryMs = 20;
static constexpr double kMostRetryMs = 10000;
static constexpr double kSendingMargin = 2; // a statement may take this many times the usual
static constexpr double kAdmittedShare = 0.6; // of the time left; the rest is for running, and for estimates that were too good

AdaptiveLimit takeLatency(AdaptiveLimit it, std::chrono::duration<double, std::milli> latency)
{
    auto n = std::max(0.01, latency.count());
    it.smoothed = it.smoothed == 0 ? n : it.smoothed + kSmoothing * (n - it.smoothed);
    it.best = it.best == 0 ? n : std::min(n, it.best * kForgetting);
    if (it.smoothed > it.best * kTolerated + kToleratedMs)
        it.limit = std::max(1.0, it.limit * kShrink);
    else
        it.limit = std::min(it.most, it.limit + kGrow);
    return it;
}

milliseconds getExpectedWait(const QueueState& queue)
{
    auto places = std::max(1U, queue.places);
    return milliseconds(static_cast<int64_t>(std::ceil(static_cast<double>(queue.waiting) * queue.perStatement / places)));
}

bool isAdmitted(const QueueState& queue, milliseconds remaining)
{
    return static_cast<double>(getExpectedWait(queue).count()) <= static_cast<double>(remaining.count()) * kAdmittedShare;
}

bool isWorthSending(const QueueState& queue, milliseconds remaining)
{
    return static_cast<double>(remaining.count()) >= queue.perStatement * kSendingMargin;
}

milliseconds getRetryAfter(const QueueState& queue, double random)
{
    auto wait = static_cast<double>(getExpectedWait(queue).count());
    return milliseconds(static_cast<int64_t>(std::clamp(wait * (0.5 + random) + kLeastRetryMs * (1 + random), kLeastRetryMs, kMostRetryMs)));
}

milliseconds spreadRetryAfter(milliseconds mean, double random)
{
    return milliseconds(static_cast<int64_t>(std::ceil(static_cast<double>(mean.count()) * (0.5 + random))));
}

RetryBudget earnRetry(RetryBudget budget)
{
    budget.tokens = std::min(kRetryMost, budget.tokens + kRetryShare);
    return budget;
}

bool tryTakeRetry(RetryBudget& budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

}
