// What an orderer finds out before it replaces a primary: who reaches it, and what its replicas hold.
#include "gateway/promoter_evidence.h"
#include "base/event_log.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;

static constexpr milliseconds kCatchUpTimeout { 800 }; // a planned change waits this long for a replica
static constexpr milliseconds kHoldPropagationTime { 60 }; // until all hosts have heard that writes wait, and what they had sent has run: one way is 20 ms at most on the sites that were seen
static constexpr milliseconds kCatchUpPollInterval { 30 }; // between two looks at the replicas, which are 50 ms behind in calm
static constexpr milliseconds kWriteHoldTime { 1800 }; // writes wait this long at most in a planned change
static constexpr size_t kMaxWitnesses = 6; // besides this host: a primary that is cut off from two thirds of the hosts is taken for dead once in twenty times
static constexpr milliseconds kStatusQueryTimeout { 1000 }; // an inquiry ends by itself before; this bounds a host that freezes
static constexpr size_t kMaxReplicaWitnesses = 2; // of other data centres, asked about replicas too

// What one host found out about one member.
struct PendingStatusQuery {
    explicit PendingStatusQuery(const asio::any_io_executor& executor)
        : latch(executor, 1)
    {
    }
    base::Latch latch;
    StatusReport finding {};
};

asio::awaitable<StatusReport> Promoter::queryStatus(std::string host, TargetAddress target)
{
    auto query = std::make_shared<PendingStatusQuery>(m_context.context.get_executor());
    auto done = [query](const StatusReport& finding) {
        query->finding = finding;
        query->latch.countDown();
    };
    if (host == m_context.self.host)
        m_context.queryLocalStatus(target, done);
    else
        m_context.peers.inquire(host, target, done);
    co_await query->latch.waitFor(kStatusQueryTimeout);
    co_return query->finding;
}

// A few hosts besides this one, of other data centres if there are any.
std::vector<std::string> Promoter::chooseWitnesses() const
{
    std::vector<std::string> witnesses;
    std::set<std::string> usedDataCentres;
    auto own = m_context.view.hosts.find(m_context.self.host);
    if (own != m_context.view.hosts.end())
        usedDataCentres.insert(own->second.dataCentre);
    auto upHosts = m_context.peers.getUpHosts();
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

// What witnesses found out about a primary; open as soon as one reached it.
struct Promoter::PrimaryExamination {
    PrimaryExamination(const asio::any_io_executor& executor, size_t witnesses)
        : latch(executor, witnesses)
    {
    }
    base::Latch latch;
    std::string reachedBy {};
    std::string deniedBy {}; // it answered there that it does not lead
};

asio::awaitable<void> Promoter::examinePrimary(std::string witness, TargetAddress primary, std::shared_ptr<PrimaryExamination> examination)
{
    auto known = getKnownMark(m_context.view.groups[primary.group]);
    auto finding = co_await queryStatus(witness, primary);
    // One that has lost what it acknowledged is no primary to be reached.
    bool hasLost = finding.status.term != 0 && decisions::hasLostLog(known, finding.status.received);
    bool deniesPrimary = hasLost || (finding.status.term != 0 && !finding.status.isPrimary);
    if (finding.wasReached)
        (deniesPrimary ? examination->deniedBy : examination->reachedBy) = witness;
    if (finding.wasReached && !deniesPrimary)
        examination->latch.open();
    else
        examination->latch.countDown();
}

// Dead is what nobody reaches: a primary that only some hosts cannot reach still serves through the others.
asio::awaitable<bool> Promoter::isPrimaryDead(std::string group, TargetAddress primary)
{
    auto witnesses = chooseWitnesses();
    // Those that carry to it, in their order, know it best.
    auto member = m_context.view.members.find(primary.member);
    auto carriers = member == m_context.view.members.end() ? std::vector<std::string>() : getCarriers(m_context.view, member->second);
    for (auto& name : carriers) {
        bool isChosen = name == m_context.self.host || std::ranges::find(witnesses, name) != witnesses.end();
        if (!isChosen && m_context.peers.isUp(name) && witnesses.size() < kMaxWitnesses)
            witnesses.push_back(name);
    }
    witnesses.push_back(m_context.self.host);
    auto examination = std::make_shared<PrimaryExamination>(m_context.context.get_executor(), witnesses.size());
    for (auto& name : witnesses)
        asio::co_spawn(m_context.context, examinePrimary(name, primary, examination), asio::detached);
    co_await examination->latch.wait();
    auto& reachedBy = examination->reachedBy;
    auto& deniedBy = examination->deniedBy;
    base::logEvent(LogClass::State, "primary-examined", { { "group", std::string_view(group) }, { "member", std::string_view(primary.member) }, { "witnesses", static_cast<int64_t>(witnesses.size()) }, { "reached_by", std::string_view(reachedBy) }, { "denied_to", std::string_view(deniedBy) } });
    if (reachedBy.empty() && !deniedBy.empty()) {
        denyLead(m_context.view.groups[group], primary.member, Clock::now());
        co_return false;
    }
    co_return reachedBy.empty();
}

// Members that the store lists: those that are gone from it have ended, or lost it for longer than a short cut takes.
size_t Promoter::countListedMembers(const std::string& group) const
{
    auto& ids = m_context.view.groups.at(group).members;
    return static_cast<size_t>(std::ranges::count_if(ids, [&](const std::string& id) { return !m_context.view.members.at(id).unlistedAt; }));
}

asio::awaitable<void> Promoter::queryReplica(MemberBelief member, bool isCandidate, std::shared_ptr<ReplicaQuery> replicas)
{
    bool isPromotable = isCandidate && !member.listed.isLeaving && !member.unlistedAt;
    auto target = member.getTarget();
    auto known = getKnownMark(m_context.view.groups[target.group]);
    auto finding = co_await queryStatus(m_context.self.host, target);
    auto witnesses = chooseWitnesses(); // a path may be broken for this host only
    if (finding.status.term == 0 && !witnesses.empty()) {
        auto second = co_await queryStatus(witnesses.front(), target);
        if (second.status.term != 0 || !finding.wasReached)
            finding = second;
    }
    bool hasLost = decisions::hasLostLog(known, finding.status.received);
    // The platform answers an order for its present primary with "done" and changes nothing: no new term begins, and of the old one it is not believed. Where all replicas held
    // less than it, such a primary was ordered again and again, and callers had none.
    isPromotable = isPromotable && !(finding.status.isPrimary && hasLost);
    replicas->findings.push_back({ member.listed.id, finding.wasReached, finding.status.isPrimary && !hasLost, finding.status.term, finding.status.received, isPromotable });
    replicas->latch.countDown();
}

void Promoter::queryReplicas(const std::string& group, const std::string& primary, bool includePrimary, const std::shared_ptr<ReplicaQuery>& replicas)
{
    for (auto& id : m_context.view.groups[group].members) {
        bool isPrimaryMember = id == primary;
        if (isPrimaryMember && !includePrimary)
            continue;
        replicas->latch.add();
        asio::co_spawn(m_context.context, queryReplica(m_context.view.members.at(id), !isPrimaryMember, replicas), asio::detached);
    }
    replicas->latch.countDown();
}

// Writes wait at all hosts until the best replica holds what the primary holds, so that the change takes nothing back.
asio::awaitable<void> Promoter::waitForReplicaCatchUp(std::string group, std::string primary)
{
    m_context.holdWrites(group, primary, kWriteHoldTime);
    m_context.peers.sendHoldWrites(group, primary, kWriteHoldTime);
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
