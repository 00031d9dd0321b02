// Time: the monotonic clock that everything is measured with, the hybrid logical clock that orders events over all
// processes, and the timer service that parts subscribe to.
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

// Hybrid logical clock: 48 bits of wall time in ms, 16 bits of counter. Never goes back within a process and moves
// past every stamp received, so an effect always has a larger stamp than its cause.
class HybridClock {
public:
    uint64_t tick(); // a stamp for a local event
    uint64_t merge(uint64_t received); // a stamp after a message that carried `received`

private:
    std::mutex m_mutex;
    uint64_t m_last { 0 };
};

// Splits a stamp into wall time (ms since the epoch) and counter.
inline uint64_t getWallMs(uint64_t stamp) { return stamp >> 16; }

HybridClock& getHybridClock();

// A subscription to the timer service. The callback stops being called when it is destroyed or stopped.
// Destroy it on the executor it was made with; a callback that was already posted may run once more otherwise.
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

// The one source of periodic work in a process. In tests, ManualTimerService turns it by hand.
class TimerService {
public:
    virtual ~TimerService() = default;
    virtual TimePoint getNow() const = 0;
    // Calls `callback` on `executor` every `period`, first after one period, until the subscription ends.
    virtual TimerSubscription subscribe(boost::asio::any_io_executor executor, milliseconds period, std::function<void()> callback) = 0;
};

// Runs on the monotonic clock.
std::unique_ptr<TimerService> makeTimerService();

// Suspends the calling coroutine. Returns early only when the coroutine is cancelled.
boost::asio::awaitable<void> sleepFor(milliseconds time);

}
