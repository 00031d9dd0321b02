// Reads, writes and settlements of callers, on the group's strand. Transactions: group_transactions.cpp.
#include "base/metrics.h"
#include "base/random.h"
#include "base/timeline.h"
#include "controllers/group.h"
#include "decisions/attempts.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace alderward::controllers {

namespace asio = boost::asio;
using base::Clock;
using base::Counter;
using base::milliseconds;
using base::TimePoint;
using decisions::Confirmation;
using decisions::ErrorKind;
using decisions::fail;
using decisions::Result;
using decisions::RouteKind;

static constexpr milliseconds kMaxReroutePause { 50 }; // maximum time until a waiting request is routed again
static constexpr milliseconds kMaxFreshnessWait { 300 }; // how long a read waits for a sufficiently fresh member
static constexpr milliseconds kReplyMargin { 5 }; // part of the deadline reserved for the reply to the caller

// A refusal leaves the connection usable. After any other failure, a late answer could still arrive on it.
static void releaseAfterFailure(Lease& lease, const links::TargetFailure& failure)
{
    if (failure.refusal)
        lease.release();
    else
        lease.discard();
}

asio::awaitable<Result<Outcome>> GroupController::run(GroupRequest request)
{
    request.deadline -= kReplyMargin;
    co_return co_await asio::co_spawn(m_strand, runOnStrand(std::move(request)), asio::use_awaitable);
}

asio::awaitable<Result<Outcome>> GroupController::runOnStrand(GroupRequest request)
{
    auto self = shared_from_this();
    ++m_activeRequests;
    refreshAfterIdle();
    auto outcome = co_await dispatch(std::move(request));
    --m_activeRequests;
    co_return outcome;
}

// After an idle time the known state of the group may be outdated, so the members are probed alongside the request.
void GroupController::refreshAfterIdle()
{
    auto now = Clock::now();
    if (m_isActive && now - m_lastRequestAt >= kGroupIdleTimeout)
        probeNow();
    m_lastRequestAt = now;
}

asio::awaitable<Result<Outcome>> GroupController::dispatch(GroupRequest request)
{
    if (!request.transaction.empty())
        co_return co_await runInTransaction(std::move(request));
    if (!m_isActive)
        co_return fail(ErrorKind::Draining, "this host is no longer a home of the group", kRetryAfter);
    if (request.operation == Operation::Begin)
        co_return co_await runBegin(std::move(request));
    bool isWrite = request.isWrite || request.operation == Operation::Settle;
    if (isWrite)
        co_return co_await runWrite(std::move(request));
    co_return co_await runRead(std::move(request));
}

// ---- reads ----

static const char* describeWait(ErrorKind reason)
{
    switch (reason) {
    case ErrorKind::TooStale:
        return "no reachable member is within the maximum age";
    case ErrorKind::NotCaughtUp:
        return "no reachable member has caught up with the session";
    case ErrorKind::SessionWritesLost:
        return "a change of primary lost writes that this session had seen; continue with the returned token";
    default:
        return "no member that can serve the request is reachable";
    }
}

static decisions::Error makeRefusal(const decisions::Route& route)
{
    return { route.reason, describeWait(route.reason), {}, route.markAfterLoss };
}

asio::awaitable<Result<Outcome>> GroupController::runRead(GroupRequest request)
{
    auto freshnessDeadline = std::min(request.deadline, Clock::now() + kMaxFreshnessWait);
    decisions::ReadRequirements requirements { request.mark, request.maximumAge, {} };
    for (;;) {
        auto route = decisions::routeRead(m_state.health, getLoads(), requirements, Clock::now());
        if (route.kind == RouteKind::Refuse)
            co_return tl::make_unexpected(makeRefusal(route));
        bool canCatchUp = route.reason == ErrorKind::NotCaughtUp;
        if (route.kind == RouteKind::Wait && isDue(canCatchUp ? request.deadline : freshnessDeadline))
            co_return fail(route.reason, describeWait(route.reason), kRetryAfter);
        if (route.kind == RouteKind::Wait) {
            co_await waitForHealthChange(std::min(request.deadline, Clock::now() + kMaxReroutePause));
            requirements.tried.clear();
            continue;
        }
        auto outcome = co_await tryRead(request, route);
        // A failed read may be repeated at another member, because it changes nothing.
        bool isWorthRetrying = !outcome && (outcome.error().kind == ErrorKind::NoPrimary || outcome.error().kind == ErrorKind::NotCaughtUp || outcome.error().kind == ErrorKind::OutcomeUnknown);
        if (!isWorthRetrying || isDue(request.deadline)) {
            if (outcome)
                m_retryBudget = decisions::depositRetry(m_retryBudget);
            co_return outcome;
        }
        bool wasBehind = outcome.error().kind == ErrorKind::NotCaughtUp;
        if (wasBehind)
            requirements.tried.push_back(route.member);
        if (!wasBehind && !decisions::tryTakeRetry(m_retryBudget))
            co_return outcome;
        base::count(Counter::Retries);
    }
}

asio::awaitable<Result<Outcome>> GroupController::tryRead(const GroupRequest& request, const decisions::Route& route)
{
    auto member = m_members[route.member].record.name;
    auto pool = m_members[route.member].pool;
    auto lease = co_await pool->acquire(Lane::Read, request.deadline, false);
    if (!lease)
        co_return tl::make_unexpected(lease.error());
    // The member may have been promoted, demoted or removed during the wait for the connection.
    auto index = findMember(pool);
    if (!index) {
        lease->release();
        co_return fail(ErrorKind::NoPrimary, "the record changed before the read was sent", kRetryAfter);
    }
    auto term = m_state.health.primary == index ? m_state.health.term : 0;
    auto sentAt = Clock::now();
    links::ExecuteRequest message;
    message.statement = request.statement;
    message.parameters = request.parameters;
    message.atLeast = request.mark;
    message.waitLimit = route.waitForPosition;
    auto answer = co_await links::execute(lease->getLink(), m_node.settings.name, message, request.deadline);
    auto latency = Clock::now() - sentAt;
    if (!answer) {
        releaseAfterFailure(*lease, answer.error());
        co_return handleTargetFailure(answer.error(), pool);
    }
    lease->release();
    pool->recordLatency(latency);
    base::record(base::Latency::Read, latency);
    index = findMember(pool);
    if (!index)
        co_return fail(ErrorKind::OutcomeUnknown, "the record changed during the read");
    updateKnownPosition(*index, answer->mark);
    handlePiggybackedStatus(*index, answer->piggybackedStatus, sentAt);
    base::checkInvariant(answer->mark.term >= request.mark.term, "a read was answered from an older term than its session has seen", m_name);
    bool wasPrimary = decisions::wasPrimaryOfTerm(term, answer->mark, answer->piggybackedStatus);
    Outcome outcome;
    outcome.result = std::move(answer->result);
    outcome.mark = std::max(request.mark, answer->mark);
    outcome.member = member;
    outcome.role = wasPrimary ? decisions::Role::Primary : decisions::Role::Replica;
    outcome.age = decisions::getStalenessBound(m_state.health, answer->mark.term, answer->mark.position, Clock::now());
    base::count(wasPrimary ? Counter::ReadsByPrimary : Counter::ReadsByReplica);
    co_return co_await checkStaleness(request, std::move(outcome), term, sentAt);
}

// Answers a read with a maximum age only if the bound still holds when the read ends. If a majority confirms the term in which
// the primary ran the read, after the read was sent, the primary was up to date when it ran the read. The term that the member
// is in afterwards proves nothing: it may have been demoted, and a majority is in its successor's term.
asio::awaitable<Result<Outcome>> GroupController::checkStaleness(const GroupRequest& request, Outcome outcome, uint64_t term, TimePoint sentAt)
{
    if (!request.maximumAge || (outcome.age && *outcome.age <= *request.maximumAge))
        co_return outcome;
    if (outcome.role != decisions::Role::Primary)
        co_return fail(ErrorKind::NotCaughtUp, "the member fell behind during the read", kRetryAfter);
    decisions::PendingWrite question { { term, 0 }, sentAt, false };
    auto answer = co_await confirm(question, outcome.member, request.deadline);
    if (answer != Confirmation::Confirmed)
        co_return fail(ErrorKind::TooStale, "the primary could not be confirmed in time", kRetryAfter);
    outcome.age = milliseconds(0);
    co_return outcome;
}

// ---- writes ----

// Whether a write may wait for a primary. If not, it fails immediately.
bool GroupController::canHoldWrites() const
{
    decisions::WriteHoldConditions conditions { m_state.health };
    conditions.majority = m_configuration.record->getMajority();
    conditions.isPromotionHeldBack = !m_state.failover.holdBackReason.empty();
    conditions.isPathFault = isPathFault();
    conditions.held = m_heldWrites;
    conditions.maxHeld = static_cast<size_t>(m_node.settings.maxHeldWrites);
    conditions.primaryLostAt = m_state.health.withoutPrimarySince;
    if (m_state.health.primary)
        conditions.primaryLostAt = m_configuration.isLeaving[*m_state.health.primary] ? m_members[*m_state.health.primary].leavingSince : m_state.health.members[*m_state.health.primary].failingSince;
    return decisions::canHoldWrite(conditions, Clock::now());
}

// Waits for a change of health that may bring a primary, or returns the error that ends the request. Nothing has been sent.
asio::awaitable<std::optional<decisions::Error>> GroupController::holdWrite(const GroupRequest& request, const decisions::Route& route)
{
    if (route.kind == RouteKind::Refuse)
        co_return makeRefusal(route);
    if (isDue(request.deadline))
        co_return decisions::Error { route.reason, describeWait(route.reason), kRetryAfter };
    if (!canHoldWrites()) {
        auto reason = m_state.failover.holdBackReason.empty() ? std::string(describeWait(route.reason)) : "no promotion: " + m_state.failover.holdBackReason;
        co_return decisions::Error { route.reason, reason, kRetryAfter * 4 };
    }
    ++m_heldWrites;
    co_await waitForHealthChange(std::min(request.deadline, Clock::now() + kMaxReroutePause));
    --m_heldWrites;
    co_return std::nullopt;
}

// Returns the known primary, or waits for one while a promotion is possible.
asio::awaitable<Result<size_t>> GroupController::findPrimary(const GroupRequest& request)
{
    for (;;) {
        auto route = decisions::routeWrite(m_state.health, getLoads(), request.mark);
        if (route.kind == RouteKind::Member)
            co_return route.member;
        if (auto error = co_await holdWrite(request, route))
            co_return tl::make_unexpected(*error);
    }
}

asio::awaitable<Result<Outcome>> GroupController::runWrite(GroupRequest request)
{
    bool mayHaveRun = false; // in an earlier attempt
    auto getError = [&mayHaveRun](const decisions::Error& error) { return tl::make_unexpected(mayHaveRun ? decisions::combineWithEarlierAttempt(error) : error); };
    for (;;) {
        auto primary = co_await findPrimary(request);
        if (!primary)
            co_return getError(primary.error());
        auto outcome = co_await tryWrite(request, *primary, m_state.health.term);
        if (outcome) {
            m_retryBudget = decisions::depositRetry(m_retryBudget);
            co_return outcome;
        }
        auto kind = outcome.error().kind;
        bool didNotRun = kind == ErrorKind::NoPrimary; // the member was unreachable or is not the primary
        bool canRepeat = kind == ErrorKind::OutcomeUnknown && request.isRepeatable;
        if ((!didNotRun && !canRepeat) || isDue(request.deadline))
            co_return getError(outcome.error());
        if (canRepeat && !decisions::tryTakeRetry(m_retryBudget))
            co_return outcome;
        mayHaveRun = mayHaveRun || canRepeat;
        base::count(Counter::Retries);
        probeNow();
        co_await waitForHealthChange(std::min(request.deadline, Clock::now() + milliseconds(10)));
    }
}

asio::awaitable<Result<Outcome>> GroupController::tryWrite(const GroupRequest& request, size_t index, uint64_t term)
{
    auto member = m_members[index].record.name;
    auto pool = m_members[index].pool;
    auto lease = co_await pool->acquire(Lane::Write, request.deadline, false);
    if (!lease)
        co_return tl::make_unexpected(lease.error());
    auto sentAt = Clock::now();
    if (sentAt >= request.deadline)
        co_return fail(ErrorKind::DeadlineExceeded, "the deadline passed before the statement was sent");
    auto& link = lease->getLink();
    auto answer = links::TargetResult<links::ExecuteResult>();
    links::ExecuteRequest message { term, true, request.statement, request.parameters, request.requestKey, {}, {} };
    if (request.operation == Operation::Settle)
        answer = co_await links::settleKey(link, m_node.settings.name, term, request.requestKey, request.deadline);
    else
        answer = co_await links::execute(link, m_node.settings.name, message, request.deadline);
    auto ranAt = Clock::now();
    if (!answer) {
        releaseAfterFailure(*lease, answer.error());
        co_return handleTargetFailure(answer.error(), pool);
    }
    lease->release();
    pool->recordLatency(ranAt - sentAt);
    if (auto present = findMember(pool))
        handlePiggybackedStatus(*present, answer->piggybackedStatus, sentAt);
    Outcome outcome;
    outcome.result = std::move(answer->result);
    outcome.mark = answer->mark;
    outcome.member = member;
    outcome.wasReplayed = answer->wasReplayed;
    outcome.didRun = answer->didRun;
    co_return co_await acknowledge(request, std::move(outcome), ranAt);
}

// ---- acknowledgement ----

asio::awaitable<Result<Outcome>> GroupController::acknowledge(const GroupRequest& request, Outcome outcome, TimePoint ranAt)
{
    // A settlement must survive a promotion in any mode. Otherwise "not run" would not be final.
    bool mustReplicate = m_configuration.record->acknowledge == decisions::Acknowledge::Replicated || request.operation == Operation::Settle;
    decisions::PendingWrite write { outcome.mark, ranAt, mustReplicate };
    auto answer = co_await confirm(write, outcome.member, request.deadline);
    if (answer == Confirmation::Confirmed) {
        base::checkInvariant(outcome.mark.term >= m_acknowledgedTerm, "a write was acknowledged in a superseded term", m_name);
        m_acknowledgedTerm = std::max(m_acknowledgedTerm, outcome.mark.term);
        outcome.mark = std::max(outcome.mark, request.mark);
        base::count(outcome.wasReplayed ? Counter::WritesReplayed : Counter::Writes);
        base::record(base::Latency::Write, Clock::now() - ranAt);
        co_return outcome;
    }
    if (answer == Confirmation::Superseded)
        co_return fail(ErrorKind::OutcomeUnknown, "the primary that ran the write was superseded", kRetryAfter);
    co_return fail(ErrorKind::OutcomeUnknown, "the write ran, but a majority did not confirm it in time", kRetryAfter);
}

// A member keeps its pool while its name and address stay in the record; its index may change.
std::optional<size_t> GroupController::findMember(const std::shared_ptr<Pool>& pool) const
{
    auto it = std::ranges::find(m_members, pool, &Member::pool);
    return it == m_members.end() ? std::nullopt : std::optional(static_cast<size_t>(it - m_members.begin()));
}

// Converts a member's failure into an error, and probes members whose state may have changed.
Result<Outcome> GroupController::handleTargetFailure(const links::TargetFailure& failure, const std::shared_ptr<Pool>& pool)
{
    if (!failure.refusal) {
        if (auto member = findMember(pool))
            m_members[*member].probeTimer->cancel();
        if (!failure.link.mayHaveArrived)
            return fail(ErrorKind::NoPrimary, failure.link.reason, kRetryAfter);
        return fail(ErrorKind::OutcomeUnknown, "the request was sent but not answered: " + failure.link.reason, kRetryAfter);
    }
    auto& refusal = *failure.refusal;
    switch (refusal.kind) {
    case links::RefusalKind::Term:
    case links::RefusalKind::Role:
        probeNow();
        return fail(ErrorKind::NoPrimary, "the member is not the primary of that term: " + refusal.message, kRetryAfter);
    case links::RefusalKind::Behind:
        return fail(ErrorKind::NotCaughtUp, "the member has not caught up: " + refusal.message, kRetryAfter);
    case links::RefusalKind::KeyClosed:
        return fail(ErrorKind::KeyClosed, "the request key was settled as not run");
    case links::RefusalKind::Connections:
        return fail(ErrorKind::Overloaded, "the member accepts no more connections", decisions::jitterRetryAfter(kRetryAfter, base::getRandom()));
    case links::RefusalKind::Transaction:
        return fail(ErrorKind::TransactionUnknown, refusal.message);
    default:
        return fail(ErrorKind::StatementRefused, refusal.message);
    }
}

}
