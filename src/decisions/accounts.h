// Client accounts: on whose behalf a caller speaks, by the key that it brings.
//
// COMMON MISTAKES
//   - Keeping a key. Only its digest is kept, and a digest goes into no log, metric or error either.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace alderward::decisions {

// The first half of a key's SHA-256: short enough to be told to other hosts by the hundred. Whoever presents a key cannot choose its digest, so the time that a look-up takes tells nothing about other keys.
using KeyDigest = std::array<uint8_t, 16>;

KeyDigest digestKey(std::string_view key);
// As hexadecimal digits, and back; nullopt for all else.
std::string formatDigest(const KeyDigest& digest);
std::optional<KeyDigest> parseDigest(std::string_view text);

// How many operations an account may begin, over all hosts.
struct AccountQuota {
    double perSecond { 0 }; // operations
    double burst { 0 }; // operations at once, on top of that
    friend bool operator==(const AccountQuota&, const AccountQuota&) = default;
};

struct ClientAccount {
    std::string name {}; // as targets are told it
    std::optional<AccountQuota> quota {}; // empty: it may begin as many as it likes
    friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

struct Accounts {
    std::map<std::string, ClientAccount> byName {};
    std::map<KeyDigest, std::string> keys {}; // the name of the account that holds each
    friend bool operator==(const Accounts&, const Accounts&) = default;
};

// The account that holds the key; nullptr if none does.
const ClientAccount* findAccount(const Accounts& accounts, const KeyDigest& key);
const AccountQuota* findQuota(const Accounts& accounts, const std::string& account);

}
