#include "gateway/target_pool.h"
#include "base/families.h"
#include "base/metrics.h"
#include "base/random.h"
#include "decisions/limits.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kConnectLimit { 700 }; // a hello takes some tens of ms; a dark host never answers
static constexpr milliseconds kRefusedPause { 300 }; // after the target took no connection; other hosts may hold them
static constexpr milliseconds kBrokenPause { 100 }; // after a connection could not be had
static constexpr unsigned kReservedConnections = 2; // never held by transactions, so that single statements go on
static constexpr milliseconds kBusyPause { 15 }; // before a target that was busy is asked again: about one statement's time
static constexpr size_t kMaxPreparedStatements = 200; // shapes kept on one connection
static constexpr unsigned kOpeningMost = 2; // connections at a time; each takes a slot of the target for a while
static constexpr milliseconds kComeBackLeast { 300 }; // told to callers that were refused; less would bring them back into the same queue

TargetPool::TargetPool(boost::asio::any_io_executor executor, const links::StatementCodec& codec, TargetAddress target, std::string from, PoolObserver observer)
    : m_executor(std::move(executor))
    , m_codec(codec)
    , m_target(std::move(target))
    , m_from(std::move(from))
    , m_observer(std::move(observer))
{
}

PoolLoad TargetPool::getLoad() const
{
    return { static_cast<unsigned>(m_waiting.size()), countRunning(), m_queue.workMs };
}

void TargetPool::setLimits(const PoolLimits& limits)
{
    m_limits = limits;
    m_queue.concurrency = limits.running;
}

static bool isInTransaction(OrderKind kind)
{
    return kind == OrderKind::Begin || kind == OrderKind::Continue;
}

static decisions::SchedulingParameters getTurn(const Order& order)
{
    return { order.kind == OrderKind::Continue, order.priority, order.objective, order.deadline };
}

decisions::QueueEntry TargetPool::makeEntry(const Job& job)
{
    return { job.number, getTurn(job.order), { job.order.database, isInTransaction(job.order.kind) }, job.submittedAt };
}

void TargetPool::submit(Order order, OrderDone done)
{
    auto now = Clock::now();
    m_lastAccount = order.account;
    auto job = std::make_shared<Job>(Job { std::move(order), std::make_shared<OrderDone>(std::move(done)), now });
    if (m_isSuspect && m_sessions.empty()) { // the next attempt takes as long as the last: nobody waits for it
        if (m_opening == 0 && now >= m_noNewBefore)
            openSession(job->order.account);
        finish(job, decisions::makeFailure(ErrorKind::TargetUnreachable, "no connection to the target could be opened"));
        return;
    }
    job->number = ++m_lastNumber;
    m_waiting[job->number] = job;
    refuse(decisions::admit(m_queue, makeEntry(*job), now), "");
    if (!m_isDispatching) {
        m_isDispatching = true;
        boost::asio::post(m_executor, [self = shared_from_this()] {
            self->m_isDispatching = false;
            self->dispatch();
        });
    }
}

// Past admission: it was admitted before.
void TargetPool::enqueue(const JobPtr& job)
{
    job->number = ++m_lastNumber;
    m_waiting[job->number] = job;
    m_queue.entries.push_back(makeEntry(*job));
}

// Ends jobs that the queue has given up, all of them unsent.
void TargetPool::refuse(const std::vector<decisions::QueueEntry>& entries, const std::string& reason)
{
    for (auto& it : entries) {
        auto job = m_waiting.at(it.number);
        m_waiting.erase(it.number);
        auto wait = milliseconds(static_cast<int64_t>(decisions::getTotalWaitMs(m_queue)));
        auto comeBack = decisions::jitterRetryAfter(std::max(wait, kComeBackLeast), base::getRandom());
        finish(job, decisions::makeFailure(ErrorKind::Overloaded, reason.empty() ? fmt::format("{} statements wait before it, {:.0f} ms each{}; come back in {} ms", m_waiting.size(), m_queue.workMs, m_queue.overload.isSustained ? ", for long" : "", comeBack.count()) : reason));
    }
}

// A planned change of primary is under way.
bool TargetPool::isHeld(const Job& job, TimePoint now) const
{
    auto& order = job.order;
    bool mayWrite = order.statement.isWrite || (order.kind == OrderKind::Begin && !order.isReadOnly) || order.statement.kind == StatementKind::Commit;
    return mayWrite && now < m_holdUntil;
}

static bool needsLeader(const Order& order)
{
    bool isWrite = order.kind == OrderKind::Single && order.statement.isWrite;
    return isWrite || order.kind == OrderKind::ProvenSingle || (order.kind == OrderKind::Begin && !order.isReadOnly);
}

// Whether it could run if it had a connection.
bool TargetPool::mayRun(const Job& job, TimePoint now) const
{
    auto& order = job.order;
    if (now < job.notBefore || isHeld(job, now) || (m_comparison != Comparison::NotNeeded && needsLeader(order)))
        return false;
    auto held = m_transactions.size();
    return order.kind != OrderKind::Begin || held + std::min(kReservedConnections, m_limits.connections - 1) < m_limits.connections;
}

bool TargetPool::isRunnable(const Job& job, TimePoint now) const
{
    if (!mayRun(job, now))
        return false;
    if (job.order.kind != OrderKind::Continue)
        return hasFree(job.order.account);
    auto it = m_transactions.find(job.order.transaction);
    return it == m_transactions.end() || !it->second.session->isBusy;
}

bool TargetPool::hasFree(const std::string& account) const
{
    return std::ranges::any_of(m_sessions, [&](const SessionPtr& it) { return it->isFree() && it->account == account; });
}

unsigned TargetPool::countFree() const
{
    return static_cast<unsigned>(std::ranges::count_if(m_sessions, [](const SessionPtr& it) { return it->isFree(); }));
}

TargetPool::JobPtr TargetPool::popNext(TimePoint now)
{
    auto next = decisions::popNextRunnable(m_queue, now, [&](const decisions::QueueEntry& it) { return isRunnable(*m_waiting.at(it.number), now); });
    if (!next)
        return nullptr;
    auto job = m_waiting.at(next->number);
    m_waiting.erase(next->number);
    return job;
}

// Ends jobs that wait here, all of them unsent. A repetition leaves the answer to the job that it repeats.
void TargetPool::giveBack(const std::function<bool(const Job&)>& mustGo, const decisions::Error& error)
{
    std::vector<JobPtr> given;
    std::erase_if(m_queue.entries, [&](const decisions::QueueEntry& it) {
        auto job = m_waiting.at(it.number);
        if (!mustGo(*job))
            return false;
        given.push_back(job);
        m_waiting.erase(it.number);
        return true;
    });
    for (auto& job : given) {
        if (!job->isRepetition)
            finish(job, decisions::makeFailure(error.kind, error.message));
    }
}

void TargetPool::dispatch()
{
    auto now = Clock::now();
    // The time of a target that leaves can end while operations wait for their turn: looked at where they are sent, not only where they are routed.
    if (!m_takesNew)
        giveBack([](const Job& it) { return it.order.kind != OrderKind::Continue; }, { ErrorKind::TargetUnreachable, "the member leaves and takes no new operations" });
    // Nobody knows when the replicas will answer: callers are told at once, they may reach a host that knows more.
    if (m_comparison == Comparison::LacksAnswers)
        giveBack([](const Job& it) { return needsLeader(it.order); }, { ErrorKind::NoPrimary, "the member may have lost its log, and its replicas do not answer" });
    std::erase_if(m_queue.entries, [&](const decisions::QueueEntry& it) {
        bool isDone = m_waiting.at(it.number)->isDone(); // repeated, and the first one was answered after all
        if (isDone)
            m_waiting.erase(it.number);
        return isDone;
    });
    if (now < m_holdUntil)
        decisions::noteQueueHeld(m_queue, now);
    while (!m_waiting.empty() && countRunning() < m_limits.running) {
        auto job = popNext(now);
        if (!job)
            break;
        if (!decisions::isWorthSending(getTurn(job->order), now, m_queue.workMs) && job->order.statement.kind != StatementKind::Commit) {
            finish(job, decisions::makeFailure(ErrorKind::Overloaded, "its turn came too late to be answered in time"));
            continue;
        }
        auto session = findSession(*job);
        if (session)
            start(job, session);
        else // its transaction lost its connection while it waited
            finish(job, decisions::makeFailure(ErrorKind::TransactionAborted, "the connection of the transaction was lost"));
    }
    openSessions(now);
}

size_t TargetPool::countWaitingForConnection() const
{
    return static_cast<size_t>(std::ranges::count_if(m_queue.entries, [](const decisions::QueueEntry& it) { return !it.scheduling.isContinuation; }));
}

// As many connections as statements wait for, within the limits.
void TargetPool::openSessions(TimePoint now)
{
    if (m_comparison != Comparison::NotNeeded) // the first position that a connection tells is compared with what is known then
        return;
    if (m_limits.isByAccount) {
        openByAccount(now);
        return;
    }
    auto needed = countWaitingForConnection();
    auto wanted = std::min<size_t>(needed, m_limits.running) + m_transactions.size() + m_running.size();
    auto most = std::min<size_t>(wanted, m_limits.connections);
    while (countFree() + m_opening < needed && m_sessions.size() + m_opening < most && m_opening < kOpeningMost && now >= m_noNewBefore)
        openSession({});
}

void TargetPool::openByAccount(TimePoint now)
{
    // A connection on its way holds a slot of the target: half of them are left to statements.
    auto openingMost = std::max(1U, (m_limits.running - 1) / 2);
    while (m_opening < openingMost && now >= m_noNewBefore) {
        auto step = decisions::planOpening(getHeld(), getDemands(now), { m_limits.connections, m_opening, openingMost }, now);
        if (!step)
            return;
        if (step->evicted)
            giveUp(m_sessions[*step->evicted]);
        openSession(step->account);
    }
}

// Nothing runs on it.
void TargetPool::giveUp(const SessionPtr& session)
{
    base::incrementCounter(base::MetricFamily::ConnectionsClosed, { { "member", m_target.member } });
    base::incrementCounter(base::MetricFamily::ConnectionsGivenUp, { { "member", m_target.member } });
    session->close();
    std::erase(m_sessions, SessionPtr(session));
}

std::vector<decisions::PooledConnection> TargetPool::getHeld() const
{
    std::vector<decisions::PooledConnection> held;
    for (auto& it : m_sessions) {
        held.push_back({ it->account, it->isFree(), it->isBusy && it->transaction == 0, it->served > 0, it->usedAt });
    }
    return held;
}

// What waits for a connection, the most urgent first.
std::vector<decisions::AccountDemand> TargetPool::getDemands(TimePoint now) const
{
    auto entries = m_queue.entries;
    std::erase_if(entries, [&](const decisions::QueueEntry& it) { return it.scheduling.isContinuation || !mayRun(*m_waiting.at(it.number), now); });
    std::ranges::sort(entries, [&](const decisions::QueueEntry& a, const decisions::QueueEntry& b) { return decisions::isScheduledBefore(m_queue, a, b, now); });
    std::vector<decisions::AccountDemand> demands;
    for (auto& it : entries) {
        std::string_view account = m_waiting.at(it.number)->order.account;
        auto known = std::ranges::find(demands, account, &decisions::AccountDemand::account);
        if (known != demands.end()) {
            ++known->waiting;
            continue;
        }
        auto opening = m_openingFor.find(std::string(account));
        demands.push_back({ account, 1, opening == m_openingFor.end() ? 0 : opening->second });
    }
    return demands;
}

// The free connection that needs the least before it can serve the session.
TargetPool::SessionPtr TargetPool::findSession(const Job& job) const
{
    if (job.order.kind == OrderKind::Continue) {
        auto it = m_transactions.find(job.order.transaction);
        return it == m_transactions.end() ? nullptr : it->second.session;
    }
    SessionPtr best;
    size_t bestCost = 0;
    for (auto& it : m_sessions) {
        if (!it->isFree() || it->account != job.order.account)
            continue;
        auto cost = decisions::planConnection(it->state, job.order.values, job.order.shape).getCost();
        if (!best || cost < bestCost) {
            best = it;
            bestCost = cost;
        }
    }
    return best;
}

void TargetPool::openSession(const std::string& account)
{
    ++m_opening;
    ++m_openingFor[account];
    auto session = std::make_shared<TargetSession>(m_executor, m_codec);
    session->account = account;
    auto self = shared_from_this();
    std::weak_ptr<TargetSession> weak = session;
    auto onOpen = [self, session, known = m_observer.getKnown(m_target)](const Outcome& outcome) { self->takeOpened(session, outcome, known); };
    auto onClosed = [self, weak](const std::string& reason) {
        if (auto session = weak.lock())
            self->dropSession(session, reason);
    };
    session->open(m_target, account.empty() ? m_from : account, kConnectLimit, onOpen, onClosed);
}

void TargetPool::takeOpened(const SessionPtr& session, const Outcome& outcome, const Mark& known)
{
    --m_opening;
    if (--m_openingFor[session->account] == 0)
        m_openingFor.erase(session->account);
    base::incrementCounter(base::MetricFamily::ConnectionsOpened, { { "member", m_target.member }, { "result", outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "opened" } });
    m_isSuspect = outcome.error.has_value();
    if (outcome.error) {
        bool isRefused = outcome.error->kind == ErrorKind::TooManyConnections;
        m_noNewBefore = Clock::now() + (isRefused ? kRefusedPause : kBrokenPause);
        if (isRefused)
            m_observer.onRefused(m_target, m_sessions.size(), outcome.error->message);
        else
            m_observer.onTrouble(m_target, outcome.error->message);
        // Without any connection nobody can be served: say so at once, they may try elsewhere.
        if (m_sessions.empty())
            failWaiting(*outcome.error);
        return;
    }
    m_observer.onAnswer(m_target);
    // A single write would run on an empty log without a word: the first position that is heard is looked at before anything is sent.
    if (m_observer.leads(m_target) && decisions::hasLostLog(known, outcome.position)) {
        m_observer.onLostLog(m_target, outcome.position);
        session->close();
        failWaiting({ ErrorKind::NotPrimary, "the member has lost what it held" });
        return;
    }
    session->usedAt = Clock::now();
    m_sessions.push_back(session);
    dispatch();
}

void TargetPool::start(const JobPtr& job, const SessionPtr& session)
{
    job->startedAt = Clock::now();
    base::observeHistogram(base::MetricFamily::QueueSeconds, { { "member", m_target.member } }, std::chrono::duration<double>(job->startedAt - job->submittedAt).count());
    bool isOwn = job->order.kind == OrderKind::Continue;
    base::checkInvariant(!session->isBusy && (session->transaction != 0) == isOwn, "a connection was given away that somebody else holds", m_target.member);
    session->isBusy = true;
    m_running.emplace_back(job, session);
    prepareSession(*job, session);
    if (job->order.kind == OrderKind::Begin || job->order.kind == OrderKind::ProvenSingle)
        begin(job, session);
    else
        runStatement(job, session);
}

// Sets what the session's statements rely on. Sent along with the statement: a target takes these in order and never refuses them,
// and if one failed all the same, the connection is not used again.
void TargetPool::prepareSession(const Job& job, const SessionPtr& session)
{
    auto& order = job.order;
    auto plan = decisions::planConnection(session->state, order.values, order.shape);
    if (session->state.prepared.size() > kMaxPreparedStatements)
        plan = decisions::planConnection({ { { "", "" } }, {} }, order.values, order.shape);
    auto self = shared_from_this();
    auto check = [self, session](const Outcome& outcome) {
        if (outcome.error)
            self->dropSession(session, "the session could not be set up: " + outcome.error->message);
    };
    if (plan.mustReset)
        session->ask(m_codec.formatReset(), check);
    for (const auto& [name, value] : plan.values)
        session->ask(m_codec.formatSetValue(name, value), check);
    if (plan.mustPrepare)
        session->ask(m_codec.formatPrepare(decisions::getPreparedName(*order.shape), *order.shape), check);
    session->state = decisions::applyPlan(std::move(session->state), plan, order.shape);
}

void TargetPool::begin(const JobPtr& job, const SessionPtr& session)
{
    auto sentAt = Clock::now();
    bool isReadOnly = job->order.kind == OrderKind::Begin && job->order.isReadOnly;
    if (job->order.kind == OrderKind::Begin) {
        session->transaction = job->order.transaction;
        m_transactions[job->order.transaction] = { session, { job->order.database, true } };
    }
    auto known = m_observer.getKnown(m_target);
    session->ask(m_codec.formatBegin(isReadOnly, job->order.atLeast), [self = shared_from_this(), job, session, sentAt, isReadOnly, known](const Outcome& outcome) {
        if (!outcome.error) {
            if (!isReadOnly && !self->takeProof(outcome.position, sentAt, known)) {
                self->closeTransaction(session);
                self->endJob(job, session, decisions::makeFailure(ErrorKind::NotPrimary, "the member has lost what it held"));
                return;
            }
            if (job->isDone()) // it ran out of time meanwhile; its connection is gone
                return;
            self->runStatement(job, session);
            return;
        }
        self->closeTransaction(session);
        auto refused = outcome;
        refused.wasSent = false; // only the BEGIN was
        if (refused.error->kind == ErrorKind::OutcomeUnknown)
            refused.error->kind = ErrorKind::TargetUnreachable;
        self->endJob(job, session, refused);
    });
}

void TargetPool::runStatement(const JobPtr& job, const SessionPtr& session)
{
    auto& order = job->order;
    base::checkInvariant(session->transaction == order.transaction || order.kind == OrderKind::Single || order.kind == OrderKind::ProvenSingle, "a statement was about to run in another transaction than its own", m_target.member);
    base::checkInvariant(session->state.values == order.values, "a statement was about to run with values that are not its session's", m_target.member);
    auto atLeast = order.kind == OrderKind::Single ? order.atLeast : Mark {};
    auto bytes = m_codec.formatStatement(order.statement, atLeast, order.shape ? decisions::getPreparedName(*order.shape) : "");
    auto sentAt = Clock::now();
    auto known = m_observer.getKnown(m_target);
    session->ask(bytes, [self = shared_from_this(), job, session, sentAt, known](const Outcome& outcome) {
        auto& order = job->order;
        bool isCommit = order.statement.kind == StatementKind::Commit;
        if (!outcome.error)
            self->takeWorkTime(*job);
        // A write and its commit succeed at a target that leads only.
        if (!outcome.error && order.kind == OrderKind::Single && order.statement.isWrite)
            self->takeProof(outcome.position, sentAt, known);
        if (isCommit && !self->mayAskAgain(*job, session, outcome))
            self->closeTransaction(session);
        self->endJob(job, session, outcome);
    });
    if (order.kind == OrderKind::ProvenSingle)
        rollBack(session);
}

// The connection is free once the target has said that the transaction is over.
void TargetPool::rollBack(const SessionPtr& session)
{
    session->ask(m_codec.formatRollback(), [self = shared_from_this(), session](const Outcome&) {
        self->freeSession(session);
        self->dispatch();
    });
}

// What a statement took, and with it the operation that it belongs to.
void TargetPool::takeWorkTime(const Job& job)
{
    std::chrono::duration<double, std::milli> took = Clock::now() - job.startedAt;
    m_queue.workMs = decisions::updateWorkTime(m_queue.workMs, took.count());
    if (!isInTransaction(job.order.kind))
        decisions::recordOperationCost(m_queue.costs, { job.order.database, false }, took.count());
    else if (auto it = m_transactions.find(job.order.transaction); it != m_transactions.end())
        it->second.spentMs += took.count();
}

// The transaction holds its connection no longer, however it ended.
void TargetPool::closeTransaction(const SessionPtr& session)
{
    auto it = m_transactions.find(session->transaction);
    session->transaction = 0;
    if (it == m_transactions.end())
        return;
    if (it->second.spentMs > 0)
        decisions::recordOperationCost(m_queue.costs, it->second.kind, it->second.spentMs);
    m_transactions.erase(it);
}

// False: the target leads by its own word only.
bool TargetPool::takeProof(const Mark& position, TimePoint sentAt, const Mark& known)
{
    if (decisions::hasLostLog(known, position)) {
        m_observer.onLostLog(m_target, position);
        return false;
    }
    m_provedAt = std::max(m_provedAt, sentAt);
    m_observer.onLeads(m_target, position, sentAt);
    return true;
}

void TargetPool::endJob(const JobPtr& job, const SessionPtr& session, const Outcome& outcome)
{
    auto it = std::ranges::find(m_running, job, &std::pair<JobPtr, SessionPtr>::first);
    if (it != m_running.end())
        m_running.erase(it);
    if (session->isOpen()) {
        std::chrono::duration<double, std::milli> took = Clock::now() - job->startedAt;
        m_answeredAt = Clock::now();
        base::observeHistogram(base::MetricFamily::TargetSeconds, { { "member", m_target.member } }, took.count() / 1000);
        m_observer.onAnswer(m_target);
        if (outcome.position.term != 0)
            m_observer.onPosition(m_target, outcome.position);
        if (outcome.error && outcome.error->kind == ErrorKind::NotPrimary)
            m_observer.onFollows(m_target);
        session->usedAt = Clock::now();
        ++session->served;
        bool awaitsRollback = session->getPending() > 0;
        if (!awaitsRollback)
            freeSession(session);
    }
    if (mayAskAgain(*job, session, outcome)) {
        ++job->timesBusy;
        job->notBefore = Clock::now() + kBusyPause;
        job->isStalled = false;
        enqueue(job);
    } else
        finish(job, outcome);
    dispatch();
}

// A target that was busy has run nothing. Inside a transaction there is no other one to ask, and giving up would waste what it did so far.
bool TargetPool::mayAskAgain(const Job& job, const SessionPtr& session, const Outcome& outcome) const
{
    bool wasBusy = outcome.error && outcome.error->kind == ErrorKind::Overloaded && outcome.wasSent;
    bool isInTransaction = job.order.kind == OrderKind::Continue && session->isOpen() && session->getTargetState() == decisions::SessionState::InTransaction;
    return wasBusy && isInTransaction && !job.isDone() && job.timesBusy < decisions::kMaxBusyAttempts && Clock::now() + kBusyPause < job.order.deadline;
}

// Only a connection on which no transaction is open may serve another caller: a statement that a target failed to run, be it our
// own ROLLBACK, can leave one behind.
void TargetPool::freeSession(const SessionPtr& session)
{
    session->isBusy = false;
    if (session->isOpen() && session->transaction == 0 && session->getTargetState() != decisions::SessionState::Idle)
        dropSession(session, "a transaction was left open on it");
}

void TargetPool::finish(const JobPtr& job, Outcome outcome)
{
    if (job->isDone())
        return;
    auto done = std::move(*job->done);
    *job->done = nullptr;
    boost::asio::post(m_executor, [done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

void TargetPool::endTransaction(uint64_t transaction)
{
    auto it = m_transactions.find(transaction);
    if (it == m_transactions.end())
        return;
    auto session = it->second.session;
    closeTransaction(session);
    if (session->isBusy) { // a statement is at the target: only closing ends it
        dropSession(session, "its transaction was given up");
        return;
    }
    session->isBusy = true;
    rollBack(session);
}

void TargetPool::dropSession(const SessionPtr& session, const std::string& reason, bool isTrouble)
{
    auto it = std::ranges::find(m_sessions, session);
    if (it == m_sessions.end())
        return;
    m_sessions.erase(it);
    base::incrementCounter(base::MetricFamily::ConnectionsClosed, { { "member", m_target.member } });
    closeTransaction(session);
    bool wasAsked = session->getPending() > 0;
    auto askedAt = session->getAskedAt();
    // Its jobs end through their answers, or here if they had none yet.
    session->close();
    auto running = m_running;
    for (auto& [job, holder] : running) {
        if (holder == session)
            endJob(job, session, decisions::makeFailure(ErrorKind::OutcomeUnknown, reason, true));
    }
    // Others that have answered since show that the target lives. If there are any, one of them is asked at once.
    bool isAlive = std::ranges::any_of(m_sessions, [&](const SessionPtr& it) { return it->getHeardAt() > askedAt; });
    if (isTrouble && wasAsked && !isAlive)
        m_observer.onTrouble(m_target, reason);
    if (isTrouble && wasAsked)
        m_provedAt = {};
    dispatch();
}

void TargetPool::failWaiting(const decisions::Error& error)
{
    auto waiting = std::move(m_waiting);
    m_waiting.clear();
    m_queue.entries.clear();
    for (auto& [number, job] : waiting)
        finish(job, decisions::makeFailure(error.kind, error.message));
}

void TargetPool::shutDown(const std::string& reason)
{
    failWaiting({ ErrorKind::TargetUnreachable, reason });
    auto sessions = m_sessions;
    for (auto& it : sessions)
        dropSession(it, reason);
}

unsigned TargetPool::countRunning() const
{
    return static_cast<unsigned>(std::ranges::count_if(m_running, [](const auto& it) { return !it.first->isStalled; }));
}

}
