// One group as one of its homes knows it: record, health and failover in one value, and the one function that changes it.
// A controller feeds it what comes in and carries out what it asks for. The same events give the same actions again, which
// is what a recorded trace is replayed for (decisions/trace.h).
#pragma once
#include "decisions/failover.h"
#include "decisions/health.h"
#include <variant>
#include <vector>

namespace alderward::decisions {

struct GroupState {
    GroupRecord record {};
    std::vector<bool> isLeaving {}; // by member: the record or the platform's list says so
    size_t rank { 0 }; // this host's turn among the homes; 0 goes first
    GroupHealth health {};
    FailoverState failover {};
    uint64_t lastReportedTerm { 0 }; // of the newest primary that was noted
    friend bool operator==(const GroupState&, const GroupState&) = default;
};

// ---- events ----

// The record, the list of leaving members or the homes changed.
struct GroupConfigurationChanged {
    GroupRecord record {};
    std::vector<bool> isLeaving {}; // by member
    size_t rank { 0 };
    friend bool operator==(const GroupConfigurationChanged&, const GroupConfigurationChanged&) = default;
};

// The host has become a home, or works anew after a change of the record.
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
    PiggybackedStatus piggybacked {};
    TimePoint askedAt {};
    friend bool operator==(const PiggybackedStatusReceived&, const PiggybackedStatusReceived&) = default;
};

struct ProbeFailed {
    size_t member { 0 };
    bool wasRefused { false }; // nothing listens there
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
