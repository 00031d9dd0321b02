// Connections from this home to one member of a group: bounded, queued fairly, opened on demand.
// Not thread safe: everything runs on the group's strand.
#pragma once
#include "controllers/node.h"
#include "decisions/limits.h"
#include "decisions/placement.h"
#include "links/target.h"
#include <array>
#include <deque>
#include <memory>

namespace alderward::controllers {

// Queues of waiting statements; the pool serves them in turn, so that neither reads nor writes starve the other.
enum class Lane { Write,
    Read,
    Count };

class Pool;

// A connection taken from a pool. Give it back with release(); a lease that is destroyed closes its connection.
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
    // The connection goes back to the pool, if it is still open.
    void release();
    // The connection is closed: a late answer has nowhere to go.
    void discard();
    // A transaction keeps its connection between statements, but not its place among the statements in flight.
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
    // Takes a connection, or waits for one until the deadline. Refuses at once what cannot be served in time.
    boost::asio::awaitable<decisions::Result<Lease>> acquire(Lane lane, base::TimePoint deadline, bool isTransaction);
    // The member is gone or has lost its role: statements that wait for it are told to look for another.
    void cancelWaiters();
    // The member was superseded: exchanges in flight end now, as ones that may have arrived.
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
        std::unique_ptr<links::HttpConnection> link {}; // reserved for it; empty: it opens one
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
    std::vector<links::HttpConnection*> m_leased; // leased, also to transactions
    std::array<std::deque<std::shared_ptr<Waiter>>, static_cast<size_t>(Lane::Count)> m_lanes;
    size_t m_nextLane { 0 };
    unsigned m_open { 0 }; // connections open or being opened
    unsigned m_running { 0 }; // statements in flight
    unsigned m_transactions { 0 }; // connections held by transactions, running or idle
    double m_serviceTime { 1 }; // ms; smoothed time a statement holds its place
    base::TimePoint m_earliestConnect {}; // after the member refused a connection
};

}
