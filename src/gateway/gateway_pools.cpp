// The connection pools of a host: their creation and limits, what they report, and their periodic work.
#include "base/event_log.h"
#include "base/tasks.h"
#include "gateway/gateway.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;

static constexpr milliseconds kProofInterval { 250 }; // the maximum age of a group's newest floor while no statement renews it
static constexpr milliseconds kPositionInterval { 100 }; // between position queries to a replica that is far behind
static constexpr milliseconds kUnreachableCooldown { 500 }; // statements avoid this host's connections to a member for this long after a failure
static constexpr milliseconds kUnlistedRetention { 4000 }; // must exceed the time in which expired entries are written again
static constexpr milliseconds kForwardingUpdateInterval { 500 }; // walking all members in each sweep took a fifth of an idle host's processor time at 295 hosts and 60 members
static constexpr milliseconds kUnlistedSweepInterval { 500 };
static constexpr milliseconds kPrimaryClaimCheckInterval { 500 }; // between status queries to a member that claims to be primary while none is known
static constexpr unsigned kReservedConnections = 2; // of a member's limit, for status queries and hosts that have just started

std::shared_ptr<TargetPool> Gateway::getPool(const TargetAddress& target)
{
    auto& pool = m_pools[target.member];
    if (!pool) {
        pool = std::make_shared<TargetPool>(m_context.get_executor(), m_platform->getCodec(), target, m_settings.name, makePoolObserver());
        pool->setLimits(getPoolLimits(target));
        auto member = m_view.members.find(target.member);
        pool->setAcceptsNewOperations(member != m_view.members.end() && acceptsNewOperations(member->second, getDrainTime(), Clock::now()));
        pool->setLogComparison(ensureComparison(target));
        if (auto held = m_writesHeldUntil.find(target.member); held != m_writesHeldUntil.end())
            pool->holdWrites(held->second);
    }
    return pool;
}

// Half of the configured limit, because two hosts may forward to one member while they disagree on which of them should.
PoolLimits Gateway::getPoolLimits(const TargetAddress& target) const
{
    auto group = m_view.configuration.groups.find(target.group);
    auto configuredLimit = group == m_view.configuration.groups.end() ? 0U : group->second.connectionsPerMember;
    auto member = m_view.members.find(target.member);
    auto slots = member == m_view.members.end() ? 1U : std::max(1U, member->second.registration.slots);
    return { std::max(2U, (configuredLimit - std::min(configuredLimit, kReservedConnections)) / 2), slots + 1, m_view.configuration.accounts.has_value() };
}

boost::asio::awaitable<void> Gateway::querySuccessor(TargetAddress target, std::function<void(const StatusReport&)> done)
{
    links::StatusQuery plainQuery;
    auto report = co_await m_promoter.queryStatusFromAnyHost(target, plainQuery);
    done(report);
}

CommitGateContext Gateway::makeCommitGateContext()
{
    auto getSuccessors = [this](const std::string& group) { return m_promoter.getPossibleSuccessors(group); };
    auto queryStatus = [this](const TargetAddress& target, std::function<void(const StatusReport&)> done) {
        base::spawnTask(m_context, "query-successor", querySuccessor(target, std::move(done)));
    };
    return { m_context, m_view, m_platform->getCodec(), m_settings.name, getSuccessors, queryStatus };
}

PoolObserver Gateway::makePoolObserver()
{
    PoolObserver observer;
    observer.getKnownMark = [this](const TargetAddress& target) { return getNewestKnownMark(m_view.groups[target.group]); };
    observer.onLostLog = [this](const TargetAddress& target, const Mark& position) {
        base::logEvent(LogClass::State, "primary-lost-log", { { "group", std::string_view(target.group) }, { "member", std::string_view(target.member) }, { "term", static_cast<int64_t>(position.term) }, { "position", static_cast<int64_t>(position.position) } });
        setKnownPrimary(target.group, decisions::applyPrimaryDenial(m_view.groups[target.group].primary, target.member), "denied");
    };
    observer.isKnownPrimary = [this](const TargetAddress& target) { return m_view.groups[target.group].primary.member == target.member; };
    observer.onPrimaryProven = [this](const TargetAddress& target, const Mark& position, TimePoint sentAt) {
        handlePrimaryProof(target.group, target.member, position.term, sentAt, ProofRecipient::ThisHost);
        if (m_view.groups[target.group].primary.member == target.member) {
            recordFloor(target.group, { position, sentAt });
            m_view.groups[target.group].lastProofAt = Clock::now();
            m_promoter.onPrimaryConfirmed(target.group, Clock::now());
        }
    };
    observer.onReplicaReported = [this](const TargetAddress& target) {
        auto& group = m_view.groups[target.group];
        auto before = group.primary;
        denyPrimary(group, target.member, Clock::now());
        notifyPrimaryChange(target.group, before, "denied");
    };
    observer.onPosition = [this](const TargetAddress& target, const Mark& position) {
        auto it = m_view.members.find(target.member);
        if (it == m_view.members.end())
            return;
        it->second.progress = decisions::applyPosition(it->second.progress, position, Clock::now());
    };
    observer.onAnswer = [this](const TargetAddress& target) {
        auto it = m_view.members.find(target.member);
        if (it == m_view.members.end())
            return;
        it->second.lastAnswerAt = Clock::now();
        it->second.lastFailureAt = {};
    };
    observer.onConnectionFailure = [this](const TargetAddress& target, const std::string& reason) {
        auto it = m_view.members.find(target.member);
        if (it == m_view.members.end())
            return;
        it->second.lastFailureAt = Clock::now();
        base::logEvent(LogClass::State, "target-trouble", { { "member", std::string_view(target.member) }, { "group", std::string_view(target.group) }, { "reason", std::string_view(reason) } });
        if (m_view.groups[target.group].primary.member == target.member)
            raiseAlarm(target.group, reason);
    };
    observer.confirmCommit = [this](const AcknowledgedCommit& commit, TimePoint deadline, std::function<void(bool)> done) { m_commitGate.confirm(commit, deadline, std::move(done)); };
    observer.getKnownTerm = [this](const TargetAddress& target) { return m_commitGate.getKnownTerm(target); };
    observer.getAccountWeight = [this](const std::string& account) {
        auto& accounts = m_view.configuration.accounts;
        return accounts ? decisions::getAccountWeight(*accounts, account) : 1;
    };
    observer.onConnectionRefused = [](const TargetAddress& target, size_t open, const std::string& reason) {
        base::logEvent(LogClass::State, "connection-refused", { { "member", std::string_view(target.member) }, { "group", std::string_view(target.group) }, { "open", static_cast<int64_t>(open) }, { "reason", std::string_view(reason) } });
    };
    return observer;
}

void Gateway::holdWrites(const std::string& member, milliseconds time)
{
    auto now = Clock::now();
    std::erase_if(m_writesHeldUntil, [&](const auto& it) { return it.second < now; });
    auto until = time.count() == 0 ? now : std::max(m_writesHeldUntil[member], now + time);
    m_writesHeldUntil[member] = until;
    if (auto it = m_pools.find(member); it != m_pools.end())
        it->second->holdWrites(until);
}

bool Gateway::isUnreachable(const TargetAddress& target) const
{
    auto it = m_view.members.find(target.member);
    return it != m_view.members.end() && it->second.lastFailureAt != TimePoint {} && Clock::now() - it->second.lastFailureAt < kUnreachableCooldown;
}

void Gateway::sweepUnlistedMembers(TimePoint now)
{
    if (now - m_unlistedSweptAt < kUnlistedSweepInterval)
        return;
    m_unlistedSweptAt = now;
    for (auto& id : removeUnlistedMembers(m_view, kUnlistedRetention, now)) {
        auto it = m_pools.find(id);
        if (it == m_pools.end())
            continue;
        it->second->shutDown("the member is no longer listed");
        m_pools.erase(it);
    }
}

void Gateway::sweepPools(TimePoint now)
{
    sweepUnlistedMembers(now);
    bool isUpdateDue = m_view.isForwardingUpdateDue || m_forwardingHostsVersion != m_peers.getVersion() || now - m_forwardingUpdatedAt >= kForwardingUpdateInterval;
    if (isUpdateDue)
        updateForwarding(now);
    for (auto& [id, pool] : m_pools) {
        auto member = m_view.members.find(id);
        bool isKnown = member != m_view.members.end();
        pool->setAcceptsNewOperations(isKnown && acceptsNewOperations(member->second, getDrainTime(), now));
        bool isBehind = isKnown && (mustReportPosition(member->second) || isFarBehind(m_view.groups[member->second.registration.group], member->second, now));
        pool->setPositionInterval(isBehind && pool->isForwarder() ? kPositionInterval : milliseconds(0));
        pool->sweep(now);
    }
}

// Determines the members that this host forwards to. Runs on changes of hosts, members or roles and else at kForwardingUpdateInterval, because
// the cost grows with the number of hosts and members.
void Gateway::updateForwarding(TimePoint now)
{
    m_view.isForwardingUpdateDue = false;
    m_forwardingHostsVersion = m_peers.getVersion();
    m_forwardingUpdatedAt = now;
    auto localHost = getLocalHost();
    for (auto& [id, member] : m_view.members) {
        // Repeated until a primary is known: after a lost or premature answer this host's callers would stay without a primary.
        if (m_view.groups[member.registration.group].primary.member.empty() && now - member.primaryQueriedAt >= kPrimaryClaimCheckInterval)
            verifyPrimaryClaim(member);
        bool isPrimary = m_view.groups[member.registration.group].primary.member == id;
        if ((isPrimary || mustReportPosition(member)) && isForwarder(m_view, m_peers, localHost, member))
            getPool(member.getTarget());
    }
    for (auto& [id, pool] : m_pools) {
        auto member = m_view.members.find(id);
        bool isKnown = member != m_view.members.end();
        bool isPrimary = isKnown && m_view.groups[member->second.registration.group].primary.member == id;
        pool->setLimits(getPoolLimits(pool->getTarget())); // configuration and members may have changed since the pool was created
        pool->setLogComparison(ensureComparison(pool->getTarget()));
        bool isForwarding = isKnown && isForwarder(m_view, m_peers, localHost, member->second);
        pool->setForwarder(isForwarding);
        pool->setProofInterval(isPrimary && isForwarding ? kProofInterval : milliseconds(0));
    }
}

}
