// The known primaries of groups. Sources: answers of members, reports and promotion orders of other hosts, and the comparison with replicas.
#include "base/event_log.h"
#include "decisions/comparison.h"
#include "gateway/gateway.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;

static constexpr milliseconds kComparisonInterval { 400 }; // must exceed kStatusQueryTimeout

// One comparison of a primary's log with the replicas of its group.
struct Gateway::ComparisonRound {
    std::string group;
    std::string primary;
    links::MemberIncarnation incarnation;
    std::vector<decisions::QueriedReplica> replicas {};
    size_t pendingCount { 0 }; // replicas that have neither answered nor timed out
};

LogComparison Gateway::ensureComparison(const TargetAddress& target)
{
    auto& group = m_view.groups[target.group];
    bool isKnown = m_view.members.contains(target.member);
    if (!isKnown || group.primary.member != target.member || canDetectLostLog(group))
        return LogComparison::NotNeeded;
    compareWithReplicas(target.group);
    if (canDetectLostLog(group))
        return LogComparison::NotNeeded;
    return group.lacksReplicaAnswers ? LogComparison::AnswersMissing : LogComparison::InProgress;
}

// Guards against a primary that restarted with an empty log: a host that has just started knows no floor that would reveal it. A replica of the
// same term is ahead of the primary only if the primary has lost its log.
void Gateway::compareWithReplicas(const std::string& name)
{
    auto now = Clock::now();
    auto& group = m_view.groups[name];
    if (group.isQueryingReplicas || now - group.replicasQueriedAt < kComparisonInterval)
        return;
    group.isQueryingReplicas = true;
    group.replicasQueriedAt = now;
    auto& primary = m_view.members.at(group.primary.member).registration;
    auto round = std::make_shared<ComparisonRound>(ComparisonRound { name, primary.id, primary.incarnation });
    std::vector<TargetAddress> targets;
    for (auto& id : group.members) {
        auto& member = m_view.members.at(id);
        if (id == primary.id || member.unlistedAt)
            continue;
        targets.push_back(member.getTarget());
        bool isOlder = mayHaveStartedBefore(member.registration.incarnation, primary.incarnation);
        round->replicas.push_back({ false, isOlder, !isOlder && mayHaveStartedBefore(primary.incarnation, member.registration.incarnation) });
    }
    round->pendingCount = targets.size();
    if (targets.empty())
        finishComparison(*round);
    for (size_t i = 0; i < targets.size(); ++i) {
        queryStatus(targets[i], {}, [this, round, i](const StatusReport& report) {
            auto& group = m_view.groups[round->group];
            round->replicas[i].hasAnswered = report.status.term != 0;
            if (report.status.term != 0)
                group.newestReplicaMark = std::max(group.newestReplicaMark, report.status.received);
            if (--round->pendingCount == 0)
                finishComparison(*round);
        });
    }
}

void Gateway::finishComparison(const ComparisonRound& round)
{
    auto& group = m_view.groups[round.group];
    group.isQueryingReplicas = false;
    m_view.isForwardingUpdateDue = true;
    auto primary = m_view.members.find(round.primary);
    bool isUnchanged = primary != m_view.members.end() && group.primary.member == round.primary && !isDifferentIncarnation(round.incarnation, primary->second.registration.incarnation);
    if (!isUnchanged) { // the result is void: the next ensureComparison() starts another one
        group.replicasQueriedAt = {};
        return;
    }
    group.wasComparedWithReplicas = decisions::canTrustPrimary(round.replicas);
    group.lacksReplicaAnswers = !group.wasComparedWithReplicas;
    auto answered = std::ranges::count_if(round.replicas, &decisions::QueriedReplica::hasAnswered);
    auto older = std::ranges::count_if(round.replicas, &decisions::QueriedReplica::mayPredatePrimary);
    base::logEvent(LogClass::State, "replicas-compared", { { "group", std::string_view(round.group) }, { "member", std::string_view(round.primary) }, { "replicas", static_cast<int64_t>(round.replicas.size()) }, { "older", static_cast<int64_t>(older) }, { "answered", static_cast<int64_t>(answered) }, { "enough", group.wasComparedWithReplicas }, { "term", static_cast<int64_t>(group.newestReplicaMark.term) }, { "position", static_cast<int64_t>(group.newestReplicaMark.position) } });
}

// Queries a member that claims to be primary, if this host is its forwarder. Other hosts reach the member only through its forwarder and get no
// proof of their own.
void Gateway::verifyPrimaryClaim(MemberView& member)
{
    if (!member.registration.saysPrimary || !isForwarder(m_view, m_peers, getLocalHost(), member))
        return;
    member.primaryQueriedAt = Clock::now();
    auto known = getNewestKnownMark(m_view.groups[member.registration.group]);
    queryStatus(member.getTarget(), {}, [this, id = member.registration.id, name = member.registration.group, known, askedAt = member.primaryQueriedAt](const StatusReport& report) {
        if (report.status.isPrimary && !decisions::hasLostLog(known, report.status.received))
            handlePrimaryProof(name, id, report.status.term, askedAt, ProofRecipient::ThisHost);
    });
}

void Gateway::setKnownPrimary(const std::string& group, const decisions::KnownPrimary& primary, std::string_view source)
{
    auto& current = m_view.groups[group].primary;
    auto before = current;
    current = primary;
    notifyPrimaryChange(group, before, source);
}

void Gateway::handlePrimaryProof(const std::string& group, const std::string& member, uint64_t term, TimePoint askedAt, ProofRecipient recipient)
{
    auto& groupView = m_view.groups[group];
    auto before = groupView.primary;
    applyProvenPrimary(groupView, member, term, askedAt, recipient);
    notifyPrimaryChange(group, before, recipient == ProofRecipient::ThisHost ? "proof" : "told");
    if (recipient == ProofRecipient::ThisHost)
        logRejectedProof(group, member, term);
}

void Gateway::handlePromotionOrder(const std::string& group, const std::string& member, uint64_t term)
{
    auto& groupView = m_view.groups[group];
    auto before = groupView.primary;
    applyOrderedPrimary(groupView, member, term, Clock::now());
    notifyPrimaryChange(group, before, "ordered");
}

void Gateway::handleAssumedPrimary(const std::string& group, const std::string& member, uint64_t term)
{
    auto& groupView = m_view.groups[group];
    auto before = groupView.primary;
    applyAssumedPrimary(groupView, member, term, Clock::now());
    notifyPrimaryChange(group, before, "told");
}

void Gateway::notifyPrimaryChange(const std::string& group, const decisions::KnownPrimary& before, std::string_view source)
{
    auto& groupView = m_view.groups[group];
    auto& primary = groupView.primary;
    if (primary.member == before.member && primary.term == before.term)
        return;
    if (primary.member != before.member) { // the comparison was made with the previous primary
        groupView.wasComparedWithReplicas = false;
        groupView.lacksReplicaAnswers = false;
    }
    m_view.isForwardingUpdateDue = true;
    m_promoter.onPrimaryChanged(group);
    base::logEvent(LogClass::State, "lead", { { "group", std::string_view(group) }, { "member", std::string_view(primary.member) }, { "term", static_cast<int64_t>(primary.term) }, { "source", source } });
}

// Logs a proof of a term older than the known one, once for each member and term.
void Gateway::logRejectedProof(const std::string& group, const std::string& member, uint64_t term)
{
    auto& groupView = m_view.groups[group];
    decisions::KnownPrimary rejected { member, term, true };
    if (term >= groupView.primary.term || rejected == groupView.lastRejectedProof)
        return;
    groupView.lastRejectedProof = rejected;
    base::logEvent(LogClass::State, "proof-refused", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "term", static_cast<int64_t>(term) }, { "known", std::string_view(groupView.primary.member) }, { "known_term", static_cast<int64_t>(groupView.primary.term) } });
}

void Gateway::recordFloor(const std::string& group, const decisions::Floor& floor)
{
    auto& floors = m_view.groups[group].floors;
    floors = decisions::addFloor(std::move(floors), floor);
}

}
