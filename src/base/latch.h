// Lets a coroutine wait until a number of others have finished, or until one of them opens the latch early. Use it on one
// executor only, and keep it in a shared_ptr if the others may outlive the waiting coroutine.
#pragma once
#include "base/clock.h"
#include <boost/asio/steady_timer.hpp>

namespace alderward::base {

class Latch {
public:
    // Opens after `count` calls of countDown().
    Latch(const boost::asio::any_io_executor& executor, size_t count);
    void add() { ++m_count; } // adds one call of countDown() to wait for
    void countDown();
    void open(); // ends the wait at once
    boost::asio::awaitable<void> wait();
    // Waits until the latch opens, for at most `limit`.
    boost::asio::awaitable<void> waitFor(milliseconds limit);

private:
    boost::asio::steady_timer m_timer; // cancelled when the latch opens
    size_t m_count;
};

}
