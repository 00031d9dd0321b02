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

static constexpr milliseconds kCatchUpLimit { 800 }; // a planned change waits this long for a replica
static constexpr milliseconds kHeardAfter { 60 }; // until all hosts have heard that writes wait, and what they had sent has run: one way is 20 ms at most on the sites that were seen
static constexpr milliseconds kCatchUpPause { 30 }; // between two looks at the replicas, which are 50 ms behind in calm
static constexpr milliseconds kHoldTime { 1800 }; // writes wait this long at most in a planned change
static constexpr size_t kWitnesses = 6; // besides this host: a primary that is cut off from two thirds of the hosts is taken for dead once in twenty times
static constexpr milliseconds kAnswerLimit { 1000 }; // an inquiry ends by itself before; this bounds a host that freezes
static constexpr size_t kFarWitnesses = 2; // of other data centres, asked about replicas too

// What one host found out about one member.
struct Answer {
    explicit Answer(const asio::any_io_executor& executor)
        : latch(executor, 1)
    {
    }
    base::Latch latch;
    StatusReport finding {};
};

asio::awaitable<StatusReport> Promoter::ask(std::string host, TargetAddress target)
{
    auto answer = std::make_shared<Answer>(m_context.context.get_executor());
    auto done = [answer](const StatusReport& finding) {
        answer->finding = finding;
        answer->latch.countDown();
    };
    if (host == m_context.self.host)
        m_context.inquire(target, done);
    else
        m_context.peers.inquire(host, target, done);
    co_await answer->latch.waitFor(kAnswerLimit);
    co_return answer->finding;
}

// A few hosts besides this one, of other data centres if there are any.
std::vector<std::string> Promoter::chooseWitnesses() const
{
    std::vector<std::string> witnesses;
    std::set<std::string> used;
    auto own = m_context.view.hosts.find(m_context.self.host);
    if (own != m_context.view.hosts.end())
        used.insert(own->second.dataCentre);
    auto up = m_context.peers.getUpHosts();
    for (bool anyDataCentre : { false, true }) {
        for (auto& name : up) {
            auto host = m_context.view.hosts.find(name);
            bool isIn = std::ranges::find(witnesses, name) != witnesses.end();
            if (host == m_context.view.hosts.end() || isIn || witnesses.size() >= kFarWitnesses)
                continue;
            if (!anyDataCentre && used.contains(host->second.dataCentre))
                continue;
            used.insert(host->second.dataCentre);
            witnesses.push_back(name);
        }
    }
    return witnesses;
}

// What witnesses found out about a primary; open as soon as one reached it.
struct Promoter::Examination {
    Examination(const asio::any_io_executor& executor, size_t witnesses)
        : latch(executor, witnesses)
    {
    }
    base::Latch latch;
    std::string reachedBy {};
    std::string deniedBy {}; // it answered there that it does not lead
};

asio::awaitable<void> Promoter::examine(std::string witness, TargetAddress leader, std::shared_ptr<Examination> examination)
{
    auto known = getNewestKnownMark(m_context.view.groups[leader.group]);
    auto finding = co_await ask(witness, leader);
    // One that has lost what it acknowledged is no primary to be reached.
    bool hasLost = finding.status.term != 0 && decisions::hasLostLog(known, finding.status.received);
    bool isDenied = hasLost || (finding.status.term != 0 && !finding.status.isPrimary);
    if (finding.wasReached)
        (isDenied ? examination->deniedBy : examination->reachedBy) = witness;
    if (finding.wasReached && !isDenied)
        examination->latch.open();
    else
        examination->latch.countDown();
}

// Dead is what nobody reaches: a primary that only some hosts cannot reach still serves through the others.
asio::awaitable<bool> Promoter::isDead(std::string group, TargetAddress leader)
{
    auto witnesses = chooseWitnesses();
    // Those that carry to it, in their order, know it best.
    auto member = m_context.view.members.find(leader.member);
    auto carriers = member == m_context.view.members.end() ? std::vector<std::string>() : getForwarders(m_context.view, member->second);
    for (auto& name : carriers) {
        bool isIn = name == m_context.self.host || std::ranges::find(witnesses, name) != witnesses.end();
        if (!isIn && m_context.peers.isUp(name) && witnesses.size() < kWitnesses)
            witnesses.push_back(name);
    }
    witnesses.push_back(m_context.self.host);
    auto examination = std::make_shared<Examination>(m_context.context.get_executor(), witnesses.size());
    for (auto& name : witnesses)
        asio::co_spawn(m_context.context, examine(name, leader, examination), asio::detached);
    co_await examination->latch.wait();
    auto& reachedBy = examination->reachedBy;
    auto& deniedBy = examination->deniedBy;
    base::logEvent(LogClass::State, "primary-examined", { { "group", std::string_view(group) }, { "member", std::string_view(leader.member) }, { "witnesses", static_cast<int64_t>(witnesses.size()) }, { "reached_by", std::string_view(reachedBy) }, { "denied_to", std::string_view(deniedBy) } });
    if (reachedBy.empty() && !deniedBy.empty()) {
        denyPrimary(m_context.view.groups[group], leader.member, Clock::now());
        co_return false;
    }
    co_return reachedBy.empty();
}

// Members that the store lists: those that are gone from it have ended, or lost it for longer than a short cut takes.
size_t Promoter::countListed(const std::string& group) const
{
    auto& ids = m_context.view.groups.at(group).members;
    return static_cast<size_t>(std::ranges::count_if(ids, [&](const std::string& id) { return !m_context.view.members.at(id).unlistedAt; }));
}

asio::awaitable<void> Promoter::askReplica(MemberView member, bool isCandidate, std::shared_ptr<Replicas> replicas)
{
    bool isPromotable = isCandidate && !member.registration.isLeaving && !member.unlistedAt;
    auto target = member.getTarget();
    auto known = getNewestKnownMark(m_context.view.groups[target.group]);
    auto finding = co_await ask(m_context.self.host, target);
    auto witnesses = chooseWitnesses(); // a path may be broken for this host only
    if (finding.status.term == 0 && !witnesses.empty()) {
        auto second = co_await ask(witnesses.front(), target);
        if (second.status.term != 0 || !finding.wasReached)
            finding = second;
    }
    bool hasLost = decisions::hasLostLog(known, finding.status.received);
    // The platform answers an order for its present primary with "done" and changes nothing: no new term begins, and of the old one it is not believed. Where all replicas held
    // less than it, such a primary was ordered again and again, and callers had none.
    isPromotable = isPromotable && !(finding.status.isPrimary && hasLost);
    replicas->findings.push_back({ member.registration.id, finding.wasReached, finding.status.isPrimary && !hasLost, finding.status.term, finding.status.received, isPromotable });
    replicas->latch.countDown();
}

void Promoter::askReplicas(const std::string& group, const std::string& leader, bool withLeader, const std::shared_ptr<Replicas>& replicas)
{
    for (auto& id : m_context.view.groups[group].members) {
        bool isLeader = id == leader;
        if (isLeader && !withLeader)
            continue;
        replicas->latch.add();
        asio::co_spawn(m_context.context, askReplica(m_context.view.members.at(id), !isLeader, replicas), asio::detached);
    }
    replicas->latch.countDown();
}

// Writes wait at all hosts until the best replica holds what the primary holds, so that the change takes nothing back.
asio::awaitable<void> Promoter::waitForReplica(std::string group, std::string leader)
{
    m_context.holdWrites(group, leader, kHoldTime);
    m_context.peers.sendHoldWrites(group, leader, kHoldTime);
    auto until = Clock::now() + kCatchUpLimit;
    auto primary = m_context.view.members.find(leader);
    if (primary == m_context.view.members.end())
        co_return;
    auto target = primary->second.getTarget();
    co_await base::sleepFor(kHeardAfter);
    while (Clock::now() < until) {
        auto now = co_await ask(m_context.self.host, target);
        if (!now.wasReached)
            co_return;
        auto replicas = std::make_shared<Replicas>(m_context.context.get_executor());
        askReplicas(group, leader, false, replicas);
        co_await replicas->latch.wait();
        for (auto& it : replicas->findings) {
            if (it.wasReached && it.isPromotable && it.received >= now.status.received)
                co_return;
        }
        co_await base::sleepFor(kCatchUpPause);
    }
}

}
