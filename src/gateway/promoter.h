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
    std::function<void(const TargetAddress&, std::function<void(const StatusReport&)>)> inquire; // from this host
    std::function<void(const std::string& group, const std::string& member, milliseconds)> holdWrites; // at this host
    std::function<bool()> hasStore; // this host hears of changes there
    std::function<void(const std::string& group, const decisions::KnownPrimary& before, std::string_view source)> noteLead; // the belief was changed here
    const bool& isDraining;
};

class Promoter {
public:
    explicit Promoter(PromoterContext context)
        : m_context(std::move(context))
    {
    }

    void takeSuccession(const std::string& group, const links::StoreItem& item);
    // Somebody had trouble with a member that is thought to lead, or nobody is known to lead.
    void raiseAlarm(const std::string& group, const std::string& reason);
    // The hosts that may order for a group, the holder first.
    std::vector<std::string> getOrderers(const std::string& group) const;
    // The groups that this host may order for, and the hosts that it shares that with.
    OrdererPlace getOrdererPlace() const;
    // The primary showed that it leads, to this host or another: an alarm from before is void.
    void noteProof(const std::string& group, TimePoint provenAt);
    // Another member is thought to lead, or none: what was due concerned the one before.
    void noteNewLead(const std::string& group);
    // A host ordered a change of primary. Tokens of those ranked before it are spent.
    void noteOrder(const std::string& group, const std::string& host);
    // What this host can do, for others that would leave a task to it.
    decisions::HostCapabilities getAbility() const;
    // Decides what is due. Call every few tens of ms.
    void sweep(TimePoint now);

private:
    struct State {
        decisions::CoordinatorRecord succession {};
        uint64_t revision { 0 }; // of the record in the store; 0: there is none
        bool isWriting { false };
        bool mustRenew { false }; // what stands in the store cannot be read
        bool isWorking { false }; // a change of primary is under way here
        size_t spentBelow { 0 }; // orderers ranked before this one can order no more: a higher token was used. The record is to be renewed
        uint64_t decisions { 0 }; // tokens of ours that were used since the succession changed
        uint64_t lastToken { 0 }; // that this process used for the group
        TimePoint alarmedAt {}; // zero: no alarm stands
        TimePoint handoverDueAt {}; // zero: the primary does not leave
        TimePoint startedAt {}; // when this host began to look at the group
        TimePoint checkedAt {}; // when it last looked whether the succession is due
        TimePoint notBefore {};
        TimePoint leaderlessSince {};
        std::string alarm {};
        std::string inCharge {}; // as last logged
    };

    struct Due;
    // What a change of primary rests on.
    struct Occasion {
        decisions::KnownPrimary lead {}; // as it was believed when the change became due
        bool isPlanned { false };
        TimePoint since {}; // what was found out is not older
    };

    bool isLive(const std::string& host) const;
    bool canDo(const std::string& host, decisions::PromotionTask task) const;
    bool isFirst(const std::string& group) const;
    std::vector<decisions::LiveCandidate> getLiveOrderers(const std::string& group, const State& state) const;
    std::vector<decisions::RankedCandidate> rankLive(const std::string& group) const;
    std::vector<decisions::CoordinatorState> getOrdererStates(const State& state, decisions::PromotionTask task) const;
    // How many orderers act before this one; empty: this one does not.
    std::optional<size_t> getPlace(const State& state, decisions::PromotionTask task) const;
    void noteCharge(const std::string& group, State& state);
    std::optional<Due> findDue(const GroupView& belief, State& state, TimePoint now) const;
    bool isMyTurn(const State& state, const Due& due, TimePoint now) const;
    bool mustHandOver(const GroupView& belief) const;
    void keepSuccession(const std::string& group, State& state, TimePoint now);
    boost::asio::awaitable<void> writeSuccession(std::string group, decisions::CoordinatorRecord succession, uint64_t revision);
    boost::asio::awaitable<void> replace(std::string group, bool isPlanned, std::string cause);
    boost::asio::awaitable<bool> isDead(std::string group, TargetAddress leader);
    struct Replicas;
    // All members but the leader, or `withLeader`: it counts among those that are reached, and is no candidate.
    void askReplicas(const std::string& group, const std::string& leader, bool withLeader, const std::shared_ptr<Replicas>& replicas);
    boost::asio::awaitable<void> askReplica(MemberView member, bool isCandidate, std::shared_ptr<Replicas> replicas);
    struct Examination;
    boost::asio::awaitable<void> examine(std::string witness, TargetAddress leader, std::shared_ptr<Examination> examination);
    boost::asio::awaitable<void> waitForReplica(std::string group, std::string leader);
    // Why a change of primary that was due is not any more; empty: it still is.
    std::string_view findObjection(const std::string& group, const Occasion& occasion) const;
    boost::asio::awaitable<bool> order(std::string group, std::string member, uint64_t oldTerm, Occasion occasion);
    boost::asio::awaitable<StatusReport> ask(std::string host, TargetAddress target);
    std::vector<std::string> chooseWitnesses() const;
    size_t countListed(const std::string& group) const;

    PromoterContext m_context;
    std::map<std::string, State> m_states;
    TimePoint m_lookedAt {}; // when all groups were last looked at
    bool m_isOrderer { false }; // of any group, as of then
    TimePoint m_ordersLostAt {}; // when an order was not taken; zero: the last one was
};

}
