#include "gateway/statement_router.h"
#include "base/event_log.h"
#include "base/families.h"
#include "decisions/turns.h"
#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kRetryPause { 15 }; // before members that all said no are asked again
static constexpr milliseconds kCallerWay { 2 }; // between caller and host, there and back, on the sites that were seen
static constexpr double kOwnDistanceGuessMs = 10; // to a member in another data centre from here: some ms each way on the sites that were seen

void StatementRouter::run(RoutedStatement routed, RoutedDone done)
{
    auto shared = std::make_shared<RoutedStatement>(std::move(routed));
    // An operation beyond its account's quota waits in no queue: others would pay for it.
    m_context.quotas.begin(shared->order.account, [this, shared, done = std::move(done)](const std::optional<decisions::Error>& refusal) {
        shared->isCounted = !refusal;
        if (refusal)
            refuse(shared, done, *refusal);
        else
            attempt(shared, done);
    });
}

void StatementRouter::refuse(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done, const decisions::Error& refusal)
{
    boost::asio::post(m_context.context, [this, routed, done = std::move(done), refusal] {
        Outcome outcome;
        outcome.error = refusal;
        finish(*routed, outcome, std::nullopt, done, {});
    });
}

// Whether the host is up and has not said lately that it cannot reach the member.
bool StatementRouter::mayCarry(const std::string& host, const MemberView& member) const
{
    if (host == m_context.name)
        return !m_context.isTroubled(member.getTarget());
    if (!m_context.peers.isUsable(host))
        return false;
    // A host that answers may still not know the member, or not reach it.
    auto load = m_context.peers.getLoad(host, member.registration.id);
    return !(load && load->unreachable()) && !m_context.peers.lacksMember(host, member.registration.id);
}

std::string StatementRouter::chooseCarrier(const MemberView& member) const
{
    auto& ranked = getForwarders(m_context.view, member);
    auto first = std::ranges::find_if(ranked, [&](const std::string& host) { return mayCarry(host, member); });
    return first == ranked.end() ? m_context.name : *first;
}

decisions::Candidate StatementRouter::makeCandidate(const RoutedStatement& routed, const MemberView& member, const std::string& leader) const
{
    auto now = Clock::now();
    decisions::Candidate candidate;
    candidate.isUsable = !member.registration.isLeaving && !member.unlistedAt && !mustReportPosition(member);
    candidate.isPrimary = member.registration.id == leader;
    candidate.wasTried = std::ranges::find(routed.tried, member.registration.id) != routed.tried.end();
    candidate.position = decisions::estimatePosition(member.progress, now);
    candidate.positionAge = std::chrono::duration_cast<milliseconds>(now - std::max(member.progress.observedAt, member.progress.lastRefusalAt));
    candidate.wasBehind = member.progress.lastRefusalAt != TimePoint {};
    candidate.isFarBehind = isFarBehind(m_context.view.groups.at(member.registration.group), member, now);
    candidate.slots = std::max(1U, member.registration.slots);
    auto carrier = chooseCarrier(member);
    if (carrier == m_context.name) {
        auto load = m_context.getPool(member.getTarget())->getLoad();
        candidate.queued = load.waiting + load.running;
        candidate.statementMs = load.workMs;
        candidate.roundTripMs = member.registration.dataCentre == m_context.dataCentre ? 0 : kOwnDistanceGuessMs;
    } else {
        candidate.roundTripMs = m_context.peers.getDistanceMs(carrier);
        if (auto load = m_context.peers.getLoad(carrier, member.registration.id)) {
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
    auto& leader = group->second.primary.member;
    if (routed.needsLeader) {
        auto it = m_context.view.members.find(leader);
        bool wasTried = std::ranges::find(routed.tried, leader) != routed.tried.end();
        if (it == m_context.view.members.end() || wasTried)
            return std::nullopt;
        // Also the only one that can serve: it may end at any moment now, and whoever hears nothing from it cannot know what ran.
        if (!acceptsNewOperations(it->second, m_context.drainTime, Clock::now()))
            return std::nullopt;
        return it->second.getTarget();
    }
    std::vector<decisions::Candidate> candidates;
    for (auto& id : group->second.members)
        candidates.push_back(makeCandidate(routed, m_context.view.members.at(id), leader));
    auto best = decisions::chooseReadMember(candidates, routed.need);
    if (!best)
        return std::nullopt;
    return m_context.view.members.at(group->second.members[*best]).getTarget();
}

// What an answer still has to travel once the carrier has it.
TimePoint::duration StatementRouter::getWayBack(const std::string& carrier) const
{
    auto toHereMs = carrier == m_context.name ? 0 : m_context.peers.getDistanceMs(carrier) / 2;
    return kCallerWay + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(toHereMs));
}

void StatementRouter::giveUp(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done, ErrorKind kind)
{
    refuse(routed, std::move(done), { kind, routed->lastReason.empty() ? "no member can serve this now" : routed->lastReason });
}

// No member is left to ask. A primary may come back or be replaced while there is time; on a host that is cut off the caller is told at
// once, as others may reach the primary. Where two of nine hosts were cut off for 7 s, 262 of their statements waited 800 ms in vain.
void StatementRouter::waitOrGiveUp(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done)
{
    auto now = Clock::now();
    if (routed->wasOverloaded) {
        giveUp(routed, std::move(done), ErrorKind::Overloaded);
        return;
    }
    if (now + kRetryPause >= routed->order.deadline || m_context.isCutOff()) {
        giveUp(routed, std::move(done), routed->needsLeader ? ErrorKind::NoPrimary : ErrorKind::TooStale);
        return;
    }
    if (routed->needsLeader && !routed->wasTurnedAway)
        m_context.onNoLeader(routed->route.group);
    routed->tried.clear();
    m_waiting.push_back({ routed, std::move(done), now + kRetryPause });
}

void StatementRouter::attempt(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done)
{
    auto target = chooseMember(*routed);
    if (!target) {
        waitOrGiveUp(routed, std::move(done));
        return;
    }
    ++routed->attempts;
    routed->tried.push_back(target->member);
    auto& member = m_context.view.members.at(target->member);
    auto carrier = chooseCarrier(member);
    if (!mayCarry(carrier, member) && m_context.isCutOff()) {
        routed->lastReason = "the member is out of reach";
        attempt(routed, std::move(done));
        return;
    }
    auto order = routed->order;
    order.atLeast = routed->need;
    order.objective -= getWayBack(carrier);
    if (order.kind == OrderKind::Single && routed->needsLeader && !order.statement.isWrite)
        order.kind = OrderKind::ProvenSingle;
    std::optional<TransactionHandle> transaction;
    bool isOwn = carrier == m_context.name;
    auto pool = isOwn ? m_context.getPool(*target) : nullptr;
    if (order.kind == OrderKind::Begin) {
        transaction = TransactionHandle { *target, isOwn ? "" : carrier, isOwn ? pool->takeTransactionNumber() : m_context.peers.takeTransactionNumber() };
        order.transaction = transaction->number;
    }
    auto onOutcome = [this, routed, target = *target, carrier, transaction, done](const Outcome& outcome) {
        if (outcome.error && m_context.peers.lacksMember(carrier, target.member))
            std::erase(routed->tried, target.member); // the member was not asked: another host can carry to it at once
        takeOutcome(routed, target, transaction, outcome, done);
    };
    if (isOwn)
        pool->submit(std::move(order), onOutcome);
    else
        m_context.peers.sendOrder(carrier, *target, order, onOutcome);
}

void StatementRouter::noteBehind(const TargetAddress& target, const Mark& position, TimePoint now)
{
    auto it = m_context.view.members.find(target.member);
    if (it == m_context.view.members.end())
        return;
    auto& progress = it->second.progress;
    if (position.term != 0)
        progress = decisions::applyPosition(progress, position, now);
    progress = decisions::applyRefusal(progress, now);
}

void StatementRouter::takeOutcome(const std::shared_ptr<RoutedStatement>& routed, const TargetAddress& target, const std::optional<TransactionHandle>& transaction, const Outcome& outcome, RoutedDone done)
{
    if (!outcome.error) {
        finish(*routed, outcome, transaction, done, target);
        return;
    }
    auto now = Clock::now();
    auto kind = outcome.error->kind;
    routed->wasSent = routed->wasSent || outcome.wasSent;
    routed->lastReason = outcome.error->message;
    routed->wasTurnedAway = kind == ErrorKind::Overloaded && outcome.wasSent;
    bool isQueueFull = kind == ErrorKind::Overloaded && !outcome.wasSent;
    routed->wasOverloaded = routed->wasOverloaded || isQueueFull || (routed->wasTurnedAway && routed->attempts >= decisions::kMaxBusyAttempts);
    if (kind == ErrorKind::NotPrimary)
        denyPrimary(m_context.view.groups[target.group], target.member, now);
    if (kind == ErrorKind::TooStale)
        noteBehind(target, outcome.position, now);
    if (transaction)
        end(*transaction);
    auto& statement = routed->order.statement;
    // A single write that may have arrived is never sent again. All else leaves nothing behind until its commit.
    bool mayRepeat = decisions::canTryOtherTarget(kind) || (kind == ErrorKind::OutcomeUnknown && (!statement.isWrite || routed->order.kind == OrderKind::Begin));
    bool hasTime = now + kRetryPause < routed->order.deadline;
    if (!mayRepeat || !hasTime) {
        finish(*routed, outcome, std::nullopt, done, target);
        return;
    }
    attempt(routed, std::move(done));
}

void StatementRouter::runNext(const TransactionHandle& transaction, RoutedStatement routed, RoutedDone done)
{
    routed.order.kind = OrderKind::Continue;
    routed.order.transaction = transaction.number;
    routed.attempts = 1;
    auto shared = std::make_shared<RoutedStatement>(std::move(routed));
    auto onOutcome = [this, shared, transaction, done](const Outcome& outcome) { finish(*shared, outcome, transaction, done, transaction.target); };
    if (transaction.host.empty())
        m_context.getPool(transaction.target)->submit(shared->order, onOutcome);
    else
        m_context.peers.sendOrder(transaction.host, transaction.target, shared->order, onOutcome);
}

void StatementRouter::end(const TransactionHandle& transaction)
{
    if (transaction.host.empty())
        m_context.getPool(transaction.target)->endTransaction(transaction.number);
    else
        m_context.peers.endTransaction(transaction.host, transaction.number);
}

static std::string_view getName(OrderKind kind)
{
    static constexpr std::array<std::string_view, 4> names { "single", "proven", "begin", "continue" };
    return names[static_cast<size_t>(kind)];
}

void StatementRouter::finish(const RoutedStatement& routed, const Outcome& outcome, const std::optional<TransactionHandle>& transaction, const RoutedDone& done, const TargetAddress& target)
{
    std::chrono::duration<double, std::milli> took = Clock::now() - routed.arrivedAt;
    std::string_view kind = routed.order.statement.kind == StatementKind::Commit ? "commit" : routed.order.statement.isWrite ? "write"
                                                                                                                             : "read";
    base::incrementCounter(base::MetricFamily::Statements, { { "database", routed.route.database }, { "kind", kind }, { "outcome", outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "served" } });
    base::observeHistogram(base::MetricFamily::StatementSeconds, { { "database", routed.route.database }, { "kind", kind } }, took.count() / 1000);
    bool isLate = Clock::now() > routed.order.objective;
    auto logClass = outcome.error || isLate ? LogClass::Failure : LogClass::Request;
    if (base::hasLogBudget(logClass)) {
        auto group = m_context.view.groups.find(routed.route.group);
        std::string_view leader = group == m_context.view.groups.end() ? std::string_view() : std::string_view(group->second.primary.member);
        auto need = std::to_string(routed.need.term) + "." + std::to_string(routed.need.position);
        auto member = m_context.view.members.find(target.member);
        bool isLeaving = member != m_context.view.members.end() && member->second.leavingSince;
        int64_t leavingMs = isLeaving ? std::chrono::duration_cast<milliseconds>(Clock::now() - *member->second.leavingSince).count() : -1;
        std::string_view result = outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "served";
        base::logEvent(logClass, "request",
            { { "request", std::string_view(routed.order.statement.id) }, { "session", std::string_view(routed.session) }, { "database", std::string_view(routed.route.database) },
                { "group", std::string_view(routed.route.group) }, { "account", std::string_view(routed.order.account) }, { "kind", getName(routed.order.kind) }, { "target", std::string_view(target.member) }, { "target_leaving_ms", leavingMs },
                { "carrier", transaction ? std::string_view(transaction->host) : std::string_view() }, { "leader", leader }, { "need", std::string_view(need) },
                { "configuration", static_cast<int64_t>(m_context.view.configuration.version) }, { "attempts", static_cast<int64_t>(routed.attempts) },
                { "outcome", result }, { "reason", outcome.error ? std::string_view(outcome.error->message) : std::string_view() }, { "sent", outcome.wasSent }, { "ms", took.count() } });
    }
    if (routed.isCounted && outcome.error && !outcome.wasSent && !routed.wasSent)
        m_context.quotas.giveBack(routed.order.account);
    done(outcome, transaction);
}

void StatementRouter::sweep(TimePoint now)
{
    std::vector<Waiting> due;
    std::erase_if(m_waiting, [&](Waiting& it) {
        bool isDue = now >= it.notBefore;
        if (isDue)
            due.push_back(std::move(it));
        return isDue;
    });
    for (auto& it : due)
        attempt(it.routed, std::move(it.done));
}

}
