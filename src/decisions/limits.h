// Admission by deadline, the adaptive concurrency limit, the retry budget and retry-after times.
#pragma once
#include "decisions/errors.h"
#include <chrono>
#include <cstdint>

namespace alderward::decisions {

// ---- adaptive concurrency limit of one member ----

// Limits the statements that this host has in flight at one member: grows while latency stays near its baseline, shrinks when latency rises.
struct AdaptiveLimit {
    double limit { 1 }; // statements; in [1, maximum]
    double maximum { 1 }; // the slots of the member that this host may use
    double baseline { 0 }; // ms; minimum latency, with slow upward decay
    double meanLatency { 0 }; // ms; exponentially weighted
    friend bool operator==(const AdaptiveLimit&, const AdaptiveLimit&) = default;

    unsigned getLimit() const { return static_cast<unsigned>(limit); }
};

AdaptiveLimit updateLimit(AdaptiveLimit limit, std::chrono::duration<double, std::milli> latency);

// ---- admission ----

// A snapshot of the queue of statements for one member.
struct QueueState {
    size_t waiting { 0 }; // statements ahead
    double serviceTime { 0 }; // ms; smoothed, per statement
    unsigned concurrency { 1 }; // statements served at a time
    friend bool operator==(const QueueState&, const QueueState&) = default;
};

// The queueing delay of a new statement.
milliseconds estimateWait(const QueueState& queue);

// Whether a statement with this much time before its deadline should be queued.
bool isAdmitted(const QueueState& queue, milliseconds remaining);

// Whether a dequeued statement can still finish before its deadline. Sending one that cannot would waste a slot and its connection on a late answer.
bool isWorthSending(const QueueState& queue, milliseconds remaining);

// The retry-after time of a refused caller: the current queueing delay with jitter from `random` in [0, 1).
milliseconds getRetryAfter(const QueueState& queue, double random);

// Spreads a retry-after time over 50 % to 150 % of `mean` by `random` in [0, 1), so that callers refused together do not retry together. 0 stays 0.
milliseconds jitterRetryAfter(milliseconds mean, double random);

// ---- retry budget ----

// Token bucket that limits retries to a share of recent successes.
struct RetryBudget {
    double tokens { 10 }; // retries available now
    friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

inline constexpr double kRetriesPerSuccess = 0.1;
inline constexpr double kMaxRetryTokens = 20;

RetryBudget depositRetry(RetryBudget budget);
// Consumes a token; false if none is left.
bool tryTakeRetry(RetryBudget& budget);

}
