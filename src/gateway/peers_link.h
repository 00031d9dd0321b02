// Shared by peers.cpp (health of other hosts) and peers_messages.cpp (messages to and from them).
#pragma once
#include "gateway/peers.h"

namespace alderward::gateway {

inline constexpr milliseconds kReportLifetime { 2000 }; // of loads and reachability; must outlast two failed exchanges
inline constexpr double kInitialRoundTripMs = 10; // before the first answer

// A statement request that another host has not answered yet.
struct PendingCall {
    RequestCallback done;
    std::string member;
    TimePoint expiresAt;
    TimePoint sentAt;
};

// A connection that this host opened.
struct Peers::Link {
    links::RegisteredHost host;
    std::shared_ptr<links::Channel> channel;
    Partner partner {};
    bool isUp { true };
    bool isLeaving { false };
    decisions::HostCapabilities capabilities {};
    TimePoint lastUsedAt {}; // when something other than a ping was last sent
    bool hasAnswered { false }; // a ping on the current connection
    TimePoint lastReceivedAt {}; // on the current connection, or when it was started
    TimePoint lastPongAt {}; // on any connection to the host
    TimePoint lastPingAt {};
    TimePoint membersRequestedAt {};
    TimePoint connectStartedAt {};
    TimePoint earliestConnectAt {};
    uint64_t pingNumber { 0 };
    uint64_t lastCall { 0 };
    std::map<uint64_t, TimePoint> pendingPings; // when sent, by number
    std::unordered_map<uint64_t, PendingCall> calls;
    std::unordered_map<uint64_t, std::function<void(const StatusReport&)>> statusQueries;
    Loads loads;
    std::set<std::string> reportedUnusable; // hosts; from its last pong, if it is a relay
    bool wasSlowToConnect { false }; // at the last sweep
    std::map<std::string, TimePoint> missingMembers; // unknown to the host; when it reported that
    double roundTripMs { kInitialRoundTripMs };
    bool isPartner() const { return partner.interval.count() > 0; }
};

}
