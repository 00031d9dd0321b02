// What a host believes about the cluster: configuration, members, hosts, who leads, how fresh reads can be. One value, owned by the
// gateway, touched on its executor only.
#pragma once
#include "decisions/choice.h"
#include "decisions/leaving.h"
#include "decisions/progress.h"
#include "gateway/target_pool.h"
#include "links/directory.h"
#include <map>

namespace alderward::gateway {

struct MemberView {
    links::RegisteredMember registration {};
    uint64_t revision { 0 }; // of the change in the store that this rests on; what is older changes nothing
    std::optional<TimePoint> unlistedAt {}; // the store's list dropped it then; it may still lead
    std::optional<TimePoint> leavingSince {}; // empty: it does not leave
    bool hasRestarted { false }; // under its id: it holds nothing until it has shown a position
    TimePoint lastFailureAt {}; // the last time a connection to it failed here
    TimePoint lastAnswerAt {};
    TimePoint primaryQueriedAt {}; // when this host last asked whether it leads, nobody being known to
    decisions::LogProgress progress {}; // of its log

    TargetAddress getTarget() const { return { registration.id, registration.group, registration.address }; }
};

struct GroupView {
    decisions::KnownPrimary primary {};
    uint64_t provenTerm { 0 }; // the newest that a member showed. A lead of a newer term is assumed: it follows from an order
    decisions::FloorHistory floors {};
    TimePoint pendingUntil {}; // a change of primary was ordered; until then the new one may not know yet that it leads
    uint64_t discardedTerm { 0 }; // an assumed one that gave way: those that still assume it are not believed
    TimePoint lastProofAt {}; // when the primary last showed this host itself that it leads
    decisions::KnownPrimary lastRejectedProof {}; // the last one that was not believed, as logged
    std::vector<std::string> members {}; // ids
    bool isQueryingReplicas { false }; // its replicas are being asked what they hold
    bool wasComparedWithReplicas { false }; // enough of them have answered
    bool lacksReplicaAnswers { false }; // too few did, the last time: the primary is not believed
    TimePoint replicasQueriedAt {}; // when they were last asked
    Mark newestReplicaMark {}; // the most that any of them said to hold
};

// Hosts in the order in which they are asked, kept between uses. See getCarriers() and getRankedHosts().
struct HostRanking {
    std::string dataCentre {}; // whose hosts come first; empty: none
    std::vector<std::string> hosts {};
};

struct ClusterView {
    links::GatewayConfiguration configuration {};
    std::map<std::string, MemberView> members {}; // by id
    std::map<std::string, GroupView> groups {};
    std::map<std::string, links::RegisteredHost> hosts {}; // by name, this one included; changed through updateHost() and removeHost()
    std::map<std::string, HostRanking> rankings {}; // by member or group
    bool hasMembers { false }; // the list of members was read at least once
    bool isPlacementDue { true }; // who leads, or what there is, has changed since this host last looked what it carries
    uint64_t membersRevision { 0 }; // of the newest change of a member that is known
    uint64_t removedRevision { 0 }; // of the newest one of a member that was forgotten since
};

// Whether a new operation may be sent to the member: it does not leave and is listed, or not for long.
bool acceptsNewOperations(const MemberView& member, milliseconds drainTime, TimePoint now);

// Whether nothing is known of what the member holds since it started again. Its carrier asks it; reads do not.
inline bool mustReportPosition(const MemberView& member) { return member.hasRestarted && member.progress.position.term == 0; }

// Whether a member lacks commits that are older than replicas usually lack.
bool isFarBehind(const GroupView& group, const MemberView& member, TimePoint now);

// A member said that it does not lead. One that was just made the primary is given time to become it.
void denyPrimary(GroupView& group, const std::string& member, TimePoint now);
// A change of primary was ordered. The term is assumed until a member shows it.
void applyOrderedPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint now);
// Another host believes in that order, and shows nothing of it.
void applyAssumedPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint now);
enum class ProofRecipient {
    ThisHost,
    AnotherHost, // which told this one
};
// A member showed that it leads, in answer to a question that was sent at `askedAt`.
void applyProvenPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint askedAt, ProofRecipient shownTo);
// Members know the term, and nobody is known to lead in it.
void applyProvenTerm(GroupView& group, uint64_t term);
// The newest term that a lead shown in answer to a question of `askedAt` must not be older than.
uint64_t getMinTerm(const GroupView& group, TimePoint askedAt);

inline constexpr milliseconds kPromotionGracePeriod { 1500 }; // the platform names some hundred ms; the slowest site that was seen takes 1,000

void updateHost(ClusterView& view, const links::RegisteredHost& host);
void removeHost(ClusterView& view, const std::string& name);

// All hosts in the order in which they are asked to carry to a member, be they up or not: that differs from moment to moment, the
// order only when a host comes or goes. Statements ask for it, so it is kept.
const std::vector<std::string>& getForwarders(ClusterView& view, const MemberView& member);
// All hosts in the order in which they are asked to be in charge of a group.
const std::vector<std::string>& getRankedHosts(ClusterView& view, const std::string& group);

// The hosts of a data centre in the order in which they are asked to watch the store for it and to relay, then all others.
const std::vector<std::string>& getRelayOrder(ClusterView& view, const std::string& dataCentre);
// All other hosts, in an order of this host's own: it keeps in touch with the first few, so that each is known to a few others.
const std::vector<std::string>& getNeighbours(ClusterView& view, const std::string& self);

// Takes the members as listed now. Those that are missing are marked, not dropped: a leader may still serve.
// `revision`: of the change in the store. `leavingSince`: what to believe of a member that is listed as leaving and was not known to.
enum class MemberChange {
    Outdated, // something newer is known
    Applied,
    Restarted, // another run of its process, or one of another group: what was known of the one before is forgotten
};
MemberChange applyMember(ClusterView& view, const links::RegisteredMember& registration, uint64_t revision, TimePoint leavingSince, TimePoint now);
// Whether two entries under one id come from different runs of a process. A time of start that differs says so, whichever is later: clocks are set.
// Where one of them does not say it, a count that went back does.
bool isDifferentIncarnation(const links::MemberIncarnation& before, const links::MemberIncarnation& now);
// Whether the first of two members' processes may have started before the second, by what either of them says.
bool mayHaveStartedBefore(const links::MemberIncarnation& incarnation, const links::MemberIncarnation& other);
// The newest floor, or what a replica holds. A primary that is asked from now on holds it, or has lost its log.
Mark getNewestKnownMark(const GroupView& group);
// Whether that can be told: a host that has just started knows no floor, and a primary that started again with nothing would be believed.
inline bool canDetectLostLog(const GroupView& group) { return !group.floors.isEmpty() || group.wasComparedWithReplicas; }
bool markMemberUnlisted(ClusterView& view, const std::string& id, uint64_t revision, TimePoint now);
// Forgets members that were unlisted for longer than `keep`. Returns their ids.
std::vector<std::string> removeUnlistedMembers(ClusterView& view, milliseconds keep, TimePoint now);

}
