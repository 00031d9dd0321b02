// Keeps back the answers to commits in groups with synchronous replicas while a promotion order may be carried out, until the member of the order has
// received them. Rules: decisions/commit_confirmation.h.
#pragma once
#include "decisions/commit_confirmation.h"
#include "gateway/cluster_view.h"
#include "gateway/peer_codec.h"
#include <boost/asio/io_context.hpp>

namespace alderward::gateway {

// The members of a group that may be promoted at any moment.
struct PossibleSuccessors {
    std::vector<std::string> members {};
    bool areUnknown { false }; // this host may not have been told of an order: `members` are all of the group
};

struct CommitGateContext {
    boost::asio::io_context& context;
    const ClusterView& view;
    const links::StatementCodec& codec;
    std::string hostName;
    std::function<PossibleSuccessors(const std::string& group)> getPossibleSuccessors;
    // Asks a member for its status through another host, if this one does not reach it.
    std::function<void(const TargetAddress&, std::function<void(const StatusReport&)>)> queryStatusFromAnyHost;
};

class CommitGate {
public:
    using DoneCallback = std::function<void(bool isConfirmed)>;

    explicit CommitGate(CommitGateContext context)
        : m_context(std::move(context))
    {
    }

    // Calls `done` once, possibly from within confirm(): whether a promotion cannot lose the commit. Not confirmed after `deadline`.
    void confirm(const AcknowledgedCommit& commit, TimePoint deadline, DoneCallback done);
    // The term that the member is known to lead now, for AcknowledgedCommit::termBefore. 0: the group has no synchronous replicas.
    uint64_t getKnownTerm(const TargetAddress& primary) const;
    // The groups with synchronous replicas in which this host has run commits lately.
    std::vector<std::string> getActiveGroups(TimePoint now) const;
    // Ends waits that are over and asks members that are due. Call every few tens of ms.
    void sweep(TimePoint now);

private:
    struct WaitingCommit {
        std::string group;
        std::string primary;
        uint64_t termBefore { 0 };
        decisions::UnconfirmedCommit commit {};
        TimePoint deadline {};
        TimePoint waitsSince {};
        DoneCallback done {};
    };
    // A connection for status queries that is kept while commits wait.
    struct StatusLink {
        std::shared_ptr<TargetSession> session {};
        bool isAsking { false };
        TimePoint askedAt {};
        TimePoint lastUsedAt {};
    };
    using StatusLinkPtr = std::shared_ptr<StatusLink>;

    bool isSynchronous(const std::string& group) const;
    PossibleSuccessors getSuccessors(const std::string& group, const std::string& primary) const;
    decisions::Confirmation judge(const WaitingCommit& waiting) const;
    decisions::Confirmation judgeNewTerm(const WaitingCommit& waiting) const;
    void finish(WaitingCommit& waiting, bool isConfirmed) const;
    void finishJudged(TimePoint now);
    void askSuccessors(TimePoint now);
    void ask(const TargetAddress& target, TimePoint now);
    void openLink(const TargetAddress& target, const StatusLinkPtr& link);
    void sendQuery(const TargetAddress& target, const StatusLinkPtr& link);
    void handleStatus(const TargetAddress& target, const links::TargetStatus& status);
    void closeUnusedLinks(TimePoint now);

    CommitGateContext m_context;
    std::vector<WaitingCommit> m_waiting;
    std::map<std::string, StatusLinkPtr> m_links; // by member
    std::map<std::string, TimePoint> m_committedAt; // by group
};

}
