// Lets a coroutine wait until others are done, or until one of them has found out enough. One executor; keep it in a shared_ptr where
// those that count down may outlive the one that waits.
#pragma once
#include "base/clock.h"
#include <boost/asio/steady_timer.hpp>

namespace alderward::base {

class Latch {
public:
    // Opens after `count` calls of countDown().
    Latch(const boost::asio::any_io_executor& executor, size_t count);
    void add() { ++m_count; } // one more to wait for
    void countDown();
    void open(); // without waiting for the rest
    boost::asio::awaitable<void> wait();
    // Waits no longer than `limit`.
    boost::asio::awaitable<void> waitFor(milliseconds limit);

private:
    boost::asio::steady_timer m_timer; // waited on; cancelled when the latch opens
    size_t m_count;
};

}
