// Evidence gathered before a primary is replaced: which hosts reach it, and what its replicas hold.
#include "gateway/promoter_evidence.h"
#include "base/event_log.h"
#include "base/tasks.h"
#include <algorithm>
#include <set>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;

static constexpr milliseconds kWriteHoldTime { 1800 }; // the longest that a handover holds writes
static constexpr size_t kMaxWitnesses = 6; // besides this host; a primary that is cut off from two thirds of the hosts is declared dead once in twenty times
static constexpr milliseconds kStatusQueryTimeout { 1000 }; // guards against a frozen host: others end the query earlier themselves
static constexpr size_t kMaxReplicaWitnesses = 2; // from other data centres where possible; also asked about replicas

// A status query about one member, at one host.
struct PendingStatusQuery {
    explicit PendingStatusQuery(const asio::any_io_executor& executor)
        : latch(executor, 1)
    {
    }
    base::Latch latch;
    StatusReport finding {};
};

asio::awaitable<StatusReport> Promoter::queryStatus(std::string host, TargetAddress target, links::StatusQuery statusQuery)
{
    auto query = std::make_shared<PendingStatusQuery>(m_context.context.get_executor());
    auto done = [query](const StatusReport& finding) {
        query->finding = finding;
        query->latch.countDown();
    };
    if (host == m_context.self.host)
        m_context.queryLocalStatus(target, statusQuery, done);
    else
        m_context.peers.queryStatus(host, target, statusQuery, done);
    co_await query->latch.waitFor(kStatusQueryTimeout);
    co_return query->finding;
}

asio::awaitable<StatusReport> Promoter::queryStatusFromAnyHost(TargetAddress target, links::StatusQuery query)
{
    auto finding = co_await queryStatus(m_context.self.host, target, query);
    auto witnesses = chooseWitnesses(); // the member may be unreachable from this host only
    if (finding.status.term != 0 || finding.isRefused || witnesses.empty())
        co_return finding;
    auto second = co_await queryStatus(witnesses.front(), target, query);
    co_return second.status.term != 0 || !finding.wasReached ? second : finding;
}

// Reachable hosts besides this one, from different data centres where possible.
std::vector<std::string> Promoter::chooseWitnesses() const
{
    std::vector<std::string> witnesses;
    std::set<std::string> usedDataCentres;
    auto own = m_context.view.hosts.find(m_context.self.host);
    if (own != m_context.view.hosts.end())
        usedDataCentres.insert(own->second.dataCentre);
    auto upHosts = m_context.peers.getAnsweringHosts();
    for (bool anyDataCentre : { false, true }) {
        for (auto& name : upHosts) {
            auto host = m_context.view.hosts.find(name);
            bool isChosen = std::ranges::find(witnesses, name) != witnesses.end();
            if (host == m_context.view.hosts.end() || isChosen || witnesses.size() >= kMaxReplicaWitnesses)
                continue;
            if (!anyDataCentre && usedDataCentres.contains(host->second.dataCentre))
                continue;
            usedDataCentres.insert(host->second.dataCentre);
            witnesses.push_back(name);
        }
    }
    return witnesses;
}

// The witnesses' status queries about a primary. The latch opens as soon as one confirms it.
struct Promoter::PrimaryExamination {
    PrimaryExamination(const asio::any_io_executor& executor, size_t witnesses)
        : latch(executor, witnesses)
    {
    }
    base::Latch latch;
    std::string reachedBy {};
    std::string deniedBy {}; // the member answered this host that it is not primary, or had lost its log
};

asio::awaitable<void> Promoter::examinePrimary(std::string witness, TargetAddress primary, std::shared_ptr<PrimaryExamination> examination)
{
    auto known = getNewestKnownMark(m_context.view.groups[primary.group]);
    auto finding = co_await queryStatus(witness, primary);
    // A member that has lost acknowledged writes does not count as a live primary.
    bool hasLost = finding.status.term != 0 && decisions::hasLostLog(known, finding.status.received);
    bool deniesPrimary = hasLost || (finding.status.term != 0 && !finding.status.isPrimary);
    if (finding.wasReached)
        (deniesPrimary ? examination->deniedBy : examination->reachedBy) = witness;
    if (finding.wasReached && !deniesPrimary)
        examination->latch.open();
    else
        examination->latch.countDown();
}

// Dead only if no witness reaches it: a primary that some hosts cannot reach still serves through the others.
asio::awaitable<bool> Promoter::isPrimaryDead(std::string group, TargetAddress primary)
{
    auto witnesses = chooseWitnesses();
    // Its forwarders, which hold connections to it.
    auto member = m_context.view.members.find(primary.member);
    auto forwarders = member == m_context.view.members.end() ? std::vector<std::string>() : getForwarders(m_context.view, member->second);
    for (auto& name : forwarders) {
        bool isChosen = name == m_context.self.host || std::ranges::find(witnesses, name) != witnesses.end();
        if (!isChosen && m_context.peers.isUp(name) && witnesses.size() < kMaxWitnesses)
            witnesses.push_back(name);
    }
    witnesses.push_back(m_context.self.host);
    auto examination = std::make_shared<PrimaryExamination>(m_context.context.get_executor(), witnesses.size());
    for (auto& name : witnesses)
        base::spawnTask(m_context.context, "examine-primary", examinePrimary(name, primary, examination), [name, examination] {
            examination->reachedBy = name; // nothing is known of the primary, so it is not replaced
            examination->latch.open();
        });
    co_await examination->latch.wait();
    auto& reachedBy = examination->reachedBy;
    auto& deniedBy = examination->deniedBy;
    base::logEvent(LogClass::State, "primary-examined", { { "group", std::string_view(group) }, { "member", std::string_view(primary.member) }, { "witnesses", static_cast<int64_t>(witnesses.size()) }, { "reached_by", std::string_view(reachedBy) }, { "denied_to", std::string_view(deniedBy) } });
    if (reachedBy.empty() && !deniedBy.empty()) {
        denyPrimary(m_context.view.groups[group], primary.member, Clock::now());
        co_return false;
    }
    co_return reachedBy.empty();
}

// Members listed in the store. Unlisted ones have stopped, or have lost the store for longer than a short network failure.
size_t Promoter::countListedMembers(const std::string& group) const
{
    auto& ids = m_context.view.groups.at(group).members;
    return static_cast<size_t>(std::ranges::count_if(ids, [&](const std::string& id) { return !m_context.view.members.at(id).unlistedAt; }));
}

asio::awaitable<void> Promoter::queryReplica(MemberView member, bool isCandidate, std::shared_ptr<ReplicaQuery> replicas)
{
    bool isPromotable = isCandidate && !member.registration.isLeaving && !member.unlistedAt;
    auto target = member.getTarget();
    auto known = getNewestKnownMark(m_context.view.groups[target.group]);
    auto finding = co_await queryStatusFromAnyHost(target);
    bool hasLost = decisions::hasLostLog(known, finding.status.received);
    // A primary that has lost its log must not be its own successor: the platform answers such an order with "done" without starting a
    // new term, so the order would be repeated forever and callers would have no primary.
    isPromotable = isPromotable && !(finding.status.isPrimary && hasLost);
    replicas->findings.push_back({ member.registration.id, finding.wasReached, finding.status.isPrimary && !hasLost, finding.status.term, finding.status.received, isPromotable, finding.status.suspendedFor });
    replicas->latch.countDown();
}

void Promoter::queryReplicas(const std::string& group, const std::string& primary, bool includePrimary, const std::shared_ptr<ReplicaQuery>& replicas)
{
    for (auto& id : m_context.view.groups[group].members) {
        bool isPrimaryMember = id == primary;
        if (isPrimaryMember && !includePrimary)
            continue;
        replicas->latch.add();
        base::spawnTask(m_context.context, "query-replica", queryReplica(m_context.view.members.at(id), !isPrimaryMember, replicas), [replicas] { replicas->latch.countDown(); });
    }
    replicas->latch.countDown();
}

void Promoter::holdWritesEverywhere(const std::string& group, const std::string& primary, milliseconds time)
{
    m_context.holdWrites(group, primary, time);
    m_context.peers.sendHoldWrites(group, primary, time);
}

// Holds writes on all hosts until a replica holds the primary's whole log, so that the handover loses no acknowledged write.
asio::awaitable<void> Promoter::waitForReplicaCatchUp(std::string group, std::string primary)
{
    holdWritesEverywhere(group, primary, kWriteHoldTime);
    auto until = Clock::now() + kCatchUpTimeout;
    auto member = m_context.view.members.find(primary);
    if (member == m_context.view.members.end())
        co_return;
    auto target = member->second.getTarget();
    co_await base::sleepFor(kHoldPropagationTime);
    while (Clock::now() < until) {
        auto now = co_await queryStatus(m_context.self.host, target);
        if (!now.wasReached)
            co_return;
        auto replicas = std::make_shared<ReplicaQuery>(m_context.context.get_executor());
        queryReplicas(group, primary, false, replicas);
        co_await replicas->latch.wait();
        for (auto& it : replicas->findings) {
            if (it.wasReached && it.isPromotable && it.received >= now.status.received)
                co_return;
        }
        co_await base::sleepFor(kCatchUpPollInterval);
    }
}

}
