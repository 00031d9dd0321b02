#include "gateway/cluster_view.h"
#include "decisions/placement.h"
#include <algorithm>

namespace alderward::gateway {

bool isFarBehind(const GroupView& group, const MemberView& member, TimePoint now)
{
    auto floor = decisions::getFloor(group.floors, decisions::kFarBehindThreshold, now);
    auto position = decisions::estimatePosition(member.progress, now);
    return group.primary.member != member.registration.id && floor && position.term != 0 && position < *floor;
}

bool acceptsNewOperations(const MemberView& member, milliseconds drainTime, TimePoint now)
{
    return decisions::acceptsNewOperations(member.leavingSince, drainTime, now) && decisions::acceptsNewOperations(member.unlistedAt, drainTime, now);
}

void denyPrimary(GroupView& group, const std::string& member, TimePoint now)
{
    bool isPending = group.primary.member == member && !group.primary.isConfirmed && now < group.promotionPendingUntil;
    if (!isPending)
        group.primary = decisions::applyPrimaryDenial(group.primary, member);
}

void applyOrderedPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint now)
{
    auto reported = decisions::applyPrimaryReport(group.primary, member, term);
    if (reported == group.primary)
        return;
    group.primary = reported;
    group.promotionPendingUntil = now + kPromotionGracePeriod;
}

// Hosts discard an assumed term at different times. Without this check they would keep reporting it to each other.
void applyAssumedPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint now)
{
    if (term > group.discardedTerm)
        applyOrderedPrimary(group, member, term, now);
}

// An assumed term can be too high, as a platform also reports success if the member was already primary. Once the order has timed out, a proof of an older term
// replaces it; otherwise a host that had denied the assumed primary would believe no proof, and the group would stay without a primary (30 s and more). Answers to queries sent before that do not count: they may come from the old primary.
uint64_t getMinTerm(const GroupView& group, TimePoint askedAt)
{
    bool isAssumed = group.primary.term > group.provenTerm;
    return isAssumed && askedAt >= group.promotionPendingUntil ? group.provenTerm : group.primary.term;
}

void applyProvenPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint askedAt, ProofRecipient recipient)
{
    auto known = group.primary;
    bool isDiscarded = term < known.term && term >= getMinTerm(group, askedAt);
    if (isDiscarded) {
        group.discardedTerm = known.term;
        known = { "", term, false };
    }
    group.primary = recipient == ProofRecipient::ThisHost ? decisions::applyPrimaryProof(known, member, term) : decisions::applyPrimaryReport(known, member, term);
    group.provenTerm = std::max(group.provenTerm, term);
}

void applyProvenTerm(GroupView& group, uint64_t term)
{
    group.primary = { "", term, false };
    group.provenTerm = std::max(group.provenTerm, term);
}

// Keeps the order of decisions::rankForwarders().
static void insertHost(const ClusterView& view, const std::string& key, HostRanking& ranking, const std::string& host)
{
    auto rank = [&](const std::string& name) { return std::tuple(view.hosts.at(name).dataCentre == ranking.dataCentre, decisions::getHostWeight(key, name), name); };
    auto hostRank = rank(host);
    auto position = std::ranges::partition_point(ranking.hosts, [&](const std::string& it) { return rank(it) > hostRank; });
    ranking.hosts.insert(position, host);
}

void updateHost(ClusterView& view, const links::RegisteredHost& host)
{
    auto known = view.hosts.find(host.name);
    bool hasMoved = known != view.hosts.end() && known->second.dataCentre != host.dataCentre;
    if (hasMoved)
        removeHost(view, host.name);
    bool isNew = known == view.hosts.end() || hasMoved;
    view.hosts[host.name] = host;
    // Inserting into each ranking is cheaper than ranking all hosts again for all members.
    for (auto& [key, ranking] : view.rankings) {
        if (isNew)
            insertHost(view, key, ranking, host.name);
    }
}

void removeHost(ClusterView& view, const std::string& name)
{
    view.hosts.erase(name);
    for (auto& [key, ranking] : view.rankings)
        std::erase(ranking.hosts, name);
}

static const std::vector<std::string>& getHostRanking(ClusterView& view, const std::string& key, const std::string& dataCentre)
{
    auto [it, isNew] = view.rankings.try_emplace(key, HostRanking { dataCentre });
    if (isNew) {
        std::vector<decisions::ForwarderHost> hosts;
        for (auto& [name, host] : view.hosts)
            hosts.push_back({ name, host.dataCentre });
        it->second.hosts = decisions::rankForwarders(key, dataCentre, hosts);
    }
    return it->second.hosts;
}

const std::vector<std::string>& getForwarders(ClusterView& view, const MemberView& member)
{
    return getHostRanking(view, member.registration.id, member.registration.dataCentre);
}

const std::vector<std::string>& getRankedHosts(ClusterView& view, const std::string& group)
{
    return getHostRanking(view, group, "");
}

const std::vector<std::string>& getRelayOrder(ClusterView& view, const std::string& dataCentre)
{
    return getHostRanking(view, "watchers of " + dataCentre, dataCentre);
}

const std::vector<std::string>& getNeighbours(ClusterView& view, const std::string& self)
{
    return getHostRanking(view, "neighbours of " + self, "");
}

// Start times are compared for equality only, as clocks may be set back. Without them, a sequence that went back shows a restart.
bool isDifferentIncarnation(const links::MemberIncarnation& before, const links::MemberIncarnation& now)
{
    if (before.startedAtMs != 0 && now.startedAtMs != 0)
        return before.startedAtMs != now.startedAtMs;
    return now.sequence < before.sequence;
}

static constexpr uint64_t kMaxSequenceSkew = 3; // between members that started together: one, and one for each change of state or role

// Clocks of members differ, so either an earlier start time or a higher sequence is sufficient.
bool mayHaveStartedBefore(const links::MemberIncarnation& incarnation, const links::MemberIncarnation& other)
{
    bool isUnknown = (incarnation.startedAtMs == 0 || other.startedAtMs == 0) && (incarnation.sequence == 0 || other.sequence == 0);
    bool hasEarlierStart = incarnation.startedAtMs != 0 && incarnation.startedAtMs < other.startedAtMs;
    bool hasHigherSequence = incarnation.sequence > other.sequence && incarnation.sequence - other.sequence > kMaxSequenceSkew; // the sum could overflow
    return isUnknown || hasEarlierStart || hasHigherSequence;
}

Mark getNewestKnownMark(const GroupView& group)
{
    return group.floors.isEmpty() ? group.newestReplicaMark : std::max(group.newestReplicaMark, group.floors.floors.back().mark);
}

// Discards what was known about the member's previous process. The group's floors stay, as acknowledged commits remain valid.
static void resetMember(ClusterView& view, MemberView& member, TimePoint now)
{
    auto& group = view.groups[member.registration.group];
    group.primary = decisions::applyPrimaryDenial(group.primary, member.registration.id);
    group.wasComparedWithReplicas = false; // that was with the previous process
    member.leavingSince.reset();
    member.lastFailureAt = {};
    member.lastAnswerAt = {};
    member.progress = {};
    member.progress.observedAt = now; // ignores positions that other hosts observed earlier
    member.hasRestarted = true;
}

MemberChange applyMember(ClusterView& view, const links::RegisteredMember& registration, uint64_t revision, TimePoint leavingSince, TimePoint now)
{
    auto known = view.members.find(registration.id);
    if (known != view.members.end() && revision < known->second.revision)
        return MemberChange::Outdated;
    bool hasMoved = known != view.members.end() && known->second.registration.group != registration.group;
    bool isRestarted = hasMoved || (known != view.members.end() && isDifferentIncarnation(known->second.registration.incarnation, registration.incarnation));
    view.membersRevision = std::max(view.membersRevision, revision);
    auto& member = view.members[registration.id];
    if (isRestarted)
        resetMember(view, member, now);
    if (hasMoved) // the old group must not keep the id of a member that may be removed later
        std::erase(view.groups[member.registration.group].members, registration.id);
    member.revision = revision;
    if (!registration.isLeaving)
        member.leavingSince.reset();
    else if (!member.leavingSince)
        member.leavingSince = leavingSince;
    if (member.registration.dataCentre != registration.dataCentre)
        view.rankings.erase(registration.id);
    member.registration = registration;
    member.unlistedAt.reset();
    auto& group = view.groups[registration.group];
    if (std::ranges::find(group.members, registration.id) == group.members.end())
        group.members.push_back(registration.id);
    if (registration.saysPrimary && !isRestarted) // after a restart it must first prove that it still has its log
        group.primary = decisions::applyPrimaryListing(group.primary, registration.id);
    return isRestarted ? MemberChange::Restarted : MemberChange::Applied;
}

bool markMemberUnlisted(ClusterView& view, const std::string& id, uint64_t revision, TimePoint now)
{
    auto it = view.members.find(id);
    if (it == view.members.end() || revision < it->second.revision)
        return false;
    view.membersRevision = std::max(view.membersRevision, revision);
    it->second.revision = revision;
    bool wasListed = !it->second.unlistedAt;
    it->second.unlistedAt = it->second.unlistedAt.value_or(now);
    return wasListed;
}

std::vector<std::string> removeUnlistedMembers(ClusterView& view, milliseconds retention, TimePoint now)
{
    std::vector<std::string> removed;
    for (auto& [id, member] : view.members) {
        if (member.unlistedAt && now - *member.unlistedAt > retention)
            removed.push_back(id);
    }
    for (auto& id : removed) {
        view.removedRevision = std::max(view.removedRevision, view.members[id].revision);
        auto& group = view.groups[view.members[id].registration.group];
        std::erase(group.members, id);
        group.primary = decisions::applyPrimaryDenial(group.primary, id);
        view.members.erase(id);
        view.rankings.erase(id);
    }
    return removed;
}

}
