// What a platform tells a host about the world, in the product's own types: operators' configuration, members of database groups, other
// hosts; and the calls that change something there. A carrier decodes its platform's formats into these; src/gateway decides what
// to make of them.
#pragma once
#include "decisions/accounts.h"
#include "decisions/statement.h"
#include "links/http.h"
#include "links/statement_codec.h"
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>

namespace alderward::links {

// ---- what is known ----

// Operators' limits for one database group.
struct GroupLimits {
    unsigned connectionsPerMember { 0 }; // of all hosts together; a member refuses more
    unsigned synchronousReplicas { 0 }; // replicas that hold a commit before it is acknowledged
    friend bool operator==(const GroupLimits&, const GroupLimits&) = default;
};

// Operators' configuration of one version, whole.
struct GatewayConfiguration {
    uint64_t version { 0 };
    std::map<std::string, decisions::DatabaseRoute> routes {}; // by database
    std::map<std::string, GroupLimits> groups {};
    std::optional<decisions::Accounts> accounts {}; // empty: the platform knows none, and callers need no key
    base::milliseconds transactionIdle { 0 }; // a transaction that rests for longer may be ended; 0: never
    friend bool operator==(const GatewayConfiguration&, const GatewayConfiguration&) = default;
};

// What tells one run of a member's process from the next: it may start again under the id that it had, and then holds and knows nothing of before.
struct MemberIncarnation {
    uint64_t startedAtMs { 0 }; // when it started, as it says itself, in ms since 1970; 0: it does not say
    uint64_t sequence { 0 }; // its count of what it has written, which begins anew with it
    friend bool operator==(const MemberIncarnation&, const MemberIncarnation&) = default;
};

// A member of a database group as it registered itself.
struct RegisteredMember {
    std::string id {};
    std::string group {};
    std::string address {};
    std::string dataCentre {};
    unsigned slots { 1 }; // statements that it runs at a time
    bool isLeaving { false };
    bool saysPrimary { false }; // its own view of its role, which may be out of date
    MemberIncarnation incarnation {};
    friend bool operator==(const RegisteredMember&, const RegisteredMember&) = default;
};

// Another host of the system as it registered itself.
struct RegisteredHost {
    std::string name {};
    std::string address {}; // for other hosts
    std::string dataCentre {};
    uint64_t incarnation { 0 }; // differs for each start of a process
    friend bool operator==(const RegisteredHost&, const RegisteredHost&) = default;
};

// ---- the store ----

struct StoreItem {
    std::string key {};
    std::string value {};
    uint64_t revision { 0 }; // of its last change
    uint64_t lease { 0 }; // it goes with this lease; 0: it stays
    bool isDeleted { false }; // changes only
};

struct StoreItems {
    std::vector<StoreItem> items {};
    uint64_t revision { 0 }; // of the whole store
    bool hasMore { false };
};

// Why a call to the store did not do what was asked.
enum class StoreErrorKind {
    Unreachable, // no answer; a change may have been made or may yet be
    Refused, // the store said that it did nothing: busy, or too many calls
    NotFound,
    Conflict, // a condition did not hold
    HistoryLost, // changes since the revision are forgotten: list again
    Malformed, // an answer that cannot be read
};

struct StoreError {
    StoreErrorKind kind { StoreErrorKind::Unreachable };
    std::string reason {};
    std::vector<StoreItem> items {}; // Conflict: what stands there
};

template <typename T>
using AsyncStoreResult = boost::asio::awaitable<tl::expected<T, StoreError>>;

// A change of several keys under conditions, all or nothing.
struct StoreChange {
    std::vector<std::pair<std::string, uint64_t>> expected {}; // key and revision; 0: it does not exist
    std::vector<StoreItem> puts {}; // key, value and lease
    std::vector<std::string> deletes {};
};

class Store {
public:
    virtual ~Store() = default;
    virtual AsyncStoreResult<StoreItem> get(std::string key, base::TimePoint deadline) = 0;
    // One page behind the key `after`. `mayBeStale` is cheaper and may be seconds old.
    virtual AsyncStoreResult<StoreItems> list(std::string prefix, std::string after, bool isStaleAllowed, base::TimePoint deadline) = 0;
    // Waits up to `wait` for changes behind a revision, on a connection of its own.
    virtual AsyncStoreResult<StoreItems> watch(std::string prefix, uint64_t after, base::milliseconds wait) = 0;
    virtual AsyncStoreResult<uint64_t> change(StoreChange change, base::TimePoint deadline) = 0;
    virtual AsyncStoreResult<uint64_t> grantLease(base::milliseconds ttl, base::TimePoint deadline) = 0;
    virtual AsyncStoreResult<void> renewLease(uint64_t lease, base::TimePoint deadline) = 0;
    // Ends the watch that waits, if one does, as unreachable.
    virtual void cancelWatch() = 0;
};

// ---- orders to the platform ----

enum class PromotionResult {
    Done,
    Outranked, // a higher token was seen: another host is in charge
    NotRunning, // the member cannot lead
    Busy, // not taken: too many calls
    Unknown, // no answer: it may still be carried out
};

struct PromotionOrder {
    std::string group {};
    std::string member {};
    std::string holder {}; // name of the ordering host
    uint64_t token { 0 }; // rises with each change of holder
};

// ---- a platform ----

class PlatformAdapter {
public:
    virtual ~PlatformAdapter() = default;
    virtual const StatementCodec& getCodec() const = 0;
    virtual Store& getStore() = 0;
    // Where things lie in the store.
    virtual std::string getConfigurationKey() const = 0;
    virtual std::string getMembersPrefix() const = 0;
    virtual tl::expected<GatewayConfiguration, std::string> parseConfiguration(const std::string& value) const = 0;
    // The same configuration with a digest in place of each key, for other hosts; parseConfiguration() reads it as well.
    virtual std::string replaceKeysWithDigests(const std::string& value) const = 0;
    virtual tl::expected<RegisteredMember, std::string> parseMember(const std::string& key, const std::string& value) const = 0;
    virtual boost::asio::awaitable<PromotionResult> promote(PromotionOrder order, base::TimePoint deadline) = 0;
    // The path that the platform's balancer asks for this host's readiness.
    virtual std::string getReadyPath() const = 0;
};

}
