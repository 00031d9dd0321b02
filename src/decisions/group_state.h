// State of one group at one of its homes: record, health and failover, changed by a single function. A controller passes
// events in and performs the returned actions. The same events always give the same actions, so that a recorded trace can
// be replayed (decisions/trace.h).
#pragma once
#include "decisions/failover.h"
#include "decisions/health.h"
#include <variant>
#include <vector>

namespace alderward::decisions {

struct GroupState {
    GroupRecord record {};
    std::vector<bool> isLeaving {}; // by member index; from the record or the platform's list
    size_t rank { 0 }; // position of this host among the group's homes; 0 starts first
    GroupHealth health {};
    FailoverState failover {};
    uint64_t lastReportedTerm { 0 }; // term of the last primary that was added to the timeline
    friend bool operator==(const GroupState&, const GroupState&) = default;
};

// ---- events ----

// The record, the list of leaving members or the homes changed.
struct GroupConfigurationChanged {
    GroupRecord record {};
    std::vector<bool> isLeaving {}; // by member index
    size_t rank { 0 };
    friend bool operator==(const GroupConfigurationChanged&, const GroupConfigurationChanged&) = default;
};

// The host has become a home of the group, or resumes after a change of the record.
struct ServingStarted {
    friend bool operator==(const ServingStarted&, const ServingStarted&) = default;
};

struct StatusAnswered {
    size_t member { 0 };
    MemberStatus status {};
    TimePoint askedAt {};
    friend bool operator==(const StatusAnswered&, const StatusAnswered&) = default;
};

struct PiggybackedStatusReceived {
    size_t member { 0 };
    PiggybackedStatus status {};
    TimePoint askedAt {};
    friend bool operator==(const PiggybackedStatusReceived&, const PiggybackedStatusReceived&) = default;
};

struct ProbeFailed {
    size_t member { 0 };
    bool wasRefused { false }; // the connection was refused
    TimePoint askedAt {};
    friend bool operator==(const ProbeFailed&, const ProbeFailed&) = default;
};

using GroupEvent = std::variant<GroupConfigurationChanged, ServingStarted, StatusAnswered, PiggybackedStatusReceived, ProbeFailed, FailoverEvent>;

struct GroupStep {
    GroupState state {};
    std::vector<FailoverAction> actions {};
    bool hasNotableChange { false }; // the primary, the term or a member's reachability changed
};

GroupStep stepGroup(GroupState state, const GroupEvent& event, TimePoint now);

FailoverContext makeFailoverContext(const GroupState& state);

}
