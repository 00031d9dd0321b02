// Replaces primaries: settles beforehand who may order that, gathers evidence when one looks dead or is leaving, and orders it.
// Everything that decides safety stands in decisions/succession.h.
#pragma once
#include "decisions/succession.h"
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
    std::function<void(const TargetAddress&, std::function<void(const StatusReport&)>)> queryLocalStatus; // from this host
    std::function<void(const std::string& group, const std::string& member, milliseconds)> holdWrites; // at this host
    std::function<bool()> hasStore; // this host hears of changes there
    std::function<void(const std::string& group, const decisions::KnownPrimary& before, std::string_view source)> notifyPrimaryChanged; // the belief was changed here
    const bool& isDraining;
};

class Promoter {
public:
    explicit Promoter(PromoterContext context)
        : m_context(std::move(context))
    {
    }

    void applyCoordinatorRecord(const std::string& group, const links::StoreItem& item);
    // Somebody had trouble with a member that is thought to lead, or nobody is known to lead.
    void raiseAlarm(const std::string& group, const std::string& reason);
    // The hosts that may order for a group, the holder first.
    std::vector<std::string> getCoordinators(const std::string& group) const;
    // The groups that this host may order for, and the hosts that it shares that with.
    CoordinatorRole getCoordinatorRole() const;
    // The primary showed that it leads, to this host or another: an alarm from before is void.
    void onPrimaryConfirmed(const std::string& group, TimePoint confirmedAt);
    // Another member is thought to lead, or none: what was due concerned the one before.
    void onPrimaryChanged(const std::string& group);
    // A host ordered a change of primary. Tokens of those ranked before it are spent.
    void onPromotionOrdered(const std::string& group, const std::string& host);
    // What this host can do, for others that would leave a task to it.
    decisions::HostCapabilities getCapabilities() const;
    // Decides what is due. Call every few tens of ms.
    void sweep(TimePoint now);

private:
    struct GroupState {
        decisions::CoordinatorRecord record {};
        uint64_t revision { 0 }; // of the record in the store; 0: there is none
        bool isWritingRecord { false };
        bool mustRenewRecord { false }; // what stands in the store cannot be read
        bool isPromoting { false }; // a change of primary is under way here
        size_t firstUsableRank { 0 }; // orderers ranked before this one can order no more: a higher token was used. The record is to be renewed
        uint64_t orderCount { 0 }; // orders of this host since the record changed: each uses one token
        uint64_t lastFencingToken { 0 }; // that this process used for the group
        TimePoint alarmedAt {}; // zero: no alarm stands
        TimePoint handoverDueAt {}; // zero: the primary does not leave
        TimePoint startedAt {}; // when this host began to look at the group
        TimePoint recordCheckedAt {}; // when it last looked whether the succession is due
        TimePoint nextAttemptAt {};
        TimePoint noPrimarySince {};
        std::string alarmReason {};
        std::string loggedCoordinator {}; // as last logged
    };

    struct DueTask;
    // What a change of primary rests on.
    struct PromotionAttempt {
        decisions::KnownPrimary primary {}; // as it was believed when the change became due
        bool isPlanned { false };
        TimePoint startedAt {}; // what was found out is not older
    };

    bool isLive(const std::string& host) const;
    bool canPerformTask(const std::string& host, decisions::PromotionTask task) const;
    bool isFirstCandidate(const std::string& group) const;
    std::vector<decisions::LiveCandidate> getLiveCandidates(const std::string& group, const GroupState& state) const;
    std::vector<decisions::RankedCandidate> rankLiveHosts(const std::string& group) const;
    std::vector<decisions::CoordinatorState> getCoordinatorStates(const GroupState& state, decisions::PromotionTask task) const;
    // How many orderers act before this one; empty: this one does not.
    std::optional<size_t> getTurnIndex(const GroupState& state, decisions::PromotionTask task) const;
    void logActingCoordinator(const std::string& group, GroupState& state);
    std::optional<DueTask> findDueTask(const GroupBelief& belief, GroupState& state, TimePoint now) const;
    bool isMyTurn(const GroupState& state, const DueTask& due, TimePoint now) const;
    bool mustHandOver(const GroupBelief& belief) const;
    void maintainCoordinatorRecord(const std::string& group, GroupState& state, TimePoint now);
    boost::asio::awaitable<void> writeCoordinatorRecord(std::string group, decisions::CoordinatorRecord record, uint64_t revision);
    boost::asio::awaitable<void> replacePrimary(std::string group, bool isPlanned, std::string cause);
    boost::asio::awaitable<bool> isPrimaryDead(std::string group, TargetAddress primary);
    struct ReplicaQuery;
    // All members but the leader, or `withLeader`: it counts among those that are reached, and is no candidate.
    void queryReplicas(const std::string& group, const std::string& primary, bool includePrimary, const std::shared_ptr<ReplicaQuery>& replicas);
    boost::asio::awaitable<void> queryReplica(MemberBelief member, bool isCandidate, std::shared_ptr<ReplicaQuery> replicas);
    struct PrimaryExamination;
    boost::asio::awaitable<void> examinePrimary(std::string witness, TargetAddress primary, std::shared_ptr<PrimaryExamination> examination);
    boost::asio::awaitable<void> waitForReplicaCatchUp(std::string group, std::string primary);
    // Why a change of primary that was due is not any more; empty: it still is.
    std::string_view findHoldBackReason(const std::string& group, const PromotionAttempt& attempt) const;
    boost::asio::awaitable<bool> orderPromotion(std::string group, std::string member, uint64_t previousTerm, PromotionAttempt attempt);
    boost::asio::awaitable<StatusReport> queryStatus(std::string host, TargetAddress target);
    std::vector<std::string> chooseWitnesses() const;
    size_t countListedMembers(const std::string& group) const;

    PromoterContext m_context;
    std::map<std::string, GroupState> m_groups;
    TimePoint m_sweptAt {}; // when all groups were last looked at
    bool m_isCoordinator { false }; // of any group, as of then
    TimePoint m_orderRejectedAt {}; // when an order was not taken; zero: the last one was
};

}
