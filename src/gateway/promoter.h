// Failover and planned handover: maintains each group's coordinator record, gathers evidence when a primary looks dead or is
// leaving, and orders the promotion of another member. The rules that keep this safe are in decisions/promotion.h and decisions/suspension.h.
//
// [SECTION] by source file
//   promoter.cpp            which host acts, and when
//   promoter_attempts.cpp   one attempt to replace a primary, and its order
//   promoter_evidence.cpp   status queries to members and witnesses
//   promoter_records.cpp    the coordinator record in the platform's store
//   promoter_pending.cpp    orders that may be carried out late, in groups with synchronous replicas
//   promoter_suspension.cpp replicas that are suspended meanwhile
#pragma once
#include "base/latch.h"
#include "decisions/promotion.h"
#include "gateway/commit_gate.h"
#include "gateway/partners.h"
#include <boost/asio/awaitable.hpp>
#include <set>

namespace alderward::gateway {

struct PromoterContext {
    boost::asio::io_context& context;
    ClusterView& view;
    Peers& peers;
    links::PlatformAdapter& platform;
    decisions::Coordinator self;
    std::function<void(const TargetAddress&, const links::StatusQuery&, std::function<void(const StatusReport&)>)> queryLocalStatus; // asks a member for its status from this host
    std::function<void(const std::string& group, const std::string& member, milliseconds)> holdWrites; // on this host only
    std::function<bool()> hasStore; // this host receives changes from the platform's store
    std::function<void(const std::string& group, const decisions::KnownPrimary& before, std::string_view source)> notifyPrimaryChange; // after the promoter changed the group's known primary
    const bool& isDraining;
};

class Promoter {
public:
    explicit Promoter(PromoterContext context)
        : m_context(std::move(context))
    {
    }

    void applyCoordinatorRecord(const std::string& group, const links::StoreItem& item);
    // A statement or a host failed to reach the primary, or no primary is known. Starts a check unless one is already due.
    void raiseAlarm(const std::string& group, const std::string& reason);
    // The group's coordinators, the first coordinator first.
    std::vector<std::string> getCoordinators(const std::string& group) const;
    // The groups that this host is a coordinator of, and the other coordinators of these groups.
    CoordinatorRole getCoordinatorRole() const;
    // The primary confirmed its role to this host or another one. Clears an alarm raised before that.
    void onPrimaryConfirmed(const std::string& group, TimePoint confirmedAt);
    // Another member is now the known primary, or none is, or a member of the group has restarted. Clears a pending alarm or handover of the group.
    void onPrimaryChanged(const std::string& group);
    // Another host ordered a promotion. Coordinators ranked before it can no longer order: the platform refuses their lower tokens.
    void onPromotionOrdered(const std::string& group, const std::string& host);
    // Another host has sent an order that may be carried out, or reports that its order was refused.
    void onPendingPromotion(const peer::PendingPromotion& wire);
    void onPendingPromotionAcknowledged(const std::string& host, uint64_t number);
    // Add to an answer to a ping, and read from one, the sender's orders that may be carried out and the groups that it coordinates.
    void writeOrders(peer::Pong& pong) const;
    void readOrders(const std::string& host, const peer::Pong& pong, TimePoint pingSentAt);
    // The members of the group that may be promoted at any moment: those of known orders, or all if this host may not have been told of one.
    PossibleSuccessors getPossibleSuccessors(const std::string& group) const;
    // Asks from this host, or from a witness if this host does not reach the member.
    boost::asio::awaitable<StatusReport> queryStatusFromAnyHost(TargetAddress target, links::StatusQuery query);
    // The member has lost its log.
    void onMemberRestarted(const std::string& group, const std::string& member);
    // Reported to other coordinators, which act instead of this host if it cannot perform a task.
    decisions::HostCapabilities getCapabilities() const;
    // Starts due tasks. Call every few tens of ms.
    void sweep(TimePoint now);

private:
    // A promotion order that the platform may still carry out. Until it is settled, all orders name the same member. Only in groups with
    // synchronous replicas.
    struct PendingPromotion {
        std::string member {}; // empty: it has lost its log and did not catch up, so that another one can be chosen
        bool hasLostLog { false }; // the member has restarted, and must catch up before it is ordered again
        uint64_t previousTerm { 0 }; // newest term that a member had shown before the order: it is settled once one proves a newer term
        decisions::Coordinator sender {}; // empty: unknown
        bool isInForce { false }; // it was sent, and the platform has not refused it
        TimePoint since {};
    };

    // Members, by the process that has ordered their promotion.
    using OrderedMembers = std::map<decisions::Coordinator, std::set<std::string>>;

    // A coordinator's latest answer to a ping.
    struct CoordinatorAnswer {
        uint64_t incarnation { 0 }; // of the process that answered
        uint64_t recordRevision { 0 }; // of the coordinator record that it knew
        TimePoint pingSentAt {};
    };

    struct GroupState {
        decisions::CoordinatorRecord record {};
        uint64_t revision { 0 }; // of the record in the store; 0: no record
        TimePoint coordinatorSince {}; // when this process learned that it is a coordinator
        std::map<std::string, CoordinatorAnswer> coordinatorAnswers {}; // by host; with synchronous replicas only
        OrderedMembers refusedMembers {}; // of orders that may still be in the record, and were refused, not sent, or for a member that is primary already
        bool isWritingRecord { false };
        bool mustRenewRecord { false }; // the stored record was deleted or is unreadable
        bool isPromoting { false }; // replacePrimary() is running
        size_t firstUsableRank { 0 }; // lower ranks can't order: a higher token was used. Above 0: renew the record
        uint64_t orderCount { 0 }; // fencing tokens that this host has used since the record changed
        uint64_t lastFencingToken { 0 }; // last one used by this process for the group
        TimePoint alarmedAt {}; // zero: no alarm
        TimePoint handoverDueAt {}; // zero: the primary is not leaving
        TimePoint startedAt {}; // first sweep of the group on this host
        TimePoint recordCheckedAt {}; // last check whether the record is due for renewal
        TimePoint nextAttemptAt {};
        TimePoint noPrimarySince {};
        std::string alarmReason {};
        std::string loggedCoordinator {}; // acting coordinator in the last log line
        std::optional<PendingPromotion> pending {};
        std::map<decisions::Coordinator, TimePoint> refusedAt {}; // when a process last reported that its order was refused
        OrderedMembers orderedMembers {}; // of all orders since `pending` was set
        std::set<std::string> sentMembers {}; // of this process's orders among them that were sent and may be carried out
        std::set<std::string> resumable {}; // members that this host has suspended, for orders that were not sent or were refused
        bool wasActing { false }; // this host was the acting coordinator at the last sweep
        bool mustCheckSuspensions { false }; // replicas may be suspended that nobody resumes
        bool isCheckingSuspensions { false };
        bool isResuming { false }; // no attempt may begin: it could suspend a replica that is then resumed
        TimePoint suspensionsCheckedAt {};
    };

    // How commits that the primary acknowledges are kept from being lost by an order that is carried out late.
    enum class CommitGuard {
        NotNeeded, // commits are acknowledged before replicas have received them
        ReplicasSuspended, // the successor receives every commit that is acknowledged
        WritesHeld, // members cannot be suspended: writes wait at all hosts that this one reaches
        Failed, // no order may be sent
    };

    struct DueTask;
    // An ongoing attempt to replace a primary.
    struct PromotionAttempt {
        decisions::KnownPrimary primary {}; // the known primary when the attempt began
        bool isPlanned { false };
        TimePoint startedAt {}; // all evidence is newer
        uint64_t shownTerm { 0 }; // newest term that a member has shown; an assumed one can be higher
        CommitGuard guard { CommitGuard::NotNeeded };
    };

    bool isLive(const std::string& host) const;
    bool canPerformTask(const std::string& host, decisions::PromotionTask task) const;
    bool isFirstCandidate(const std::string& group) const;
    std::vector<decisions::LiveCandidate> getLiveCandidates(const std::string& group, const GroupState& state) const;
    std::vector<decisions::RankedCandidate> rankLiveHosts(const std::string& group) const;
    std::vector<decisions::CoordinatorState> getCoordinatorStates(const GroupState& state, decisions::PromotionTask task) const;
    // Number of usable coordinators that act before this host; empty: this host does not act.
    std::optional<size_t> findActingRank(const GroupState& state, decisions::PromotionTask task) const;
    void logActingCoordinator(const std::string& group, GroupState& state);
    bool isActing(const GroupState& state) const;
    std::optional<DueTask> findDueTask(const GroupView& groupView, GroupState& state, TimePoint now) const;
    bool mustActNow(const GroupState& state, const DueTask& due, TimePoint now) const;
    bool mustHandOver(const GroupView& groupView) const;
    void maintainCoordinatorRecord(const std::string& group, GroupState& state, TimePoint now);
    enum class RecordWrite {
        Written,
        Conflict, // the record has changed
        Unknown, // the store did not answer, or refused
    };
    void spawnRecordWrite(const std::string& group, decisions::CoordinatorRecord record, uint64_t revision);
    boost::asio::awaitable<void> writeCoordinatorRecord(std::string group, decisions::CoordinatorRecord record, uint64_t revision);
    boost::asio::awaitable<RecordWrite> storeRecord(std::string group, decisions::CoordinatorRecord record, uint64_t revision);
    std::vector<decisions::RecordedOrder> getRecordedOrders(const std::string& group, const GroupState& state) const;
    void withdrawRemovedOrders(const std::string& group, const decisions::RecordedOrders& before);
    boost::asio::awaitable<bool> recordOrder(std::string group, std::string member, uint64_t previousTerm);
    bool mayPromoteOther(const std::string& group, const GroupState& state, const std::string& member) const;
    void removeRefusedOrders(const std::string& group, GroupState& state);
    void applyRecordedOrders(const std::string& group, GroupState& state);
    boost::asio::awaitable<void> replacePrimary(std::string group, bool isPlanned, std::string cause);
    struct ReplicaQuery;
    boost::asio::awaitable<bool> isReplacementDue(std::string group, PromotionAttempt attempt, std::shared_ptr<ReplicaQuery> replicas);
    void endAttempt(const std::string& group, const PromotionAttempt& attempt, bool wasOrdered);
    boost::asio::awaitable<bool> isPrimaryDead(std::string group, TargetAddress primary);
    // Asks the replicas for their status, and with `includePrimary` the primary too: it counts as reached, but is no candidate.
    void queryReplicas(const std::string& group, const std::string& primary, bool includePrimary, const std::shared_ptr<ReplicaQuery>& replicas);
    boost::asio::awaitable<void> queryReplica(MemberView member, bool isCandidate, std::shared_ptr<ReplicaQuery> replicas);
    struct PrimaryExamination;
    boost::asio::awaitable<void> examinePrimary(std::string witness, TargetAddress primary, std::shared_ptr<PrimaryExamination> examination);
    boost::asio::awaitable<void> waitForReplicaCatchUp(std::string group, std::string primary);
    void holdWritesEverywhere(const std::string& group, const std::string& primary, milliseconds time);
    // The reason not to order the promotion any more; empty: it is still due.
    std::string_view findHoldBackReason(const std::string& group, const PromotionAttempt& attempt) const;
    void logHoldBack(const std::string& group, std::string_view reason, std::string_view member, uint64_t term) const;
    boost::asio::awaitable<bool> actOnEvidence(std::string group, std::vector<decisions::MemberFinding> findings, PromotionAttempt attempt);
    std::optional<std::string> chooseSuccessor(const std::string& group, const std::vector<decisions::MemberFinding>& findings, uint64_t newestTerm) const;
    boost::asio::awaitable<bool> promoteSuccessor(std::string group, std::string successor, std::vector<decisions::MemberFinding> findings, uint64_t previousTerm, PromotionAttempt attempt);
    boost::asio::awaitable<bool> promoteGuarded(std::string group, std::string successor, std::vector<decisions::MemberFinding> findings, uint64_t previousTerm, PromotionAttempt attempt);
    struct OrderToken {
        size_t rank { 0 }; // of this host in the record that the token is from
        uint64_t token { 0 };
    };
    std::optional<OrderToken> takeFencingToken(const std::string& group);
    boost::asio::awaitable<bool> orderPromotion(std::string group, std::string member, uint64_t previousTerm, PromotionAttempt attempt, OrderToken token);
    boost::asio::awaitable<links::PromotionResult> sendOrder(std::string group, std::string member, OrderToken token);
    boost::asio::awaitable<uint64_t> findPromotedTerm(std::string member, uint64_t previousTerm);
    void noteOrderInForce(const std::string& group, const std::string& member, links::PromotionResult result);
    boost::asio::awaitable<std::string_view> findReasonNotToRepeat(std::string group, std::string member, PromotionAttempt attempt);
    void applyPromotion(const std::string& group, const std::string& member, uint64_t term);
    // No default arguments: g++ 12 destroys them twice within a co_await expression.
    boost::asio::awaitable<StatusReport> queryStatus(std::string host, TargetAddress target, links::StatusQuery query);
    boost::asio::awaitable<StatusReport> queryStatus(const std::string& host, const TargetAddress& target) { return queryStatus(host, target, links::StatusQuery()); }
    boost::asio::awaitable<StatusReport> queryStatusFromAnyHost(const TargetAddress& target) { return queryStatusFromAnyHost(target, links::StatusQuery()); }

    // ---- orders that may be carried out late ----

    unsigned getSynchronousReplicas(const std::string& group) const;
    bool hasOrderInForce(const std::string& group) const;
    // Whether an order in force names a member that has received all that is acknowledged.
    bool isBoundToSuccessor(const std::string& group) const;
    // Whether the member of the order in force is gone, or lost its log and did not catch up.
    bool mustChooseAnew(const std::string& group) const;
    void giveUpMemberWithoutLog(const std::string& group);
    void setPending(const std::string& group, PendingPromotion pending, std::string_view source);
    // `before`: the order that was pending before this process announced one that it does not send.
    void withdrawAnnouncedOrder(const std::string& group, const std::string& member, const std::optional<PendingPromotion>& before);
    void withdrawUnsentOrder(const std::string& group, const std::string& member);
    void settlePending(const std::string& group, std::string_view reason);
    // Settles the pending order if its member says that it is primary: an order for the present primary changes nothing.
    bool settleIfPromoted(const std::string& group, const std::vector<decisions::MemberFinding>& findings, uint64_t newestTerm);
    enum class PendingState { MayBeCarriedOut,
        Refused };
    peer::PendingPromotion makeWireOrder(const std::string& group, const std::string& member, uint64_t previousTerm) const;
    // Returns the number of the announcement.
    uint64_t announcePending(const std::string& group, const std::string& member, uint64_t previousTerm, PendingState pendingState);
    // Hosts that are being told of an order, until all have answered.
    struct Announcement {
        explicit Announcement(const boost::asio::any_io_executor& executor)
            : latch(executor, 1)
        {
        }
        base::Latch latch;
        std::map<std::string, TimePoint> unacknowledged {}; // by host: when its last ping before the announcement was answered; zero: not lately
    };
    boost::asio::awaitable<void> announceToAllHosts(std::string group, std::string member, uint64_t previousTerm);
    std::map<std::string, TimePoint> findHostsToTell() const;
    static void logAnnouncement(const std::string& group, const std::string& member, const Announcement& announcement, TimePoint since);
    bool mayAnyHostRelyOnAnswer(const GroupState& state, const Announcement& announcement) const;
    void onReportedPromotion(const peer::PendingPromotion& wire, TimePoint pingSentAt);
    void applyOrder(const std::string& group, const decisions::RecordedOrder& order, uint64_t previousTerm, std::string_view source);
    void withdrawOrder(const std::string& group, const decisions::RecordedOrder& order);
    bool mayMissOrder(const GroupState& state) const;
    void maintainSuspensions(const std::string& group, const GroupView& groupView, GroupState& state, TimePoint now);
    void releaseSuspensions(const std::string& group);
    static std::optional<std::string> findEarlierSuccessor(const GroupState& state, std::vector<decisions::MemberFinding> replicas, uint64_t newestTerm);
    boost::asio::awaitable<void> checkSuspensions(std::string group);
    boost::asio::awaitable<void> resumeAllReplicas(std::string group, std::string primary);
    // Returns whether all that were suspended have confirmed it.
    boost::asio::awaitable<bool> resumeReplicas(std::string group, std::vector<decisions::MemberFinding> findings);
    struct SuspensionRound;
    boost::asio::awaitable<StatusReport> changeReplication(TargetAddress target, links::StatusQuery query);
    boost::asio::awaitable<void> suspendReplica(TargetAddress target, uint64_t term, std::shared_ptr<SuspensionRound> round);
    boost::asio::awaitable<std::shared_ptr<SuspensionRound>> suspendReplicas(std::string group, std::vector<std::string> members, uint64_t term);
    boost::asio::awaitable<CommitGuard> guardCommits(std::string group, std::string primary, std::string successor, std::vector<decisions::MemberFinding> findings, uint64_t previousTerm);
    boost::asio::awaitable<bool> waitUntilSuccessorHolds(std::string primary, std::string successor, std::vector<decisions::MemberFinding> suspended);
    boost::asio::awaitable<bool> holdWritesForOrder(std::string group, std::string primary, std::string successor);
    boost::asio::awaitable<bool> renewGuard(std::string group, std::string primary, std::string successor, uint64_t previousTerm);
    std::vector<std::string> chooseWitnesses() const;
    size_t countListedMembers(const std::string& group) const;

    PromoterContext m_context;
    std::map<std::string, GroupState> m_groups;
    std::map<uint64_t, std::shared_ptr<Announcement>> m_announcements; // by number
    uint64_t m_lastAnnouncement { 0 };
    TimePoint m_sweptAt {}; // last sweep over all groups
    bool m_isCoordinator { false }; // of any group, as of m_sweptAt
    TimePoint m_orderRejectedAt {}; // when an order was rejected; zero: the last one was not
};

}
