// A bounded connection pool from this home to one member of a group. Connections are opened on demand.
// Not thread-safe: it runs on the group's strand.
#pragma once
#include "controllers/node.h"
#include "decisions/limits.h"
#include "decisions/placement.h"
#include "links/target.h"
#include <array>
#include <deque>
#include <memory>

namespace alderward::controllers {

// Queues of waiting statements. The pool serves them round-robin, so that neither reads nor writes starve.
enum class Lane { Write,
    Read,
    Count };

class Pool;

// A connection leased from a pool. release() returns it; destroying the lease closes it.
class Lease {
public:
    Lease() = default;
    Lease(std::shared_ptr<Pool> pool, std::unique_ptr<links::HttpConnection> link, bool isTransaction)
        : m_pool(std::move(pool))
        , m_link(std::move(link))
        , m_isTransaction(isTransaction)
    {
    }
    Lease(Lease&&) = default;
    Lease& operator=(Lease&& other) noexcept;
    ~Lease() { discard(); }

    links::HttpConnection& getLink() { return *m_link; }
    // Returns the connection to the pool if it is still open.
    void release();
    // Closes the connection, so that a late answer cannot reach another statement.
    void discard();
    // Between statements a transaction keeps its connection but not its slot among the statements in flight.
    void releaseSlot();
    void acquireSlot();

private:
    std::shared_ptr<Pool> m_pool;
    std::unique_ptr<links::HttpConnection> m_link;
    bool m_holdsSlot { true };
    bool m_isTransaction { false };
};

struct PoolLimits {
    decisions::HomeShare share {};
    size_t queueLimit { 2000 };
};

class Pool : public std::enable_shared_from_this<Pool> {
public:
    Pool(boost::asio::any_io_executor executor, std::string address, std::string from);

    void setLimits(const PoolLimits& limits);
    // Leases a connection, or waits for one until the deadline. Fails immediately with Overloaded if the queue is too long for the
    // deadline, and with NoPrimary if it cannot connect or the wait is cancelled.
    boost::asio::awaitable<decisions::Result<Lease>> acquire(Lane lane, base::TimePoint deadline, bool isTransaction);
    // Cancels all waits, so that the waiting statements are routed again.
    void cancelWaiters();
    // Closes all leased connections of a superseded member. Their statements end with an unknown outcome.
    void abortLeased();
    // Closes idle connections, e.g. when the member leaves.
    void closeIdle();
    void recordLatency(std::chrono::duration<double, std::milli> latency);
    decisions::QueueState getQueueState() const;
    unsigned getWaiting() const;
    unsigned getRunning() const { return m_running; }
    unsigned getOpen() const { return m_open; }
    unsigned getLimit() const { return m_limit.getLimit(); }

private:
    friend class Lease;
    struct Waiter {
        explicit Waiter(const boost::asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        std::unique_ptr<links::HttpConnection> link {}; // reserved; empty: a connection has yet to be opened
        bool isServed { false };
        bool isTransaction { false };
    };

    bool hasCapacity(bool isTransaction) const; // for one more statement
    std::unique_ptr<links::HttpConnection> reserve(bool isTransaction);
    boost::asio::awaitable<decisions::Result<Lease>> makeLease(std::unique_ptr<links::HttpConnection> link, base::TimePoint deadline, bool isTransaction);
    boost::asio::awaitable<decisions::Result<void>> openLink(links::HttpConnection& link, base::TimePoint deadline);
    void cancelReservation(std::unique_ptr<links::HttpConnection> link, bool isTransaction);
    void returnConnection(std::unique_ptr<links::HttpConnection> link, bool holdsSlot, bool isTransaction);
    void close(std::unique_ptr<links::HttpConnection> link, bool holdsSlot, bool isTransaction);
    void serveNextWaiter();
    std::shared_ptr<Waiter> popWaiter();

    boost::asio::any_io_executor m_executor;
    std::string m_address;
    std::string m_from;
    PoolLimits m_limits;
    decisions::AdaptiveLimit m_limit;
    std::vector<std::unique_ptr<links::HttpConnection>> m_idle;
    std::vector<links::HttpConnection*> m_leased; // including those of transactions
    std::array<std::deque<std::shared_ptr<Waiter>>, static_cast<size_t>(Lane::Count)> m_lanes;
    size_t m_nextLane { 0 };
    unsigned m_open { 0 }; // connections open or being opened
    unsigned m_running { 0 }; // statements in flight
    unsigned m_transactions { 0 }; // connections held by transactions, running or idle
    double m_serviceTime { 1 }; // ms; smoothed time for which a statement holds its slot
    base::TimePoint m_earliestConnect {}; // set when the member refuses a connection: no new one before this time, unless none is open
};

}
