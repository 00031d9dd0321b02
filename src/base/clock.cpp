#include "base/clock.h"
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace alderward::base {

namespace asio = boost::asio;

static uint64_t getWallTimestamp()
{
    auto n = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return static_cast<uint64_t>(n) << 16;
}

uint64_t HybridClock::tick()
{
    std::lock_guard lock(m_mutex);
    m_last = std::max(m_last + 1, getWallTimestamp());
    return m_last;
}

uint64_t HybridClock::merge(uint64_t received)
{
    std::lock_guard lock(m_mutex);
    m_last = std::max({ m_last + 1, received + 1, getWallTimestamp() });
    return m_last;
}

HybridClock& getHybridClock()
{
    static HybridClock clock;
    return clock;
}

namespace {

struct PeriodicTimer : std::enable_shared_from_this<PeriodicTimer> {
    PeriodicTimer(asio::any_io_executor executor, milliseconds period, std::function<void()> callback)
        : timer(executor)
        , period(period)
        , callback(std::move(callback))
    {
    }

    void start()
    {
        timer.expires_after(period);
        timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
            if (ec || self->isStopped)
                return;
            self->callback();
            if (!self->isStopped)
                self->start();
        });
    }

    asio::steady_timer timer;
    milliseconds period;
    std::function<void()> callback;
    std::atomic<bool> isStopped { false };
};

class SteadyTimerService : public TimerService {
public:
    TimePoint getNow() const override { return Clock::now(); }

    TimerSubscription subscribe(asio::any_io_executor executor, milliseconds period, std::function<void()> callback) override
    {
        auto timer = std::make_shared<PeriodicTimer>(executor, period, std::move(callback));
        asio::post(executor, [timer] { timer->start(); });
        return TimerSubscription([timer, executor] {
            timer->isStopped = true;
            asio::post(executor, [timer] { timer->timer.cancel(); });
        });
    }
};

}

std::unique_ptr<TimerService> makeTimerService()
{
    return std::make_unique<SteadyTimerService>();
}

asio::awaitable<void> sleepFor(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}
