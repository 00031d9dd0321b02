#include "gateway/statement_router.h"
#include "base/event_log.h"
#include "base/families.h"
#include "decisions/scheduling.h"
#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kRetryDelay { 15 }; // before members that have all refused are tried again
static constexpr milliseconds kCallerRoundTrip { 2 }; // estimate, between caller and host
static constexpr double kRemoteRoundTripEstimateMs = 10; // from this host to a member in another data centre

std::shared_ptr<RoutedStatement> StatementRouter::run(RoutedStatement routed, RoutedCallback done)
{
    auto shared = std::make_shared<RoutedStatement>(std::move(routed));
    // Checked before queueing, so that operations beyond the quota do not delay those of other accounts.
    m_context.quotas.admitOperation(shared->request.account, shared->request.priority, [this, shared, done = std::move(done)](const QuotaDecision& decision) {
        shared->isCounted = decision.isCounted;
        shared->isOwnBucket = decision.isOwnBucket;
        shared->quotaLevel = decision.level;
        if (decision.refusal)
            refuse(shared, done, *decision.refusal);
        else if (shared->isAbandoned) // while it waited for the grant
            refuseAbandoned(shared, done);
        else
            attempt(shared, done);
    });
    return shared;
}

void StatementRouter::refuseAbandoned(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done)
{
    refuse(routed, std::move(done), { ErrorKind::CallerGone, "the caller disconnected before the statement was sent" });
}

void StatementRouter::abandon(const std::shared_ptr<RoutedStatement>& routed)
{
    routed->isAbandoned = true;
    routed->wasPassedOn = routed->place.number != 0;
    auto retry = std::ranges::find(m_pendingRetries, routed, &PendingRetry::routed);
    if (retry != m_pendingRetries.end()) {
        auto done = std::move(retry->done);
        m_pendingRetries.erase(retry);
        refuseAbandoned(routed, std::move(done));
        return;
    }
    auto& place = routed->place;
    if (place.number == 0)
        return;
    if (place.pool)
        place.pool->cancel(place.number);
    else
        m_context.peers.cancelStatementRequest(place.host, place.number);
}

void StatementRouter::refuse(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done, const decisions::Error& refusal)
{
    boost::asio::post(m_context.context, [this, routed, done = std::move(done), refusal] {
        Outcome outcome;
        outcome.error = refusal;
        finish(*routed, outcome, std::nullopt, done, {});
    });
}

// Whether the host is usable and has not reported recently that it cannot reach the member.
bool StatementRouter::canForward(const std::string& host, const MemberView& member) const
{
    if (host == m_context.name)
        return !m_context.isUnreachable(member.getTarget());
    if (!m_context.peers.isUsable(host))
        return false;
    // A reachable host may not know the member, or not reach it.
    auto load = m_context.peers.getLoad(host, member.registration.id);
    return !(load && load->unreachable()) && !m_context.peers.lacksMember(host, member.registration.id);
}

std::string StatementRouter::chooseForwarder(const MemberView& member) const
{
    auto& ranked = getForwarders(m_context.view, member);
    auto first = std::ranges::find_if(ranked, [&](const std::string& host) { return canForward(host, member); });
    return first == ranked.end() ? m_context.name : *first;
}

decisions::Candidate StatementRouter::makeCandidate(const RoutedStatement& routed, const MemberView& member, const std::string& primary) const
{
    auto now = Clock::now();
    decisions::Candidate candidate;
    candidate.isUsable = !member.registration.isLeaving && !member.unlistedAt && !mustReportPosition(member);
    candidate.isPrimary = member.registration.id == primary;
    candidate.wasTried = std::ranges::find(routed.triedMembers, member.registration.id) != routed.triedMembers.end();
    candidate.position = decisions::estimatePosition(member.progress, now);
    candidate.positionAge = std::chrono::duration_cast<milliseconds>(now - std::max(member.progress.observedAt, member.progress.lastRefusalAt));
    candidate.wasBehind = member.progress.lastRefusalAt != TimePoint {};
    candidate.isFarBehind = isFarBehind(m_context.view.groups.at(member.registration.group), member, now);
    candidate.slots = std::max(1U, member.registration.slots);
    auto forwarder = chooseForwarder(member);
    if (forwarder == m_context.name) {
        auto load = m_context.getPool(member.getTarget())->getLoad();
        candidate.queued = load.waiting + load.running;
        candidate.statementMs = load.workMs;
        candidate.roundTripMs = member.registration.dataCentre == m_context.dataCentre ? 0 : kRemoteRoundTripEstimateMs;
    } else {
        candidate.roundTripMs = m_context.peers.getRoundTripMs(forwarder);
        if (auto load = m_context.peers.getLoad(forwarder, member.registration.id)) {
            candidate.queued = load->waiting() + load->running();
            candidate.statementMs = load->work_ms();
        }
    }
    return candidate;
}

std::optional<TargetAddress> StatementRouter::chooseMember(const RoutedStatement& routed) const
{
    auto group = m_context.view.groups.find(routed.route.group);
    if (group == m_context.view.groups.end())
        return std::nullopt;
    auto& primary = group->second.primary.member;
    if (routed.needsPrimary) {
        auto it = m_context.view.members.find(primary);
        bool wasTried = std::ranges::find(routed.triedMembers, primary) != routed.triedMembers.end();
        if (it == m_context.view.members.end() || wasTried)
            return std::nullopt;
        // Applies even if no other member can serve: the primary may stop at any moment, and the outcome of a statement would be unknown.
        if (!acceptsNewOperations(it->second, m_context.drainTime, Clock::now()))
            return std::nullopt;
        return it->second.getTarget();
    }
    std::vector<decisions::Candidate> candidates;
    for (auto& id : group->second.members)
        candidates.push_back(makeCandidate(routed, m_context.view.members.at(id), primary));
    auto best = decisions::chooseReadMember(candidates, routed.requiredMark);
    if (!best)
        return std::nullopt;
    return m_context.view.members.at(group->second.members[*best]).getTarget();
}

// The time that an answer takes from the forwarder to the caller.
TimePoint::duration StatementRouter::getReturnTime(const std::string& forwarder) const
{
    auto returnMs = forwarder == m_context.name ? 0 : m_context.peers.getRoundTripMs(forwarder) / 2;
    return kCallerRoundTrip + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(returnMs));
}

// A statement whose answer could only arrive after the caller's deadline is not sent. The forwarder counts the remaining time from the request's
// arrival, so the request's own way is deducted as well as the answer's.
TimePoint StatementRouter::getForwarderDeadline(const std::string& forwarder, TimePoint deadline) const
{
    auto outwardMs = forwarder == m_context.name ? 0 : m_context.peers.getRoundTripMs(forwarder) / 2;
    return deadline - getReturnTime(forwarder) - std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(outwardMs));
}

void StatementRouter::fail(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done, ErrorKind kind)
{
    refuse(routed, std::move(done), { kind, routed->lastReason.empty() ? "no member can serve this statement now" : routed->lastReason });
}

// Called when no member is left to try. Retries until the deadline, as a primary may recover or be replaced. An isolated host fails the
// statement at once, as the caller may find a host that reaches the primary.
void StatementRouter::retryLaterOrFail(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done)
{
    auto now = Clock::now();
    if (routed->wasQueueOverloaded) {
        fail(routed, std::move(done), ErrorKind::Overloaded);
        return;
    }
    if (now + kRetryDelay >= routed->request.deadline || m_context.isIsolated()) {
        fail(routed, std::move(done), routed->needsPrimary ? ErrorKind::NoPrimary : ErrorKind::TooStale);
        return;
    }
    if (routed->needsPrimary && !routed->wasMemberBusy)
        m_context.onNoPrimary(routed->route.group);
    routed->triedMembers.clear();
    m_pendingRetries.push_back({ routed, std::move(done), now + kRetryDelay });
}

void StatementRouter::attempt(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done)
{
    auto target = chooseMember(*routed);
    if (!target) {
        retryLaterOrFail(routed, std::move(done));
        return;
    }
    ++routed->attempts;
    routed->triedMembers.push_back(target->member);
    auto& member = m_context.view.members.at(target->member);
    auto forwarder = chooseForwarder(member);
    if (!canForward(forwarder, member) && m_context.isIsolated()) {
        routed->lastReason = "the member is unreachable";
        attempt(routed, std::move(done));
        return;
    }
    auto request = routed->request;
    request.atLeast = routed->requiredMark;
    request.objective -= getReturnTime(forwarder);
    request.deadline = getForwarderDeadline(forwarder, request.deadline);
    if (request.kind == RequestKind::Single && routed->needsPrimary && !request.statement.isWrite)
        request.kind = RequestKind::PrimaryRead;
    std::optional<TransactionHandle> transaction;
    bool isLocal = forwarder == m_context.name;
    auto pool = isLocal ? m_context.getPool(*target) : nullptr;
    if (request.kind == RequestKind::Begin) {
        transaction = TransactionHandle { *target, pool, isLocal ? "" : forwarder, isLocal ? pool->takeTransactionNumber() : m_context.peers.takeTransactionNumber() };
        request.transaction = transaction->number;
    }
    auto onOutcome = [this, routed, target = *target, forwarder, transaction, done](const Outcome& outcome) {
        routed->place = {};
        if (outcome.error && m_context.peers.lacksMember(forwarder, target.member))
            std::erase(routed->triedMembers, target.member); // it was not asked: another forwarder can be tried at once
        handleOutcome(routed, target, transaction, outcome, done);
    };
    if (isLocal)
        routed->place = { pool, {}, pool->submit(std::move(request), onOutcome) };
    else
        routed->place = { nullptr, forwarder, m_context.peers.sendStatementRequest(forwarder, *target, request, onOutcome) };
}

void StatementRouter::recordReadRefusal(const TargetAddress& target, const Mark& position, TimePoint now)
{
    auto it = m_context.view.members.find(target.member);
    if (it == m_context.view.members.end())
        return;
    auto& progress = it->second.progress;
    if (position.term != 0)
        progress = decisions::applyPosition(progress, position, now);
    progress = decisions::applyRefusal(progress, now);
}

void StatementRouter::handleOutcome(const std::shared_ptr<RoutedStatement>& routed, const TargetAddress& target, const std::optional<TransactionHandle>& transaction, const Outcome& outcome, RoutedCallback done)
{
    if (!outcome.error) {
        finish(*routed, outcome, transaction, done, target);
        return;
    }
    auto now = Clock::now();
    auto kind = outcome.error->kind;
    routed->wasSent = routed->wasSent || outcome.wasSent;
    routed->lastReason = outcome.error->message;
    routed->wasMemberBusy = kind == ErrorKind::Overloaded && outcome.wasSent;
    bool isRefusedByQueue = kind == ErrorKind::Overloaded && !outcome.wasSent;
    routed->wasQueueOverloaded = routed->wasQueueOverloaded || isRefusedByQueue || (routed->wasMemberBusy && routed->attempts >= decisions::kMaxBusyAttempts);
    if (kind == ErrorKind::NotPrimary)
        denyPrimary(m_context.view.groups[target.group], target.member, now);
    if (kind == ErrorKind::TooStale)
        recordReadRefusal(target, outcome.position, now);
    if (transaction)
        end(*transaction);
    auto& statement = routed->request.statement;
    // A single write that may have been received is never sent again. Other statements have no effect until their commit.
    bool canRetry = decisions::canTryOtherTarget(kind) || (kind == ErrorKind::OutcomeUnknown && (!statement.isWrite || routed->request.kind == RequestKind::Begin));
    bool hasTime = now + kRetryDelay < routed->request.deadline;
    if (!canRetry || !hasTime || routed->isAbandoned) {
        finish(*routed, outcome, std::nullopt, done, target);
        return;
    }
    attempt(routed, std::move(done));
}

std::shared_ptr<RoutedStatement> StatementRouter::runNext(const TransactionHandle& transaction, RoutedStatement routed, RoutedCallback done)
{
    routed.request.kind = RequestKind::Continue;
    routed.request.transaction = transaction.number;
    routed.attempts = 1;
    auto shared = std::make_shared<RoutedStatement>(std::move(routed));
    auto request = shared->request;
    request.deadline = getForwarderDeadline(transaction.pool ? m_context.name : transaction.host, request.deadline);
    auto onOutcome = [this, shared, transaction, done](const Outcome& outcome) {
        shared->place = {};
        finish(*shared, outcome, transaction, done, transaction.target);
    };
    if (transaction.pool)
        shared->place = { transaction.pool, {}, transaction.pool->submit(std::move(request), onOutcome) };
    else
        shared->place = { nullptr, transaction.host, m_context.peers.sendStatementRequest(transaction.host, transaction.target, request, onOutcome) };
    return shared;
}

void StatementRouter::end(const TransactionHandle& transaction)
{
    if (transaction.pool)
        transaction.pool->endTransaction(transaction.number);
    else
        m_context.peers.endTransaction(transaction.host, transaction.number);
}

static std::string_view getName(RequestKind kind)
{
    static constexpr std::array<std::string_view, 4> names { "single", "proven", "begin", "continue" };
    return names[static_cast<size_t>(kind)];
}

void StatementRouter::recordAbandoned(const RoutedStatement& routed, const Outcome& outcome) const
{
    bool wasSent = !outcome.error || outcome.wasSent;
    std::string_view stage = wasSent ? "running" : routed.wasPassedOn ? "queue"
                                                                      : "retry";
    base::incrementCounter(base::MetricFamily::Abandoned, { { "stage", stage } });
    base::logEvent(LogClass::Failure, "caller-gone", { { "request", std::string_view(routed.request.statement.id) }, { "account", std::string_view(routed.request.account) }, { "stage", stage } });
}

void StatementRouter::finish(const RoutedStatement& routed, const Outcome& outcome, const std::optional<TransactionHandle>& transaction, const RoutedCallback& done, const TargetAddress& target)
{
    std::chrono::duration<double, std::milli> took = Clock::now() - routed.arrivedAt;
    std::string_view kind = routed.request.statement.kind == StatementKind::Commit ? "commit" : routed.request.statement.isWrite ? "write"
                                                                                                                                 : "read";
    base::incrementCounter(base::MetricFamily::Statements, { { "database", routed.route.database }, { "kind", kind }, { "outcome", outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "served" } });
    base::observeHistogram(base::MetricFamily::StatementSeconds, { { "database", routed.route.database }, { "kind", kind } }, took.count() / 1000);
    bool isLate = Clock::now() > routed.request.objective;
    auto logClass = outcome.error || isLate ? LogClass::Failure : LogClass::Request;
    if (base::hasLogBudget(logClass)) {
        auto group = m_context.view.groups.find(routed.route.group);
        std::string_view primary = group == m_context.view.groups.end() ? std::string_view() : std::string_view(group->second.primary.member);
        auto requiredMark = std::to_string(routed.requiredMark.term) + "." + std::to_string(routed.requiredMark.position);
        auto member = m_context.view.members.find(target.member);
        bool isLeaving = member != m_context.view.members.end() && member->second.leavingSince;
        int64_t leavingMs = isLeaving ? std::chrono::duration_cast<milliseconds>(Clock::now() - *member->second.leavingSince).count() : -1;
        std::string_view result = outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "served";
        auto quotaLevel = routed.quotaLevel ? fmt::format("{:.1f}", *routed.quotaLevel) : std::string();
        base::logEvent(logClass, "request",
            { { "request", std::string_view(routed.request.statement.id) }, { "session", std::string_view(routed.session) }, { "database", std::string_view(routed.route.database) },
                { "group", std::string_view(routed.route.group) }, { "account", std::string_view(routed.request.account) }, { "kind", getName(routed.request.kind) }, { "transaction", static_cast<int64_t>(transaction ? transaction->number : 0) },
                { "target", std::string_view(target.member) }, { "target_leaving_ms", leavingMs }, { "carrier", transaction ? std::string_view(transaction->host) : std::string_view() }, { "leader", primary }, { "need", std::string_view(requiredMark) },
                { "configuration", static_cast<int64_t>(m_context.view.configuration.version) }, { "attempts", static_cast<int64_t>(routed.attempts) },
                { "priority", static_cast<int64_t>(routed.request.priority) }, { "outcome", result }, { "quota_level", std::string_view(quotaLevel) }, { "retry_after_ms", static_cast<int64_t>(outcome.error ? outcome.error->retryAfter.count() : 0) }, { "reason", outcome.error ? std::string_view(outcome.error->message) : std::string_view() }, { "sent", outcome.wasSent }, { "ms", took.count() } });
    }
    if (routed.isAbandoned)
        recordAbandoned(routed, outcome);
    if (routed.isCounted && outcome.error && !outcome.wasSent && !routed.wasSent)
        m_context.quotas.revertOperation(routed.request.account, routed.isOwnBucket, routed.arrivedAt);
    done(outcome, transaction);
}

void StatementRouter::sweep(TimePoint now)
{
    std::vector<PendingRetry> due;
    std::erase_if(m_pendingRetries, [&](PendingRetry& it) {
        bool isDue = now >= it.retryAt;
        if (isDue)
            due.push_back(std::move(it));
        return isDue;
    });
    for (auto& it : due)
        attempt(it.routed, std::move(it.done));
}

}
