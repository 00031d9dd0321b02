// Monotonic clock for durations and deadlines, hybrid logical clock for ordering events across processes,
// and the timer service for periodic callbacks.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace alderward::base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

// Hybrid logical clock. A timestamp has 48 bits of wall time in ms and 16 bits of counter. Timestamps increase strictly
// within a process and exceed every timestamp received, so an effect always has a larger timestamp than its cause.
class HybridClock {
public:
    uint64_t tick(); // timestamp of a local event
    uint64_t merge(uint64_t received); // timestamp of the receipt of a message sent at `received`

private:
    std::mutex m_mutex;
    uint64_t m_last { 0 };
};

// Wall time of a hybrid timestamp, in ms since the epoch.
inline uint64_t getWallMs(uint64_t stamp) { return stamp >> 16; }

HybridClock& getHybridClock();

// Owns a periodic callback of the timer service; destroying or stopping it ends the calls. Destroy it on the executor that
// it was created with; otherwise a callback that is already queued may run once more.
class TimerSubscription {
public:
    TimerSubscription() = default;
    explicit TimerSubscription(std::function<void()> stop)
        : m_stop(std::move(stop))
    {
    }
    TimerSubscription(TimerSubscription&& other) noexcept
        : m_stop(std::move(other.m_stop))
    {
        other.m_stop = nullptr;
    }
    TimerSubscription& operator=(TimerSubscription&& other) noexcept
    {
        stop();
        m_stop = std::move(other.m_stop);
        other.m_stop = nullptr;
        return *this;
    }
    ~TimerSubscription() { stop(); }
    void stop()
    {
        if (m_stop)
            m_stop();
        m_stop = nullptr;
    }

private:
    std::function<void()> m_stop;
};

// Source of all periodic work in a process. Tests replace it by ManualTimerService, which advances on request.
class TimerService {
public:
    virtual ~TimerService() = default;
    virtual TimePoint getNow() const = 0;
    // Calls `callback` on `executor` every `period`, first after one period, until the subscription is stopped.
    virtual TimerSubscription subscribe(boost::asio::any_io_executor executor, milliseconds period, std::function<void()> callback) = 0;
};

// Timer service on the monotonic clock.
std::unique_ptr<TimerService> makeTimerService();

// Suspends the calling coroutine for `time`. Returns early only when the coroutine is cancelled.
boost::asio::awaitable<void> sleepFor(milliseconds time);

}
