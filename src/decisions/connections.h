// Which connections to a member are opened, and which one is given up for another. A connection belongs to one client account, and a member takes
// far fewer than there are accounts, so they are kept like pages of memory: a new one takes a slot of the member for some ms and is paid for.
//
// The load that this answers: many accounts, each with a few operations a second, before one member. Without care it collapses and stays so: a connection
// is opened for one account, given up for another before it has served, and both slots of the member are taken by newcomers that serve nobody.
// So no connection is given up before it has served, no more than one is on its way for an account, and an account whose connections come free within a
// statement's time waits for them.
//
// COMMON MISTAKES
//   - Opening for whoever waits longest. If that one's connections are all under way, the place is lost to the others.
#pragma once
#include "decisions/freshness.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace alderward::decisions {

// A connection as it stands.
struct HeldConnection {
    std::string_view account {};
    bool isIdle { false }; // nothing runs on it and no transaction holds it
    bool isSoonFree { false }; // a statement outside a transaction runs on it
    bool hasServed { false };
    TimePoint usedAt {}; // when something last ended on it, or when it was opened
};

// What one account wants, by what waits for a connection of it.
struct AccountDemand {
    std::string_view account {};
    size_t waiting { 0 }; // operations, the most urgent first in the list of accounts
    size_t opening { 0 }; // connections on their way
};

struct ConnectionRoom {
    size_t most { 1 }; // connections, those on their way included
    size_t opening { 0 }; // of all accounts
    size_t openingMost { 1 };
};

struct ConnectionStep {
    std::string account {}; // whose connection is to be opened
    std::optional<size_t> givenUp {}; // index of the connection that makes room for it
    friend bool operator==(const ConnectionStep&, const ConnectionStep&) = default;
};

// The next connection to open, if there is one: `demands` in the order in which accounts are to be served.
std::optional<ConnectionStep> planOpening(const std::vector<HeldConnection>& held, const std::vector<AccountDemand>& demands, const ConnectionRoom& room, TimePoint now);

}
