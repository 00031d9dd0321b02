// Admission by deadline, the adaptive limit on statements in flight, retry budget, and when to come back.
#pragma once
#include "decisions/errors.h"
#include <chrono>
#include <cstdint>

namespace alderward::decisions {

// ---- adaptive limit of one member ----

// Statements in flight at one member from this home: grows while latency stays near the best seen, shrinks when it rises.
struct AdaptiveLimit {
    double limit { 1 }; // statements; kept in [1, most]
    double maximum { 1 }; // the slots' worth
    double baseline { 0 }; // ms; slowly forgotten minimum of latency
    double meanLatency { 0 }; // ms; running mean of latency
    friend bool operator==(const AdaptiveLimit&, const AdaptiveLimit&) = default;

    unsigned getLimit() const { return static_cast<unsigned>(limit); }
};

AdaptiveLimit updateLimit(AdaptiveLimit limit, std::chrono::duration<double, std::milli> latency);

// ---- admission ----

// The queue of one group's statements at a home, as it is now.
struct QueueState {
    size_t waiting { 0 }; // statements ahead
    double serviceTime { 0 }; // ms; smoothed time a statement holds its place
    unsigned concurrency { 1 }; // statements served at a time
    friend bool operator==(const QueueState&, const QueueState&) = default;
};

// How long a new statement would wait.
milliseconds estimateWait(const QueueState& queue);

// Whether a statement with this much time left is worth queueing.
bool isAdmitted(const QueueState& queue, milliseconds remaining);

// Whether a statement that has waited its turn can still be run in time. One that cannot is refused unsent: sent, it would
// use a slot for an answer that comes too late, and cost its connection as well.
bool isWorthSending(const QueueState& queue, milliseconds remaining);

// When a refused caller should come back: after the queue as it is, spread by `random` in [0, 1) so that callers do not
// return together.
milliseconds getRetryAfter(const QueueState& queue, double random);

// A time to come back that is not the queue's, spread over half to one and a half of itself by `random` in [0, 1): callers
// that were refused in one moment would return in one moment. 0 stays 0.
milliseconds jitterRetryAfter(milliseconds mean, double random);

// ---- retry budget ----

// Retries as a share of recent successes.
struct RetryBudget {
    double tokens { 10 }; // retries that may be made now
    friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

inline constexpr double kRetriesPerSuccess = 0.1; // retries earned by one success
inline constexpr double kMaxRetryTokens = 20; // retries that can be saved up

RetryBudget depositRetry(RetryBudget budget);
// Takes one retry if there is one.
bool tryTakeRetry(RetryBudget& budget);

}
