#include "decisions/limits.h"
#include <algorithm>
#include <cmath>

namespace alderward::decisions {

static constexpr double kSmoothing = 0.1; // weight of the newest latency
static constexpr double kBaselineGrowth = 1.001; // factor per answer
static constexpr double kMaxLatencyRatio = 2.0; // mean latency above this multiple of the baseline indicates queueing at the member
static constexpr double kLatencyMarginMs = 2; // added to the threshold, because scheduling jitter can multiply short latencies
static constexpr double kLimitDecrease = 0.95;
static constexpr double kLimitIncrease = 0.1;
static constexpr double kMinRetryAfterMs = 20;
static constexpr double kMaxRetryAfterMs = 10000;
static constexpr double kServiceTimeMargin = 2; // multiple of the mean service time that must remain before the deadline
static constexpr double kMaxWaitShare = 0.6; // of the remaining time; the rest covers execution and estimation errors

AdaptiveLimit updateLimit(AdaptiveLimit it, std::chrono::duration<double, std::milli> latency)
{
    auto n = std::max(0.01, latency.count());
    it.meanLatency = it.meanLatency == 0 ? n : it.meanLatency + kSmoothing * (n - it.meanLatency);
    it.baseline = it.baseline == 0 ? n : std::min(n, it.baseline * kBaselineGrowth);
    if (it.meanLatency > it.baseline * kMaxLatencyRatio + kLatencyMarginMs)
        it.limit = std::max(1.0, it.limit * kLimitDecrease);
    else
        it.limit = std::min(it.maximum, it.limit + kLimitIncrease);
    return it;
}

milliseconds estimateWait(const QueueState& queue)
{
    auto concurrency = std::max(1U, queue.concurrency);
    return milliseconds(static_cast<int64_t>(std::ceil(static_cast<double>(queue.waiting) * queue.serviceTime / concurrency)));
}

bool isAdmitted(const QueueState& queue, milliseconds remaining)
{
    return static_cast<double>(estimateWait(queue).count()) <= static_cast<double>(remaining.count()) * kMaxWaitShare;
}

bool isWorthSending(const QueueState& queue, milliseconds remaining)
{
    return static_cast<double>(remaining.count()) >= queue.serviceTime * kServiceTimeMargin;
}

milliseconds getRetryAfter(const QueueState& queue, double random)
{
    auto wait = static_cast<double>(estimateWait(queue).count());
    return milliseconds(static_cast<int64_t>(std::clamp(wait * (0.5 + random) + kMinRetryAfterMs * (1 + random), kMinRetryAfterMs, kMaxRetryAfterMs)));
}

milliseconds jitterRetryAfter(milliseconds mean, double random)
{
    return milliseconds(static_cast<int64_t>(std::ceil(static_cast<double>(mean.count()) * (0.5 + random))));
}

RetryBudget depositRetry(RetryBudget budget)
{
    budget.tokens = std::min(kMaxRetryTokens, budget.tokens + kRetriesPerSuccess);
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
