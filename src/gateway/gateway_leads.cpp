// Who leads a group, as a host learns it: what members show, what other hosts tell or order, and what a host finds out that has just started.
#include "base/event_log.h"
#include "decisions/comparison.h"
#include "gateway/gateway.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;

static constexpr milliseconds kCompareInterval { 400 }; // between two times that replicas are asked what they hold, which takes up to kInquiryLimit

// The replicas of one group, as they are asked what they hold.
struct Gateway::ComparisonRound {
    std::string group;
    std::string primary;
    links::MemberIncarnation life; // of the primary's process
    std::vector<decisions::QueriedReplica> replicas {};
    size_t left { 0 }; // that have not answered yet, nor been given up
};

Comparison Gateway::getComparison(const TargetAddress& target)
{
    auto& group = m_view.groups[target.group];
    bool isKnown = m_view.members.contains(target.member);
    if (!isKnown || group.primary.member != target.member || canDetectLostLog(group))
        return Comparison::NotNeeded;
    compareWithReplicas(target.group);
    if (canDetectLostLog(group))
        return Comparison::NotNeeded;
    return group.lacksReplicaAnswers ? Comparison::LacksAnswers : Comparison::UnderWay;
}

// A host that has just started knows no floor, and would take the word of a primary that started again with nothing. Replicas of its term hold nothing
// that it lacks, unless it lost its log. Two connections a group at a carrier's start; those that do not answer are waited for kInquiryLimit, and where they are needed
// asked again.
void Gateway::compareWithReplicas(const std::string& name)
{
    auto now = Clock::now();
    auto& group = m_view.groups[name];
    if (group.isQueryingReplicas || now - group.replicasQueriedAt < kCompareInterval)
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
    round->left = targets.size();
    if (targets.empty())
        endComparison(*round);
    for (size_t i = 0; i < targets.size(); ++i) {
        inquire(targets[i], [this, round, i](const StatusReport& report) {
            auto& group = m_view.groups[round->group];
            round->replicas[i].hasAnswered = report.status.term != 0;
            if (report.status.term != 0)
                group.newestReplicaMark = std::max(group.newestReplicaMark, report.status.received);
            if (--round->left == 0)
                endComparison(*round);
        });
    }
}

void Gateway::endComparison(const ComparisonRound& round)
{
    auto& group = m_view.groups[round.group];
    group.isQueryingReplicas = false;
    m_view.isForwardingUpdateDue = true;
    auto primary = m_view.members.find(round.primary);
    bool isSame = primary != m_view.members.end() && group.primary.member == round.primary && !isDifferentIncarnation(round.life, primary->second.registration.incarnation);
    if (!isSame) { // it is compared anew, if need be
        group.replicasQueriedAt = {};
        return;
    }
    group.wasComparedWithReplicas = decisions::canTrustPrimary(round.replicas);
    group.lacksReplicaAnswers = !group.wasComparedWithReplicas;
    auto answered = std::ranges::count_if(round.replicas, &decisions::QueriedReplica::hasAnswered);
    auto older = std::ranges::count_if(round.replicas, &decisions::QueriedReplica::mayPredatePrimary);
    base::logEvent(LogClass::State, "replicas-compared", { { "group", std::string_view(round.group) }, { "member", std::string_view(round.primary) }, { "replicas", static_cast<int64_t>(round.replicas.size()) }, { "older", static_cast<int64_t>(older) }, { "answered", static_cast<int64_t>(answered) }, { "enough", group.wasComparedWithReplicas }, { "term", static_cast<int64_t>(group.newestReplicaMark.term) }, { "position", static_cast<int64_t>(group.newestReplicaMark.position) } });
}

// A host that carries to a member which says that it leads finds out whether it does. Others prove the lead through this host only, so nobody would tell it.
void Gateway::askWhetherItLeads(MemberView& member)
{
    if (!member.registration.saysPrimary || !isCarrier(m_view, m_peers, getPlace(), member))
        return;
    member.primaryQueriedAt = Clock::now();
    auto known = getNewestKnownMark(m_view.groups[member.registration.group]);
    inquire(member.getTarget(), [this, id = member.registration.id, name = member.registration.group, known, askedAt = member.primaryQueriedAt](const StatusReport& report) {
        if (report.status.isPrimary && !decisions::hasLostLog(known, report.status.received))
            takeShown(name, id, report.status.term, askedAt, ProofRecipient::ThisHost);
    });
}

void Gateway::takeLead(const std::string& group, const decisions::KnownPrimary& lead, std::string_view source)
{
    auto& current = m_view.groups[group].primary;
    auto before = current;
    current = lead;
    noteLead(group, before, source);
}

void Gateway::takeShown(const std::string& group, const std::string& member, uint64_t term, TimePoint askedAt, ProofRecipient shownTo)
{
    auto& belief = m_view.groups[group];
    auto before = belief.primary;
    applyProvenPrimary(belief, member, term, askedAt, shownTo);
    noteLead(group, before, shownTo == ProofRecipient::ThisHost ? "proof" : "told");
    if (shownTo == ProofRecipient::ThisHost)
        noteRefusedProof(group, member, term);
}

void Gateway::takeOrdered(const std::string& group, const std::string& member, uint64_t term)
{
    auto& belief = m_view.groups[group];
    auto before = belief.primary;
    applyOrderedPrimary(belief, member, term, Clock::now());
    noteLead(group, before, "ordered");
}

void Gateway::takeAssumed(const std::string& group, const std::string& member, uint64_t term)
{
    auto& belief = m_view.groups[group];
    auto before = belief.primary;
    applyAssumedPrimary(belief, member, term, Clock::now());
    noteLead(group, before, "told");
}

void Gateway::noteLead(const std::string& group, const decisions::KnownPrimary& before, std::string_view source)
{
    auto& belief = m_view.groups[group];
    auto& lead = belief.primary;
    if (lead.member == before.member && lead.term == before.term)
        return;
    if (lead.member != before.member) { // another one was compared with its replicas
        belief.wasComparedWithReplicas = false;
        belief.lacksReplicaAnswers = false;
    }
    m_view.isForwardingUpdateDue = true;
    m_promoter.noteNewLead(group);
    base::logEvent(LogClass::State, "lead", { { "group", std::string_view(group) }, { "member", std::string_view(lead.member) }, { "term", static_cast<int64_t>(lead.term) }, { "source", source } });
}

// A member shows that it leads in an older term than the one that this host believes the group to be in. A line for each such member and term, not for each proof.
void Gateway::noteRefusedProof(const std::string& group, const std::string& member, uint64_t term)
{
    auto& belief = m_view.groups[group];
    decisions::KnownPrimary refused { member, term, true };
    if (term >= belief.primary.term || refused == belief.lastRejectedProof)
        return;
    belief.lastRejectedProof = refused;
    base::logEvent(LogClass::State, "proof-refused", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "term", static_cast<int64_t>(term) }, { "known", std::string_view(belief.primary.member) }, { "known_term", static_cast<int64_t>(belief.primary.term) } });
}

void Gateway::takeFloor(const std::string& group, const decisions::Floor& floor)
{
    auto& floors = m_view.groups[group].floors;
    floors = decisions::addFloor(std::move(floors), floor);
}

}
