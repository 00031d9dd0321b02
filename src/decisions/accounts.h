// Client accounts and the API keys that authenticate their callers.
//
// COMMON MISTAKES
//   - Storing a key. Only its digest is stored, and neither appears in logs, metrics or errors.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace alderward::decisions {

// The first half of a key's SHA-256, truncated to keep messages between hosts short. Callers cannot choose digests, so the lookup time reveals nothing about
// other keys.
using KeyDigest = std::array<uint8_t, 16>;

KeyDigest digestKey(std::string_view key);
// Formats a digest as hexadecimal digits.
std::string formatDigest(const KeyDigest& digest);
// Returns nullopt unless the text has the exact form that formatDigest() writes.
std::optional<KeyDigest> parseDigest(std::string_view text);

// The rate limit of an account, over all hosts.
struct AccountQuota {
    double perSecond { 0 }; // operations
    double burst { 0 }; // operations in excess of the rate
    friend bool operator==(const AccountQuota&, const AccountQuota&) = default;
};

struct ClientAccount {
    std::string name {}; // as sent to targets
    std::optional<AccountQuota> quota {}; // nullopt: unlimited
    friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

struct Accounts {
    std::map<std::string, ClientAccount> byName {};
    std::map<KeyDigest, std::string> keys {}; // account names by key
    friend bool operator==(const Accounts&, const Accounts&) = default;
};

// Returns the account that owns the key, or nullptr.
const ClientAccount* findAccount(const Accounts& accounts, const KeyDigest& key);
// Returns nullptr if the account is unknown or unlimited.
const AccountQuota* findQuota(const Accounts& accounts, const std::string& account);
// Returns the weight by which the account shares a member with others: its quota's rate, or the mean rate if it has no quota.
double getAccountWeight(const Accounts& accounts, const std::string& account);

}
