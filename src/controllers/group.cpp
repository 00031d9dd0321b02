#include "controllers/group.h"
#include "base/metrics.h"
#include "base/timeline.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace alderward::controllers {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;
using base::TimePoint;

static constexpr milliseconds kTickInterval { 50 }; // how often timeouts are checked; answers are applied when they arrive
static constexpr milliseconds kPublishInterval { 200 }; // of the status, without notable changes
static constexpr milliseconds kPathFaultDelay { 600 }; // earlier, a replica's report may predate the fault
static constexpr milliseconds kLeavingPrimaryGrace { 2500 }; // a leaving primary accepts writes for this time, until the handover
static constexpr auto kUseAwaitable = asio::as_tuple(asio::use_awaitable);

GroupController::GroupController(Node& node, std::string name)
    : m_node(node)
    , m_name(std::move(name))
    , m_strand(asio::make_strand(node.contexts.getNext()))
    , m_trace(static_cast<size_t>(node.settings.traceEvents))
{
}

// ---- configuration ----

void GroupController::setConfiguration(GroupConfiguration configuration)
{
    asio::post(m_strand, [self = shared_from_this(), configuration = std::move(configuration)]() mutable { self->applyConfiguration(std::move(configuration)); });
}

void GroupController::applyConfiguration(GroupConfiguration configuration)
{
    bool hasRecordChanged = !m_configuration.record || !(*m_configuration.record == *configuration.record);
    bool wasRunning = m_isRunning;
    if (hasRecordChanged)
        rebuildMembers(configuration);
    for (size_t i = 0; i < m_members.size(); ++i) {
        bool wasLeaving = !hasRecordChanged && i < m_configuration.isLeaving.size() && m_configuration.isLeaving[i];
        if (configuration.isLeaving[i] && !wasLeaving)
            m_members[i].leavingSince = Clock::now();
    }
    m_configuration = std::move(configuration);
    auto rank = std::ranges::find(m_configuration.homes, m_node.settings.name) - m_configuration.homes.begin();
    applyEvent(decisions::GroupConfigurationChanged { *m_configuration.record, m_configuration.isLeaving, static_cast<size_t>(rank) });
    auto share = decisions::getHomeShare(*m_configuration.record, m_configuration.homes.size());
    for (size_t i = 0; i < m_members.size(); ++i) {
        m_members[i].pool->setLimits({ share, static_cast<size_t>(m_node.settings.queueLimit) });
        if (m_configuration.isLeaving[i])
            m_members[i].pool->closeIdle();
    }
    bool mustRun = m_configuration.isHome && !m_configuration.record->isRetired;
    if (m_isRunning && hasRecordChanged)
        stopLoops();
    m_isActive = mustRun;
    if ((mustRun || wasRunning) && !m_isRunning)
        startLoops();
    else
        probeNow();
    publishStatus();
    wakeHealthWaiters();
}

void GroupController::rebuildMembers(const GroupConfiguration& configuration)
{
    std::vector<Member> members;
    for (auto& it : configuration.record->members) {
        auto same = std::ranges::find_if(m_members, [&](const Member& old) { return old.record.name == it.name && old.record.address == it.address; });
        Member member;
        if (same != m_members.end())
            member = *same;
        else
            member.pool = std::make_shared<Pool>(m_strand, it.address, m_node.settings.name);
        member.record = it;
        member.probeTimer = std::make_shared<asio::steady_timer>(m_strand);
        member.confirmTimer = std::make_shared<asio::steady_timer>(m_strand);
        members.push_back(std::move(member));
    }
    // Statements that wait for a connection are routed again, as their member may have been removed.
    for (auto& it : m_members)
        it.pool->cancelWaiters();
    m_members = std::move(members);
}

void GroupController::startLoops()
{
    m_isRunning = true;
    auto epoch = ++m_epoch;
    applyEvent(decisions::ServingStarted {});
    for (size_t i = 0; i < m_members.size(); ++i) {
        asio::co_spawn(m_strand, probeForever(i, epoch), asio::detached);
        asio::co_spawn(m_strand, confirmForever(i, epoch), asio::detached);
    }
    m_tick = m_node.timers.subscribe(m_strand, kTickInterval, [weak = weak_from_this(), epoch] {
        auto self = weak.lock();
        if (self && epoch == self->m_epoch)
            self->handleTick();
    });
}

void GroupController::stopLoops()
{
    m_isRunning = false;
    ++m_epoch;
    m_tick.stop();
    for (auto& it : m_members) {
        it.probeTimer->cancel();
        it.confirmTimer->cancel();
        it.pool->closeIdle();
    }
}

// ---- probes ----

void GroupController::handleTick()
{
    // A host that is no longer a home finishes its requests, as writes may still wait for their confirmation.
    bool isDone = !m_isActive && m_activeRequests == 0 && m_transactions.empty();
    if (isDone) {
        stopLoops();
        publishStatus();
        return;
    }
    applyEvent(decisions::FailoverEvent { decisions::Tick {} });
    expireTransactions();
    if (Clock::now() - m_statusPublishedAt >= kPublishInterval)
        publishStatus();
}

asio::awaitable<void> GroupController::probeForever(size_t index, uint64_t epoch)
{
    auto self = shared_from_this();
    std::unique_ptr<links::HttpConnection> link;
    while (epoch == m_epoch) {
        auto began = Clock::now();
        auto event = co_await probeOnce(link, index);
        if (epoch != m_epoch)
            co_return;
        applyEvent(event);
        co_await waitForProbe(index, began, epoch);
    }
}

// Waits until a probe is due or the timer is cancelled. Piggybacked statuses postpone the probe.
asio::awaitable<void> GroupController::waitForProbe(size_t index, TimePoint sentAt, uint64_t epoch)
{
    auto timer = m_members[index].probeTimer;
    while (epoch == m_epoch) {
        auto due = decisions::getNextProbeTime(m_state.health, index, sentAt, getProbeTimings());
        if (Clock::now() >= due)
            co_return;
        timer->expires_at(due);
        auto [ec] = co_await timer->async_wait(kUseAwaitable);
        if (ec)
            co_return;
    }
}

decisions::ProbeTimings GroupController::getProbeTimings() const
{
    decisions::ProbeTimings timings;
    timings.interval = milliseconds(m_node.settings.probeIntervalMs);
    timings.fullStatusInterval = std::max(timings.fullStatusInterval, timings.interval);
    timings.idleInterval = std::max(timings.idleInterval, timings.interval);
    timings.isFirstHome = !m_configuration.homes.empty() && m_configuration.homes.front() == m_node.settings.name;
    timings.isIdle = m_activeRequests == 0 && Clock::now() - m_lastRequestAt >= kGroupIdleTimeout;
    return timings;
}

// Ordinary answers carry a member's status, which saves probes. A status that differs from the last one triggers a probe.
void GroupController::handlePiggybackedStatus(size_t index, const decisions::PiggybackedStatus& piggybacked, TimePoint askedAt)
{
    if (index >= m_members.size() || piggybacked.term == 0)
        return;
    auto& it = m_state.health.members[index];
    if (it.isReachable() && askedAt >= it.askedAt && !decisions::matchesLastStatus(it, piggybacked)) {
        m_members[index].probeTimer->cancel();
        return;
    }
    if (askedAt - it.askedAt < decisions::kPiggybackedStatusInterval)
        return;
    applyEvent(decisions::PiggybackedStatusReceived { index, piggybacked, decisions::truncateToMicroseconds(askedAt) });
}

asio::awaitable<decisions::GroupEvent> GroupController::probeOnce(std::unique_ptr<links::HttpConnection>& link, size_t index)
{
    base::count(base::Counter::Probes);
    auto askedAt = decisions::truncateToMicroseconds(Clock::now());
    auto deadline = askedAt + milliseconds(m_node.settings.probeTimeoutMs);
    if (!link || !link->isOpen()) {
        link = links::makeHttpConnection(m_strand, m_members[index].record.address);
        auto opened = co_await link->open(deadline);
        if (!opened) {
            link.reset();
            co_return decisions::ProbeFailed { index, opened.error().wasRefused, askedAt };
        }
    }
    auto before = link->getTransferredBytes();
    auto status = co_await links::askStatus(*link, m_node.settings.name, deadline);
    base::count(base::Counter::ProbeBytes, link->getTransferredBytes() - before);
    if (!status)
        co_return decisions::ProbeFailed { index, false, askedAt };
    co_return decisions::StatusAnswered { index, std::move(*status), askedAt };
}

void GroupController::probeNow()
{
    for (auto& it : m_members)
        it.probeTimer->cancel();
}

void GroupController::handleGroupNews(const peer::GroupNews& news)
{
    asio::post(m_strand, [self = shared_from_this(), term = news.term()] {
        if (self->m_isActive && term > self->m_state.health.term)
            self->probeNow();
    });
}

// The only place that changes the group's state. Performs the resulting actions, and wakes waiting requests unless the event is a
// failover event.
void GroupController::applyEvent(const decisions::GroupEvent& event)
{
    auto termBefore = m_state.health.term;
    bool wasHealthy = decisions::isGroupHealthy(m_state.health);
    auto now = decisions::truncateToMicroseconds(Clock::now());
    auto step = decisions::stepGroup(std::move(m_state), event, now);
    m_state = std::move(step.state);
    m_trace.record(now, event, step.actions, m_state.record);
    if (step.hasNotableChange) {
        rerouteWaitingStatements(termBefore);
        publishStatus();
    }
    for (auto& it : step.actions)
        performAction(it);
    if (std::holds_alternative<decisions::FailoverEvent>(event))
        return;
    if (wasHealthy && !decisions::isGroupHealthy(m_state.health))
        probeNow();
    resendFollows();
    wakeHealthWaiters();
}

// Statements that wait for an unreachable member or for one that is not the primary are routed again.
void GroupController::rerouteWaitingStatements(uint64_t termBefore)
{
    auto& health = m_state.health;
    for (size_t i = 0; i < m_members.size(); ++i) {
        if (!health.members[i].isReachable() || health.primary != i)
            m_members[i].pool->cancelWaiters();
        // Statements running on a superseded, unresponsive primary end now instead of at their deadline.
        bool isSuperseded = health.primary && health.primary != i && health.members[i].failures > 0 && health.term > termBefore;
        if (isSuperseded)
            m_members[i].pool->abortLeased();
    }
}

// ---- waiting for a change of health ----

void GroupController::wakeHealthWaiters()
{
    for (auto* it : m_healthWaiters)
        it->cancel();
}

asio::awaitable<void> GroupController::waitForHealthChange(TimePoint until)
{
    asio::steady_timer timer(m_strand);
    timer.expires_at(until);
    m_healthWaiters.push_back(&timer);
    co_await timer.async_wait(kUseAwaitable);
    m_healthWaiters.remove(&timer);
}

// ---- views ----

// Whether a replica is still in contact with the primary that this host cannot reach. Another home may reach it.
bool GroupController::isPathFault() const
{
    if (!m_state.health.primary || m_state.health.members[*m_state.health.primary].failures == 0)
        return false;
    auto& primary = m_state.health.members[*m_state.health.primary];
    if (Clock::now() - primary.failingSince < kPathFaultDelay)
        return false;
    return std::ranges::any_of(m_state.health.members, [&](const decisions::MemberHealth& it) {
        return it.isReachable() && it.probedAt >= primary.failingSince && it.status.term == m_state.health.term
            && it.status.role == decisions::Role::Replica && it.status.primaryContactAge < decisions::FailoverTimings {}.primaryContactTimeout;
    });
}

std::vector<decisions::TargetLoad> GroupController::getLoads() const
{
    std::vector<decisions::TargetLoad> loads;
    for (size_t i = 0; i < m_members.size(); ++i) {
        auto& it = m_members[i];
        decisions::TargetLoad load;
        bool isInGrace = m_state.health.primary == i && Clock::now() - it.leavingSince < kLeavingPrimaryGrace;
        load.isUsable = m_state.health.members[i].isReachable() && (!m_configuration.isLeaving[i] || isInGrace);
        load.isNear = it.record.dataCentre == m_node.settings.dataCentre;
        load.waiting = it.pool->getWaiting();
        load.running = it.pool->getRunning();
        load.knownPosition = it.knownTerm == m_state.health.term ? it.knownPosition : 0;
        loads.push_back(load);
    }
    return loads;
}

void GroupController::publishStatus()
{
    auto status = std::make_shared<GroupStatus>();
    m_statusPublishedAt = Clock::now();
    status->health = m_state.health;
    status->failover = m_state.failover;
    status->isActive = m_isActive;
    status->isPathFault = isPathFault();
    status->transactions = m_transactions.size();
    for (auto& it : m_members) {
        status->openConnections.push_back(it.pool->getOpen());
        status->limits.push_back(it.pool->getLimit());
        status->waiting += it.pool->getWaiting();
    }
    m_status.publish(std::move(status));
}

}
