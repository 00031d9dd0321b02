// Decides which connections a target's pool opens and which idle ones it evicts for them. Each connection belongs to one client account, and a target
// accepts far fewer connections than there are accounts, so the pool works as a least-recently-used cache. Opening one occupies a slot of the target.
//
// Guards against thrashing, where connections are evicted before they have served and the slots are taken by openings that serve nobody. Therefore
// a connection that has not served is kept for a while, an account opens one connection at a time, and it waits for its busy connections while few operations queue for them.
// An account that uses more than its share of the member keeps at least one connection, and loses others only to accounts that hold fewer than they keep.
//
// COMMON MISTAKES
//   - Opening a connection for the account that has waited longest. If its connections are already being opened, other accounts lose the capacity.
#pragma once
#include "decisions/freshness.h"
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace alderward::decisions {

// The state of an open connection.
struct PooledConnection {
    std::string_view account {};
    bool isIdle { false }; // nothing runs on it and no transaction holds it
    bool isRunningStatement { false }; // executes a statement outside a transaction, so it is idle soon
    bool hasServed { false };
    TimePoint lastUsedAt {}; // end of its latest operation, or when it was opened
};

// The operations of one account that wait for a connection.
struct AccountDemand {
    std::string_view account {};
    size_t waiting { 0 }; // operations
    size_t opening { 0 }; // connections being opened
    // Connections that the account keeps while others wait for one. At this number it evicts none, and its idle ones above it can be evicted.
    size_t kept { std::numeric_limits<size_t>::max() };
};

struct ConnectionCapacity {
    size_t maxConnections { 1 }; // including those being opened
    size_t opening { 0 }; // connections being opened, for all accounts
    size_t maxOpening { 1 };
};

struct OpeningPlan {
    std::string account {}; // to open a connection for
    std::optional<size_t> evicted {}; // index of the connection to close first
    friend bool operator==(const OpeningPlan&, const OpeningPlan&) = default;
};

// Returns the next connection to open, if any. `demands` is in order of urgency.
std::optional<OpeningPlan> planOpening(const std::vector<PooledConnection>& pooled, const std::vector<AccountDemand>& demands, const ConnectionCapacity& capacity, TimePoint now);

}
