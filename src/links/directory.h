// Interface to a platform: the operators' configuration, the registered members and hosts, the key-value store that holds
// them, and promotion orders. An adapter converts the platform's formats into these types; src/gateway uses them.
#pragma once
#include "decisions/accounts.h"
#include "decisions/statement.h"
#include "links/http.h"
#include "links/statement_codec.h"
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>

namespace alderward::links {

// ---- configuration and registrations ----

// Operators' limits for one database group.
struct GroupLimits {
    unsigned connectionsPerMember { 0 }; // from all hosts together; a member refuses more
    unsigned synchronousReplicas { 0 }; // replicas that store a commit before it is acknowledged
    friend bool operator==(const GroupLimits&, const GroupLimits&) = default;
};

// What a host does with an item of the configuration that it cannot use as written.
enum class ItemUse {
    LeftOut, // as if it were not there
    Restricted, // in force, with the strictest reading of the field
    Limited, // in force, with the largest value that can be used
};

// A field of the configuration that is not in force as written.
struct ConfigurationProblem {
    std::string item {}; // such as "route orders", or its position in the document
    std::string field {}; // empty: the whole item
    std::string reason {}; // contains no value of the field, which may be an API key
    ItemUse use { ItemUse::LeftOut };
    friend bool operator==(const ConfigurationProblem&, const ConfigurationProblem&) = default;
};

// "left-out", "restricted" or "limited".
constexpr std::string_view getItemUseName(ItemUse use)
{
    return use == ItemUse::LeftOut ? "left-out" : use == ItemUse::Restricted ? "restricted"
                                                                             : "limited";
}

// One version of the operators' configuration.
struct GatewayConfiguration {
    uint64_t version { 0 };
    std::map<std::string, decisions::DatabaseRoute> routes {}; // by database name
    std::map<std::string, GroupLimits> groups {};
    std::optional<decisions::Accounts> accounts {}; // empty: the platform has no accounts, and callers need no key
    base::milliseconds transactionIdle { 0 }; // a transaction idle for longer may be rolled back; 0: never
    std::vector<ConfigurationProblem> problems {}; // with items that are not in force as written
    friend bool operator==(const GatewayConfiguration&, const GatewayConfiguration&) = default;
};

// Distinguishes the runs of a member's process. A member that restarts keeps its id but none of its previous state.
struct MemberIncarnation {
    uint64_t startedAtMs { 0 }; // start time reported by the member, in ms since the epoch; 0: not reported
    uint64_t sequence { 0 }; // number of its writes to the store entry; starts over with each run
    friend bool operator==(const MemberIncarnation&, const MemberIncarnation&) = default;
};

// A member of a database group as it registered itself.
struct RegisteredMember {
    std::string id {};
    std::string group {};
    std::string address {};
    std::string dataCentre {};
    unsigned slots { 1 }; // statements that it runs concurrently
    bool isLeaving { false };
    bool saysPrimary { false }; // the member's own report of its role; may be out of date
    MemberIncarnation incarnation {};
    friend bool operator==(const RegisteredMember&, const RegisteredMember&) = default;
};

// Another host of the system as it registered itself.
struct RegisteredHost {
    std::string name {};
    std::string address {}; // where other hosts connect
    std::string dataCentre {};
    uint64_t incarnation { 0 }; // differs between the runs of a host's process
    friend bool operator==(const RegisteredHost&, const RegisteredHost&) = default;
};

// ---- the store ----

struct StoreItem {
    std::string key {};
    std::string value {};
    uint64_t revision { 0 }; // of its last change
    uint64_t lease { 0 }; // the item is deleted when this lease expires; 0: no lease
    bool isDeleted { false }; // only in changes returned by watch()
};

struct StoreItems {
    std::vector<StoreItem> items {};
    uint64_t revision { 0 }; // of the whole store
    bool hasMore { false };
};

// Why a call to the store failed.
enum class StoreErrorKind {
    Unreachable, // no response; a change may have been applied, or may yet be
    Refused, // rejected without effect: the store is busy, or there are too many calls
    NotFound,
    Conflict, // a condition of change() did not hold
    HistoryLost, // the store no longer has the changes since that revision: list again
    Malformed, // unreadable response
    TooLarge, // the response exceeds what is read at once
};

struct StoreError {
    StoreErrorKind kind { StoreErrorKind::Unreachable };
    std::string reason {};
    std::vector<StoreItem> items {}; // Conflict: the current items
};

template <typename T>
using AsyncStoreResult = boost::asio::awaitable<tl::expected<T, StoreError>>;

// An atomic, conditional change of several keys.
struct StoreChange {
    std::vector<std::pair<std::string, uint64_t>> expected {}; // key and its current revision; 0: the key must not exist
    std::vector<StoreItem> puts {}; // key, value and lease
    std::vector<std::string> deletes {};
};

class Store {
public:
    virtual ~Store() = default;
    virtual AsyncStoreResult<StoreItem> get(std::string key, base::TimePoint deadline) = 0;
    // Returns a page of items whose keys follow `after`. `isStaleAllowed` makes the call cheaper, but the data may be seconds old.
    virtual AsyncStoreResult<StoreItems> list(std::string prefix, std::string after, bool isStaleAllowed, base::TimePoint deadline) = 0;
    // Waits up to `wait` for changes after a revision, on a separate connection.
    virtual AsyncStoreResult<StoreItems> watch(std::string prefix, uint64_t after, base::milliseconds wait) = 0;
    virtual AsyncStoreResult<uint64_t> change(StoreChange change, base::TimePoint deadline) = 0;
    virtual AsyncStoreResult<uint64_t> grantLease(base::milliseconds ttl, base::TimePoint deadline) = 0;
    virtual AsyncStoreResult<void> renewLease(uint64_t lease, base::TimePoint deadline) = 0;
    // Makes a pending watch() return with StoreErrorKind::Unreachable.
    virtual void cancelWatch() = 0;
};

// ---- orders to the platform ----

enum class PromotionResult {
    Done,
    Outranked, // the platform has seen a higher fencing token, so a later order takes precedence
    NotRunning, // the member is not running and cannot be promoted
    Busy, // rejected: too many calls
    Unknown, // no response: the promotion may still be executed
};

struct PromotionOrder {
    std::string group {};
    std::string member {};
    std::string coordinator {}; // name of the ordering host
    uint64_t fencingToken { 0 }; // increases with each change of coordinator
};

// ---- a platform ----

class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;
    virtual const StatementCodec& getCodec() const = 0;
    virtual Store& getStore() = 0;
    // Keys in the store.
    virtual std::string getConfigurationKey() const = 0;
    virtual std::string getMembersPrefix() const = 0;
    virtual tl::expected<GatewayConfiguration, std::string> parseConfiguration(const std::string& value) const = 0;
    // Replaces each API key of a configuration by its digest, so that it can be sent to other hosts. parseConfiguration() accepts both.
    virtual std::string replaceKeysWithDigests(const std::string& value) const = 0;
    virtual tl::expected<RegisteredMember, std::string> parseMember(const std::string& key, const std::string& value) const = 0;
    // Removes the fields of a member's entry that parseMember() does not use. Empty: the entry cannot be read at all.
    virtual std::string compactMember(const std::string& value) const = 0;
    virtual boost::asio::awaitable<PromotionResult> promote(PromotionOrder order, base::TimePoint deadline) = 0;
    // HTTP path at which the platform's load balancer checks this host's readiness.
    virtual std::string getReadyPath() const = 0;
};

}
