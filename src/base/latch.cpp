#include "base/latch.h"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace alderward::base {

Latch::Latch(const boost::asio::any_io_executor& executor, size_t count)
    : m_timer(executor)
    , m_count(count)
{
}

void Latch::countDown()
{
    if (m_count > 0 && --m_count == 0)
        m_timer.cancel();
}

void Latch::open()
{
    m_count = 0;
    m_timer.cancel();
}

boost::asio::awaitable<void> Latch::wait()
{
    return waitFor(std::chrono::duration_cast<milliseconds>(std::chrono::hours(1))); // the timer needs a limit; an hour exceeds every wait
}

boost::asio::awaitable<void> Latch::waitFor(milliseconds limit)
{
    if (m_count == 0)
        co_return;
    m_timer.expires_after(limit);
    boost::system::error_code ec; // cancelled when the latch opens
    co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

}
