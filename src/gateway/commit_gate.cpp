#include "gateway/commit_gate.h"
#include "base/event_log.h"
#include "base/families.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::gateway {

using base::Clock;
using decisions::Confirmation;

static constexpr milliseconds kQueryInterval { 15 }; // between two status queries to a member that lacks a commit
static constexpr milliseconds kQueryTimeout { 350 }; // a busy member answers within some tens of ms
static constexpr milliseconds kLinkIdleTimeout { 2000 };
static constexpr milliseconds kActiveTime { 10000 }; // after a commit: pings to the group's coordinators go on

std::vector<std::string> CommitGate::getActiveGroups(TimePoint now) const
{
    std::vector<std::string> groups;
    for (auto& [group, committedAt] : m_committedAt) {
        if (now - committedAt < kActiveTime)
            groups.push_back(group);
    }
    return groups;
}

bool CommitGate::isSynchronous(const std::string& group) const
{
    auto it = m_context.view.configuration.groups.find(group);
    return it != m_context.view.configuration.groups.end() && it->second.synchronousReplicas > 0;
}

// The primary itself holds what it acknowledges.
PossibleSuccessors CommitGate::getSuccessors(const std::string& group, const std::string& primary) const
{
    auto successors = m_context.getPossibleSuccessors(group);
    std::erase(successors.members, primary);
    return successors;
}

Confirmation CommitGate::judge(const WaitingCommit& waiting) const
{
    auto& position = waiting.commit.position;
    if (position.term > waiting.termBefore)
        return judgeNewTerm(waiting);
    auto group = m_context.view.groups.find(waiting.group);
    auto provenTerm = group == m_context.view.groups.end() ? 0 : group->second.provenTerm;
    return decisions::judgeCommit(waiting.commit, getSuccessors(waiting.group, waiting.primary).members, provenTerm);
}

// The term has changed while the commit ran. If its member leads the new one, it holds the commit. Else the commit may be of the term before, and may
// have been acknowledged when the new primary lacked it: positions do not tell.
Confirmation CommitGate::judgeNewTerm(const WaitingCommit& waiting) const
{
    auto group = m_context.view.groups.find(waiting.group);
    if (group == m_context.view.groups.end())
        return Confirmation::InDoubt;
    auto& primary = group->second.primary;
    auto term = waiting.commit.position.term;
    if (primary.member == waiting.primary)
        return primary.isConfirmed && primary.term == term ? Confirmation::Confirmed : Confirmation::Waiting;
    bool isOtherKnown = !primary.member.empty() && primary.term >= term;
    return isOtherKnown ? Confirmation::InDoubt : Confirmation::Waiting;
}

uint64_t CommitGate::getKnownTerm(const TargetAddress& target) const
{
    if (!isSynchronous(target.group))
        return 0;
    auto group = m_context.view.groups.find(target.group);
    if (group == m_context.view.groups.end())
        return 0;
    auto& primary = group->second.primary;
    return std::max(group->second.provenTerm, primary.member == target.member ? primary.term : 0);
}

void CommitGate::confirm(const AcknowledgedCommit& commit, TimePoint deadline, DoneCallback done)
{
    auto& primary = commit.primary;
    if (!isSynchronous(primary.group)) {
        done(true);
        return;
    }
    auto now = Clock::now();
    m_committedAt[primary.group] = now;
    WaitingCommit waiting { primary.group, primary.member, commit.termBefore, { commit.position }, deadline, now, std::move(done) };
    auto confirmation = judge(waiting);
    if (confirmation != Confirmation::Waiting) {
        finish(waiting, confirmation == Confirmation::Confirmed);
        return;
    }
    m_waiting.push_back(std::move(waiting));
    askSuccessors(now);
}

void CommitGate::finish(WaitingCommit& waiting, bool isConfirmed) const
{
    bool wasNeeded = !isConfirmed || !waiting.commit.confirmedBy.empty();
    if (wasNeeded)
        base::incrementCounter(base::MetricFamily::CommitConfirmations, { { "group", waiting.group }, { "result", isConfirmed ? "confirmed" : "in-doubt" } });
    if (!isConfirmed) {
        std::chrono::duration<double, std::milli> waited = Clock::now() - waiting.waitsSince;
        auto position = fmt::format("{}.{}", waiting.commit.position.term, waiting.commit.position.position);
        base::logEvent(base::LogClass::Failure, "commit-in-doubt", { { "group", std::string_view(waiting.group) }, { "member", std::string_view(waiting.primary) }, { "position", std::string_view(position) }, { "ms", waited.count() } });
    }
    auto done = std::exchange(waiting.done, nullptr);
    done(isConfirmed);
}

void CommitGate::sweep(TimePoint now)
{
    finishJudged(now);
    askSuccessors(now);
    closeUnusedLinks(now);
}

// Also those whose order was settled meanwhile.
void CommitGate::finishJudged(TimePoint now)
{
    std::vector<std::pair<WaitingCommit, bool>> finished;
    std::erase_if(m_waiting, [&](WaitingCommit& it) {
        auto confirmation = judge(it);
        bool isOver = confirmation != Confirmation::Waiting || now >= it.deadline;
        if (isOver)
            finished.emplace_back(std::move(it), confirmation == Confirmation::Confirmed);
        return isOver;
    });
    for (auto& [waiting, isConfirmed] : finished)
        finish(waiting, isConfirmed);
}

// One query to a member serves all commits that wait for it. Asked after the loop, as giving up an earlier query can end the wait of commits.
void CommitGate::askSuccessors(TimePoint now)
{
    std::map<std::string, TargetAddress> targets; // by member
    for (auto& it : m_waiting) {
        for (auto& name : getSuccessors(it.group, it.primary).members) {
            auto member = m_context.view.members.find(name);
            if (member != m_context.view.members.end() && !it.commit.confirmedBy.contains(name))
                targets[name] = member->second.getTarget();
        }
    }
    for (auto& [name, target] : targets)
        ask(target, now);
}

void CommitGate::ask(const TargetAddress& target, TimePoint now)
{
    auto& known = m_links[target.member];
    if (!known)
        known = std::make_shared<StatusLink>();
    auto link = known;
    link->lastUsedAt = now;
    auto isOpen = [&] { return link->session && link->session->isOpen(); };
    if (link->isAsking && isOpen() && now - link->askedAt > kQueryTimeout) // reports the failure to the pending query
        std::exchange(link->session, nullptr)->close();
    if (link->isAsking || now - link->askedAt < kQueryInterval)
        return;
    link->isAsking = true;
    link->askedAt = now;
    if (isOpen())
        sendQuery(target, link);
    else
        openLink(target, link);
}

void CommitGate::openLink(const TargetAddress& target, const StatusLinkPtr& link)
{
    link->session = std::make_shared<TargetSession>(m_context.context.get_executor(), m_context.codec);
    auto onOpen = [this, target, link](const Outcome& outcome) {
        if (!outcome.error) {
            sendQuery(target, link);
            return;
        }
        link->session = nullptr;
        m_context.queryStatusFromAnyHost(target, [this, target, link](const StatusReport& report) {
            link->isAsking = false;
            handleStatus(target, report.status);
        });
    };
    link->session->open(target, m_context.hostName, kQueryTimeout, onOpen, [](const std::string&) {});
}

void CommitGate::sendQuery(const TargetAddress& target, const StatusLinkPtr& link)
{
    link->session->sendStatement(m_context.codec.formatStatusQuery({}), [this, target, link](const Outcome& outcome) {
        link->isAsking = false;
        auto status = outcome.error || outcome.rows.empty() ? std::nullopt : m_context.codec.parseStatus(outcome.rows.front());
        if (outcome.error && link->session && !link->session->isOpen())
            link->session = nullptr;
        handleStatus(target, status.value_or(links::TargetStatus {}));
    });
}

void CommitGate::handleStatus(const TargetAddress& target, const links::TargetStatus& status)
{
    bool areUnknown = m_context.getPossibleSuccessors(target.group).areUnknown;
    std::vector<WaitingCommit> doubtful;
    std::erase_if(m_waiting, [&](WaitingCommit& it) {
        if (it.group != target.group || it.primary == target.member)
            return false;
        auto confirmation = decisions::judgeCommit(it.commit.position, status.term, status.received);
        // An order of which this host was not told is for a member that is not suspended.
        bool isNoSuccessor = areUnknown && status.suspendedFor > it.commit.position.term;
        if (confirmation == Confirmation::Confirmed || isNoSuccessor)
            it.commit.confirmedBy.insert(target.member);
        bool isInDoubt = confirmation == Confirmation::InDoubt;
        if (isInDoubt)
            doubtful.push_back(std::move(it));
        return isInDoubt;
    });
    for (auto& it : doubtful)
        finish(it, false);
    finishJudged(Clock::now());
}

void CommitGate::closeUnusedLinks(TimePoint now)
{
    std::erase_if(m_links, [&](auto& it) {
        auto& link = *it.second;
        bool isUnused = !link.isAsking && now - link.lastUsedAt > kLinkIdleTimeout;
        if (isUnused && link.session)
            std::exchange(link.session, nullptr)->close();
        return isUnused;
    });
}

}
