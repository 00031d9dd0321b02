// What a host knows about the cluster: configuration, members, hosts, the primary of each group and its read floors. Parts may be
// out of date. The gateway owns one value and uses it on its executor only.
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
    uint64_t revision { 0 }; // of the last applied change in the store; older changes are ignored
    std::optional<TimePoint> unlistedAt {}; // when its store entry was removed; it may still be primary
    std::optional<TimePoint> leavingSince {}; // empty: it is not leaving
    bool hasRestarted { false }; // with the same id: its log is unknown until it reports a position
    TimePoint lastFailureAt {}; // of a connection from this host
    TimePoint lastAnswerAt {};
    TimePoint primaryQueriedAt {}; // when this host last asked it whether it is primary, while no primary was known
    decisions::LogProgress progress {};

    TargetAddress getTarget() const { return { registration.id, registration.group, registration.address }; }
};

struct GroupView {
    decisions::KnownPrimary primary {};
    uint64_t provenTerm { 0 }; // newest term proven by a member. A primary of a newer term is assumed from a promotion order
    decisions::FloorHistory floors {};
    TimePoint promotionPendingUntil {}; // until then, a member that was ordered to become primary may not know it yet
    uint64_t discardedTerm { 0 }; // newest assumed term that turned out wrong; reports of it by other hosts are ignored
    TimePoint lastProofAt {}; // when the primary last proved its role to this host directly
    decisions::KnownPrimary lastRejectedProof {}; // avoids logging it again
    std::vector<std::string> members {}; // ids
    bool isQueryingReplicas { false }; // a query for their log positions is in progress
    bool wasComparedWithReplicas { false }; // enough replicas have answered
    bool lacksReplicaAnswers { false }; // too few answered the last query: the primary is not trusted
    TimePoint replicasQueriedAt {};
    Mark newestReplicaMark {}; // newest log position reported by a replica
};

// All hosts in a cached order of preference. See getForwarders() and getRankedHosts().
struct HostRanking {
    std::string dataCentre {}; // its hosts come first; empty: no preference
    std::vector<std::string> hosts {};
};

struct ClusterView {
    links::GatewayConfiguration configuration {};
    std::map<std::string, MemberView> members {}; // by id
    std::map<std::string, GroupView> groups {};
    std::map<std::string, links::RegisteredHost> hosts {}; // by name, including this one; change it through updateHost() and removeHost()
    std::map<std::string, HostRanking> rankings {}; // by member, by group, or by the purpose of the ranking
    bool hasListedMembers { false }; // the members were listed at least once
    bool isForwardingUpdateDue { true }; // primaries, members or hosts have changed since this host last chose the members that it forwards to
    uint64_t membersRevision { 0 }; // of the newest known change of a member
    uint64_t removedRevision { 0 }; // of the newest change of a member that was then removed
};

// Whether new operations may be sent to the member. For a part of `drainTime` after it began to leave or was unlisted, they still are.
bool acceptsNewOperations(const MemberView& member, milliseconds drainTime, TimePoint now);

// Whether the member has restarted and not yet reported its log position. Its forwarder queries it; reads are not sent to it.
inline bool mustReportPosition(const MemberView& member) { return member.hasRestarted && member.progress.position.term == 0; }

// Whether a replica lacks commits older than kFarBehindThreshold.
bool isFarBehind(const GroupView& group, const MemberView& member, TimePoint now);

// The member denied that it is primary. Ignored while a promotion order for it may still be in progress.
void denyPrimary(GroupView& group, const std::string& member, TimePoint now);
// A promotion was ordered. The term is assumed until a member proves it.
void applyOrderedPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint now);
// Another host assumes the term from a promotion order and has no proof of it.
void applyAssumedPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint now);
enum class ProofRecipient {
    ThisHost,
    AnotherHost, // which reported it to this one
};
// A member proved that it is primary, in answer to a query sent at `askedAt`.
void applyProvenPrimary(GroupView& group, const std::string& member, uint64_t term, TimePoint askedAt, ProofRecipient recipient);
// Members know the term, and its primary is unknown.
void applyProvenTerm(GroupView& group, uint64_t term);
// The oldest term accepted in a proof that answers a query sent at `askedAt`.
uint64_t getMinTerm(const GroupView& group, TimePoint askedAt);

inline constexpr milliseconds kPromotionGracePeriod { 1500 }; // must exceed the time that a platform takes to promote a member, some hundred ms and up to 1 s

// Adds the host or replaces its registration.
void updateHost(ClusterView& view, const links::RegisteredHost& host);
void removeHost(ClusterView& view, const std::string& name);

// All hosts in order of preference as forwarders to the member, including unreachable ones. Cached, as each statement needs it; the
// cache changes only with the set of hosts.
const std::vector<std::string>& getForwarders(ClusterView& view, const MemberView& member);
// All hosts in order of preference as coordinators of a group. For quota servers, `group` is the ranking key of a quota shard.
const std::vector<std::string>& getRankedHosts(ClusterView& view, const std::string& group);

// All hosts in order of preference as watchers and relays of a data centre, beginning with its own hosts.
const std::vector<std::string>& getRelayOrder(ClusterView& view, const std::string& dataCentre);
// All hosts, in an order particular to `self`. It exchanges status with the first few, so that each host is known to several others.
const std::vector<std::string>& getNeighbours(ClusterView& view, const std::string& self);

enum class MemberChange {
    Outdated, // a newer change is known: ignored
    Applied,
    Restarted, // a new run of its process, or a process of another group: the state of the previous one was discarded
};
// Applies a member's store entry. `revision`: of the change in the store. `leavingSince`: assumed if the member is newly leaving.
MemberChange applyMember(ClusterView& view, const links::RegisteredMember& registration, uint64_t revision, TimePoint leavingSince, TimePoint now);
// Whether two entries of one id come from different runs of a process.
bool isDifferentIncarnation(const links::MemberIncarnation& before, const links::MemberIncarnation& now);
// Whether the process of one member may have started before that of another member.
bool mayHaveStartedBefore(const links::MemberIncarnation& incarnation, const links::MemberIncarnation& other);
// The newest position known of the group's log. A primary that reports less from now on has lost its log.
Mark getNewestKnownMark(const GroupView& group);
// Whether getNewestKnownMark() is known. Without it, as after a start of this host, a primary that restarted with an empty log would be
// trusted.
inline bool canDetectLostLog(const GroupView& group) { return !group.floors.isEmpty() || group.wasComparedWithReplicas; }
// The member's store entry was removed. The member stays in the view, as it may still serve. Returns whether it was listed before.
bool markMemberUnlisted(ClusterView& view, const std::string& id, uint64_t revision, TimePoint now);
// Removes members that have been unlisted for longer than `retention`. Returns their ids.
std::vector<std::string> removeUnlistedMembers(ClusterView& view, milliseconds retention, TimePoint now);

}
