// The planned stop of a host: sessions are closed between transactions, then transactions are ended, and what runs is answered before the process ends.
#include "base/event_log.h"
#include "base/tasks.h"
#include "gateway/gateway.h"

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;

static constexpr milliseconds kLoadBalancerNoticeTime { 2200 }; // until the load balancer has seen enough failed readiness checks: it asks once a second and needs two
static constexpr milliseconds kShutdownReserve { 700 }; // part of the grace period that is kept for the last answers and the store
static constexpr int kShutdownReserveShare = 6; // at most one part in so many
static constexpr milliseconds kSocketFlushTime { 50 }; // for unsent bytes in sockets before the process ends

void Gateway::startShutdown()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_view.isForwardingUpdateDue = true;
    m_shutdownStartedAt = Clock::now();
    auto gracePeriod = milliseconds(m_settings.stopGraceMs);
    m_stop.transactionsEndAt = m_shutdownStartedAt + gracePeriod / 2;
    m_stop.answersUntil = m_shutdownStartedAt + gracePeriod - std::min(kShutdownReserve, gracePeriod / kShutdownReserveShare);
    base::logEvent(LogClass::State, "stop-begins", { { "sessions", static_cast<int64_t>(m_sessions.size()) }, { "grace_ms", static_cast<int64_t>(m_settings.stopGraceMs) } });
}

void Gateway::enterStopPhase(StopPhase phase)
{
    if (m_stop.phase == phase)
        return;
    m_stop.phase = phase;
    bool isEnding = phase == StopPhase::EndingTransactions;
    base::logEvent(LogClass::State, isEnding ? "stop-ending-transactions" : "stop-closing", { { "sessions", static_cast<int64_t>(m_sessions.size()) } });
    if (isEnding)
        m_peers.endInboundTransactions();
}

// Serves new callers until the load balancer has noticed the stop. Open transactions have half of the grace period to end. Statements of other hosts'
// callers are waited for like those of own sessions.
void Gateway::advanceShutdown(TimePoint now)
{
    if (now >= m_stop.transactionsEndAt)
        enterStopPhase(StopPhase::EndingTransactions);
    else if (now - m_shutdownStartedAt >= kLoadBalancerNoticeTime)
        enterStopPhase(StopPhase::ClosingIdle);
    else
        return;
    auto sessions = std::vector(m_sessions.begin(), m_sessions.end());
    for (auto& it : sessions)
        it->advanceStop(now);
    bool isDone = m_sessions.empty() && !m_peers.hasInboundWork();
    if (!isDone && now < m_stop.answersUntil)
        return;
    m_sweepTimer.stop();
    base::spawnTask(m_context, "finish-shutdown", finishShutdown(), [this] { m_context.stop(); });
}

asio::awaitable<void> Gateway::finishShutdown()
{
    auto closedSessions = static_cast<int64_t>(m_sessions.size());
    auto sessions = std::vector(m_sessions.begin(), m_sessions.end());
    for (auto& it : sessions)
        it->endStop();
    m_peers.stop();
    co_await m_directory.stop();
    co_await base::sleepFor(kSocketFlushTime);
    base::logEvent(LogClass::State, "stop", { { "sessions_cut", closedSessions } });
    base::flushEventLog();
    m_context.stop();
}

}
