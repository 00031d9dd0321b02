#include "gateway/runner.h"
#include "base/event_log.h"
#include "base/families.h"
#include "decisions/turns.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kRetryPause { 15 }; // before members that all said no are asked again
static constexpr milliseconds kCallerWay { 2 }; // between caller and host, there and back, on the sites that were seen
static constexpr double kOwnDistanceGuessMs = 10; // to a member in another data centre from here: some ms each way on the sites that were seen

void Runner::run(Run run, RunDone done)
{
    auto shared = std::make_shared<Run>(std::move(run));
    attempt(shared, std::move(done));
}

// Whether the host is up and has not said lately that it cannot reach the member.
bool Runner::mayCarry(const std::string& host, const MemberBelief& member) const
{
    if (host == m_context.name)
        return !m_context.isTroubled(member.getTarget());
    if (!m_context.peers.isUsable(host))
        return false;
    auto load = m_context.peers.getLoad(host, member.listed.id);
    return !load || !load->unreachable();
}

std::string Runner::chooseCarrier(const MemberBelief& member) const
{
    auto& ranked = getCarriers(m_context.world, member);
    auto first = std::ranges::find_if(ranked, [&](const std::string& host) { return mayCarry(host, member); });
    return first == ranked.end() ? m_context.name : *first;
}

decisions::Candidate Runner::makeCandidate(const Run& run, const MemberBelief& member, const std::string& leader) const
{
    auto now = Clock::now();
    decisions::Candidate candidate;
    candidate.isUsable = !member.listed.isLeaving && !member.unlistedAt;
    candidate.isLeader = member.listed.id == leader;
    candidate.wasTried = std::ranges::find(run.tried, member.listed.id) != run.tried.end();
    candidate.position = decisions::estimatePosition(member.progress, now);
    candidate.positionAge = std::chrono::duration_cast<milliseconds>(now - std::max(member.progress.at, member.progress.behindAt));
    candidate.wasBehind = member.progress.behindAt != TimePoint {};
    candidate.isFarBehind = isFarBehind(m_context.world.groups.at(member.listed.group), member, now);
    candidate.slots = std::max(1U, member.listed.slots);
    auto carrier = chooseCarrier(member);
    if (carrier == m_context.name) {
        auto load = m_context.getPool(member.getTarget())->getLoad();
        candidate.queued = load.waiting + load.running;
        candidate.workMs = load.workMs;
        candidate.distanceMs = member.listed.dataCentre == m_context.dataCentre ? 0 : kOwnDistanceGuessMs;
    } else {
        candidate.distanceMs = m_context.peers.getDistanceMs(carrier);
        if (auto load = m_context.peers.getLoad(carrier, member.listed.id)) {
            candidate.queued = load->waiting() + load->running();
            candidate.workMs = load->work_ms();
        }
    }
    return candidate;
}

std::optional<TargetAddress> Runner::chooseMember(const Run& run) const
{
    auto group = m_context.world.groups.find(run.route.group);
    if (group == m_context.world.groups.end())
        return std::nullopt;
    auto& leader = group->second.lead.member;
    if (run.needsLeader) {
        auto it = m_context.world.members.find(leader);
        bool wasTried = std::ranges::find(run.tried, leader) != run.tried.end();
        if (it == m_context.world.members.end() || wasTried)
            return std::nullopt;
        return it->second.getTarget();
    }
    std::vector<decisions::Candidate> candidates;
    for (auto& id : group->second.members)
        candidates.push_back(makeCandidate(run, m_context.world.members.at(id), leader));
    auto best = decisions::chooseReader(candidates, run.need);
    if (!best)
        return std::nullopt;
    return m_context.world.members.at(group->second.members[*best]).getTarget();
}

// What an answer still has to travel once the carrier has it.
TimePoint::duration Runner::getWayBack(const std::string& carrier) const
{
    auto toHereMs = carrier == m_context.name ? 0 : m_context.peers.getDistanceMs(carrier) / 2;
    return kCallerWay + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(toHereMs));
}

void Runner::giveUp(const std::shared_ptr<Run>& run, RunDone done, ErrorKind kind)
{
    boost::asio::post(m_context.context, [this, run, done = std::move(done), kind] {
        finish(*run, decisions::makeFailure(kind, run->lastReason.empty() ? "no member can serve this now" : run->lastReason), std::nullopt, done, {});
    });
}

// No member is left to ask. A primary may come back or be replaced while there is time; on a host that is cut off the caller is told at
// once, as others may reach the primary. Where two of nine hosts were cut off for 7 s, 262 of their statements waited 800 ms in vain.
void Runner::waitOrGiveUp(const std::shared_ptr<Run>& run, RunDone done)
{
    auto now = Clock::now();
    if (run->wasOverloaded) {
        giveUp(run, std::move(done), ErrorKind::Overloaded);
        return;
    }
    if (now + kRetryPause >= run->order.deadline || m_context.isCutOff()) {
        giveUp(run, std::move(done), run->needsLeader ? ErrorKind::NoPrimary : ErrorKind::TooStale);
        return;
    }
    if (run->needsLeader && !run->wasTurnedAway)
        m_context.onNoLeader(run->route.group);
    run->tried.clear();
    m_waiting.push_back({ run, std::move(done), now + kRetryPause });
}

void Runner::attempt(const std::shared_ptr<Run>& run, RunDone done)
{
    auto target = chooseMember(*run);
    if (!target) {
        waitOrGiveUp(run, std::move(done));
        return;
    }
    ++run->attempts;
    run->tried.push_back(target->member);
    auto& member = m_context.world.members.at(target->member);
    auto carrier = chooseCarrier(member);
    if (!mayCarry(carrier, member) && m_context.isCutOff()) {
        run->lastReason = "the member is out of reach";
        attempt(run, std::move(done));
        return;
    }
    auto order = run->order;
    order.atLeast = run->need;
    order.objective -= getWayBack(carrier);
    if (order.kind == OrderKind::Single && run->needsLeader && !order.statement.isWrite)
        order.kind = OrderKind::ProvenSingle;
    std::optional<TransactionHandle> transaction;
    bool isOwn = carrier == m_context.name;
    auto pool = isOwn ? m_context.getPool(*target) : nullptr;
    if (order.kind == OrderKind::Begin) {
        transaction = TransactionHandle { *target, isOwn ? "" : carrier, isOwn ? pool->takeTransactionNumber() : m_context.peers.takeTransactionNumber() };
        order.transaction = transaction->number;
    }
    auto onOutcome = [this, run, target = *target, transaction, done](const Outcome& outcome) { takeOutcome(run, target, transaction, outcome, done); };
    if (isOwn)
        pool->submit(std::move(order), onOutcome);
    else
        m_context.peers.sendOrder(carrier, *target, order, onOutcome);
}

void Runner::noteBehind(const TargetAddress& target, const Mark& position, TimePoint now)
{
    auto it = m_context.world.members.find(target.member);
    if (it == m_context.world.members.end())
        return;
    auto& progress = it->second.progress;
    if (position.term != 0)
        progress = decisions::takePosition(progress, position, now);
    progress = decisions::takeRefusal(progress, now);
}

void Runner::takeOutcome(const std::shared_ptr<Run>& run, const TargetAddress& target, const std::optional<TransactionHandle>& transaction, const Outcome& outcome, RunDone done)
{
    if (!outcome.error) {
        finish(*run, outcome, transaction, done, target);
        return;
    }
    auto now = Clock::now();
    auto kind = outcome.error->kind;
    run->lastReason = outcome.error->message;
    run->wasTurnedAway = kind == ErrorKind::Overloaded && outcome.wasSent;
    bool isQueueFull = kind == ErrorKind::Overloaded && !outcome.wasSent;
    run->wasOverloaded = run->wasOverloaded || isQueueFull || (run->wasTurnedAway && run->attempts >= decisions::kBusyTries);
    if (kind == ErrorKind::NotPrimary)
        denyLead(m_context.world.groups[target.group], target.member, now);
    if (kind == ErrorKind::TooStale)
        noteBehind(target, outcome.position, now);
    if (transaction)
        end(*transaction);
    auto& statement = run->order.statement;
    // A single write that may have arrived is never sent again. All else leaves nothing behind until its commit.
    bool mayRepeat = decisions::isPassedOver(kind) || (kind == ErrorKind::OutcomeUnknown && (!statement.isWrite || run->order.kind == OrderKind::Begin));
    bool hasTime = now + kRetryPause < run->order.deadline;
    if (!mayRepeat || !hasTime) {
        finish(*run, outcome, std::nullopt, done, target);
        return;
    }
    attempt(run, std::move(done));
}

void Runner::runNext(const TransactionHandle& transaction, Run run, RunDone done)
{
    run.order.kind = OrderKind::Continue;
    run.order.transaction = transaction.number;
    run.attempts = 1;
    auto shared = std::make_shared<Run>(std::move(run));
    auto onOutcome = [this, shared, transaction, done](const Outcome& outcome) { finish(*shared, outcome, transaction, done, transaction.target); };
    if (transaction.host.empty())
        m_context.getPool(transaction.target)->submit(shared->order, onOutcome);
    else
        m_context.peers.sendOrder(transaction.host, transaction.target, shared->order, onOutcome);
}

void Runner::end(const TransactionHandle& transaction)
{
    if (transaction.host.empty())
        m_context.getPool(transaction.target)->endTransaction(transaction.number);
    else
        m_context.peers.endTransaction(transaction.host, transaction.number);
}

void Runner::finish(const Run& run, const Outcome& outcome, const std::optional<TransactionHandle>& transaction, const RunDone& done, const TargetAddress& target)
{
    std::chrono::duration<double, std::milli> took = Clock::now() - run.arrivedAt;
    std::string_view kind = run.order.statement.kind == StatementKind::Commit ? "commit" : run.order.statement.isWrite ? "write"
                                                                                                                       : "read";
    base::addTo(base::Family::Statements, { { "database", run.route.database }, { "kind", kind }, { "outcome", outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "served" } });
    base::observe(base::Family::StatementSeconds, { { "database", run.route.database }, { "kind", kind } }, took.count() / 1000);
    bool isLate = Clock::now() > run.order.objective;
    auto logClass = outcome.error || isLate ? LogClass::Failure : LogClass::Request;
    if (base::hasLogBudget(logClass)) {
        auto group = m_context.world.groups.find(run.route.group);
        std::string_view leader = group == m_context.world.groups.end() ? std::string_view() : std::string_view(group->second.lead.member);
        auto need = std::to_string(run.need.term) + "." + std::to_string(run.need.position);
        std::string_view result = outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "served";
        base::logEvent(logClass, "request",
            { { "request", std::string_view(run.order.statement.id) }, { "session", std::string_view(run.session) }, { "database", std::string_view(run.route.database) },
                { "group", std::string_view(run.route.group) }, { "kind", static_cast<int64_t>(run.order.kind) }, { "target", std::string_view(target.member) },
                { "carrier", transaction ? std::string_view(transaction->host) : std::string_view() }, { "leader", leader }, { "need", std::string_view(need) },
                { "configuration", static_cast<int64_t>(m_context.world.configuration.version) }, { "attempts", static_cast<int64_t>(run.attempts) },
                { "outcome", result }, { "reason", outcome.error ? std::string_view(outcome.error->message) : std::string_view() }, { "sent", outcome.wasSent }, { "ms", took.count() } });
    }
    done(outcome, transaction);
}

void Runner::sweep(TimePoint now)
{
    std::vector<Waiting> due;
    std::erase_if(m_waiting, [&](Waiting& it) {
        bool isDue = now >= it.notBefore;
        if (isDue)
            due.push_back(std::move(it));
        return isDue;
    });
    for (auto& it : due)
        attempt(it.run, std::move(it.done));
}

}
