#include "controllers/pool.h"
#include "base/metrics.h"
#include "base/random.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace alderward::controllers {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;
using decisions::ErrorKind;
using decisions::fail;

static constexpr milliseconds kRefusalTimeout { 500 }; // time without new connections after the member refused one
static constexpr double kLatencySmoothing = 0.1;
static constexpr auto kUseAwaitable = asio::as_tuple(asio::use_awaitable);

// ---- lease ----

Lease& Lease::operator=(Lease&& other) noexcept
{
    discard();
    m_pool = std::move(other.m_pool);
    m_link = std::move(other.m_link);
    m_holdsSlot = other.m_holdsSlot;
    m_isTransaction = other.m_isTransaction;
    return *this;
}

void Lease::release()
{
    if (m_link)
        m_pool->returnConnection(std::move(m_link), m_holdsSlot, m_isTransaction);
}

void Lease::discard()
{
    if (!m_link)
        return;
    if (m_link->isOpen())
        base::count(base::Counter::ConnectionsClosedLate);
    m_pool->close(std::move(m_link), m_holdsSlot, m_isTransaction);
}

void Lease::releaseSlot()
{
    if (!m_holdsSlot)
        return;
    m_holdsSlot = false;
    --m_pool->m_running;
    m_pool->serveNextWaiter();
}

// The next statement of a transaction takes precedence over new statements: it does not queue.
void Lease::acquireSlot()
{
    if (m_holdsSlot)
        return;
    m_holdsSlot = true;
    ++m_pool->m_running;
}

// ---- pool ----

Pool::Pool(asio::any_io_executor executor, std::string address, std::string from)
    : m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_from(std::move(from))
{
}

void Pool::setLimits(const PoolLimits& limits)
{
    m_limits = limits;
    m_limit.maximum = limits.share.slots;
    if (m_limit.meanLatency == 0)
        m_limit.limit = limits.share.slots;
    m_limit.limit = std::min(m_limit.limit, m_limit.maximum);
    while (m_open > m_limits.share.connections && !m_idle.empty()) {
        m_idle.pop_back();
        --m_open;
    }
    serveNextWaiter();
}

unsigned Pool::getWaiting() const
{
    size_t n = 0;
    for (auto& it : m_lanes)
        n += it.size();
    return static_cast<unsigned>(n);
}

decisions::QueueState Pool::getQueueState() const
{
    return { getWaiting(), m_serviceTime, std::min(m_limit.getLimit(), m_limits.share.connections) };
}

void Pool::recordLatency(std::chrono::duration<double, std::milli> latency)
{
    m_limit = decisions::updateLimit(m_limit, latency);
    m_serviceTime += kLatencySmoothing * (latency.count() - m_serviceTime);
}

// Transactions may hold all connections but one, so that single statements are never blocked by them.
bool Pool::hasCapacity(bool isTransaction) const
{
    if (m_running >= m_limit.getLimit())
        return false;
    if (isTransaction && m_limits.share.connections > 1 && m_transactions + 1 >= m_limits.share.connections)
        return false;
    if (!m_idle.empty())
        return true;
    return m_open < m_limits.share.connections && (Clock::now() >= m_earliestConnect || m_open == 0);
}

asio::awaitable<decisions::Result<Lease>> Pool::acquire(Lane lane, base::TimePoint deadline, bool isTransaction)
{
    auto began = Clock::now();
    auto& queue = m_lanes[static_cast<size_t>(lane)];
    if (getWaiting() == 0 && hasCapacity(isTransaction))
        co_return co_await makeLease(reserve(isTransaction), deadline, isTransaction);
    auto state = getQueueState();
    auto remaining = std::chrono::duration_cast<milliseconds>(deadline - began);
    if (!decisions::isAdmitted(state, remaining) || getWaiting() >= m_limits.queueLimit)
        co_return fail(ErrorKind::Overloaded, "the queue for this member is longer than the deadline allows", decisions::getRetryAfter(state, base::getRandom()));
    auto waiter = std::make_shared<Waiter>(m_executor);
    waiter->isTransaction = isTransaction;
    waiter->timer.expires_at(deadline);
    queue.push_back(waiter);
    co_await waiter->timer.async_wait(kUseAwaitable);
    base::record(base::Latency::ConnectionWait, Clock::now() - began);
    if (waiter->isServed)
        co_return co_await makeLease(std::move(waiter->link), deadline, isTransaction);
    std::erase(queue, waiter);
    if (Clock::now() >= deadline)
        co_return fail(ErrorKind::Overloaded, "no connection to the member became free in time", decisions::getRetryAfter(getQueueState(), base::getRandom()));
    co_return fail(ErrorKind::NoPrimary, "the wait for a connection was cancelled because the group's members changed");
}

// Reserves the capacity found by hasCapacity(). Empty: the connection is counted and has yet to be opened.
std::unique_ptr<links::HttpConnection> Pool::reserve(bool isTransaction)
{
    ++m_running;
    if (isTransaction)
        ++m_transactions;
    if (m_idle.empty()) {
        ++m_open;
        return nullptr;
    }
    auto link = std::move(m_idle.back());
    m_idle.pop_back();
    return link;
}

asio::awaitable<decisions::Result<Lease>> Pool::makeLease(std::unique_ptr<links::HttpConnection> link, base::TimePoint deadline, bool isTransaction)
{
    auto remaining = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    if (!decisions::isWorthSending(getQueueState(), remaining)) {
        cancelReservation(std::move(link), isTransaction);
        co_return fail(ErrorKind::Overloaded, "too little time is left before the deadline to run the statement", decisions::getRetryAfter(getQueueState(), base::getRandom()));
    }
    bool isNew = !link || !link->isOpen();
    if (isNew)
        link = links::makeHttpConnection(m_executor, m_address);
    if (isNew) {
        auto opened = co_await openLink(*link, deadline);
        if (!opened) {
            close(std::move(link), true, isTransaction);
            co_return tl::make_unexpected(opened.error());
        }
    }
    m_leased.push_back(link.get());
    co_return Lease(shared_from_this(), std::move(link), isTransaction);
}

asio::awaitable<decisions::Result<void>> Pool::openLink(links::HttpConnection& link, base::TimePoint deadline)
{
    base::count(base::Counter::ConnectionsOpened);
    auto opened = co_await link.open(deadline);
    if (!opened)
        co_return fail(ErrorKind::NoPrimary, "cannot connect to the member: " + opened.error().reason);
    auto handshake = co_await links::sendHello(link, m_from, links::Purpose::Work, deadline);
    if (handshake)
        co_return decisions::Result<void> {};
    link.close();
    if (!handshake.error().refusal)
        co_return fail(ErrorKind::NoPrimary, "the member did not answer the handshake");
    base::count(base::Counter::ConnectionsRefused);
    m_earliestConnect = Clock::now() + kRefusalTimeout;
    co_return fail(ErrorKind::Overloaded, "the member accepts no more connections", decisions::getRetryAfter(getQueueState(), base::getRandom()));
}

void Pool::returnConnection(std::unique_ptr<links::HttpConnection> link, bool holdsSlot, bool isTransaction)
{
    std::erase(m_leased, link.get());
    bool canReuse = link->isOpen() && m_open <= m_limits.share.connections;
    if (!canReuse)
        return close(std::move(link), holdsSlot, isTransaction);
    m_running -= holdsSlot ? 1 : 0;
    m_transactions -= isTransaction ? 1 : 0;
    m_idle.push_back(std::move(link));
    serveNextWaiter();
}

// Undoes reserve().
void Pool::cancelReservation(std::unique_ptr<links::HttpConnection> link, bool isTransaction)
{
    if (link)
        return returnConnection(std::move(link), true, isTransaction);
    --m_running;
    m_transactions -= isTransaction ? 1 : 0;
    --m_open;
    serveNextWaiter();
}

void Pool::close(std::unique_ptr<links::HttpConnection> link, bool holdsSlot, bool isTransaction)
{
    std::erase(m_leased, link.get());
    link->close();
    m_running -= holdsSlot ? 1 : 0;
    m_transactions -= isTransaction ? 1 : 0;
    --m_open;
    serveNextWaiter();
}

std::shared_ptr<Pool::Waiter> Pool::popWaiter()
{
    for (size_t i = 0; i < m_lanes.size(); ++i) {
        auto& lane = m_lanes[(m_nextLane + i) % m_lanes.size()];
        for (auto it = lane.begin(); it != lane.end(); ++it) {
            if (!hasCapacity((*it)->isTransaction))
                continue;
            auto waiter = *it;
            lane.erase(it);
            m_nextLane = (m_nextLane + i + 1) % m_lanes.size();
            return waiter;
        }
    }
    return nullptr;
}

void Pool::serveNextWaiter()
{
    auto waiter = popWaiter();
    if (!waiter)
        return;
    waiter->link = reserve(waiter->isTransaction);
    waiter->isServed = true;
    waiter->timer.cancel();
}

void Pool::cancelWaiters()
{
    for (auto& lane : m_lanes) {
        for (auto& it : lane)
            it->timer.cancel();
        lane.clear();
    }
}

void Pool::abortLeased()
{
    for (auto* it : m_leased)
        it->close();
}

void Pool::closeIdle()
{
    m_open -= static_cast<unsigned>(m_idle.size());
    m_idle.clear();
}

}
