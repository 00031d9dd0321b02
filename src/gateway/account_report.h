// The JSON document at GET /accounts of the metrics address: what this host knows of each client account. `alderctl accounts` adds up the documents of all hosts.
// It holds names of accounts and members, never API keys.
#pragma once
#include "decisions/quota.h"
#include "gateway/target_pool.h"
#include <map>
#include <optional>
#include <string>

namespace alderward::gateway {

// Operations of one account on this host, since its process started.
struct AccountCounts {
    uint64_t asked { 0 };
    uint64_t begun { 0 }; // admitted, with or without a grant
    uint64_t granted { 0 }; // of those, with a grant
    uint64_t ownBucket { 0 }; // of those, from the host's own share while no quota server answered
    uint64_t returned { 0 }; // of those, refused later without being sent to a member
    std::map<std::pair<std::string, int>, uint64_t> refused {}; // by reason and priority
};

// State of an account's token bucket on a quota server.
struct AccountBucket {
    decisions::AccountStatus status {};
    size_t reportingHosts { 0 };
    milliseconds reportAge { 0 }; // of the newest report
};

struct AccountReport {
    AccountCounts counts {};
    std::map<std::string, AccountPoolUse> pools {}; // by member
    std::optional<AccountBucket> bucket {}; // set if this host is the account's quota server
};

using AccountReports = std::map<std::string, AccountReport>; // by account

std::string formatAccountReports(const std::string& host, uint64_t configurationVersion, const AccountReports& reports);

}
