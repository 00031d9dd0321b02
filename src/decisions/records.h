// Configuration records: what operators write and hosts obey. Reading, checking, comparing; no I/O.
// The store keeps an envelope around each record, so that changes carry an id and a short history.
#pragma once
#include "decisions/errors.h"
#include "decisions/hashing.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace alderward::decisions {

inline constexpr std::string_view kGroupPrefix = "alderward/groups/"; // records of database groups
inline constexpr std::string_view kClaimPrefix = "alderward/claims/"; // who promoted what, for operators and limits
inline constexpr std::string_view kHostListPrefix = "platform/hosts/"; // the platform's late list of hosts
inline constexpr size_t kChangeHistoryLimit = 16; // changes kept in a record's envelope

enum class Acknowledge {
    Replicated, // a majority holds the write: no acknowledged write is lost by a promotion
    Primary, // the primary holds it: faster, and a promotion can lose the newest writes
};

enum class PromotionMode { Automatic,
    Off };

struct MemberRecord {
    std::string name {}; // unique in the group
    std::string address {}; // ip:port
    std::string dataCentre {};
    bool canFence { true }; // false: promoted only with a claim in the platform's store
    bool isLeaving { false }; // true: no new work within 3 s; a primary is handed over first
    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

struct PromotionLimits {
    PromotionMode mode { PromotionMode::Automatic };
    milliseconds minInterval { 10000 }; // ms; between two automatic promotions
    unsigned maxPerHour { 6 }; // automatic promotions in any hour
    friend bool operator==(const PromotionLimits&, const PromotionLimits&) = default;
};

// A database group's record in its newest form (schema 2). Schema 1 is read into the same struct.
struct GroupRecord {
    std::string name {}; // the key's last part
    std::vector<MemberRecord> members {};
    std::vector<std::string> hosts {}; // hosts that front it; empty: all
    unsigned connectionLimit { 16 }; // connections a member takes from all hosts together
    unsigned slots { 2 }; // statements a member runs at once
    std::map<std::string, milliseconds> readKinds {}; // maximum age by kind of read
    Acknowledge acknowledge { Acknowledge::Replicated };
    PromotionLimits promotion {};
    bool isRetired { false }; // true: the group is no longer served
    friend bool operator==(const GroupRecord&, const GroupRecord&) = default;

    const MemberRecord* findMember(const std::string& member) const;
    size_t getMajority() const { return members.size() / 2 + 1; }
};

// What is wrong with a record, and where.
struct RecordProblem {
    size_t line { 0 }; // from 1; 0: the problem has no line
    std::string field {}; // like "members[1].address"
    std::string message {};
    friend bool operator==(const RecordProblem&, const RecordProblem&) = default;
};

std::string formatProblem(const RecordProblem& problem);

// Reads and checks a record as operators write it: JSON with "schema" 1 or 2.
tl::expected<GroupRecord, RecordProblem> parseGroupRecord(const std::string& name, const std::string& text);

// Who changed a record, and under which id the change can be found again.
struct Change {
    std::string id {}; // random; a retry looks for it before it writes again
    std::string by {}; // operator's name
    uint64_t atMs { 0 }; // wall clock, ms since the epoch
    std::string summary {}; // one line
    friend bool operator==(const Change&, const Change&) = default;
};

// What the store keeps at a record's key.
struct Envelope {
    std::string record {}; // the operator's JSON
    std::vector<Change> changes {}; // newest first, at most kChangeHistoryLimit
    friend bool operator==(const Envelope&, const Envelope&) = default;
};

std::string formatEnvelope(const Envelope& envelope);
tl::expected<Envelope, RecordProblem> parseEnvelope(const std::string& text);

// One stored value as hosts pass it on: the store's revision is its version and never goes back.
struct VersionedValue {
    uint64_t version { 0 };
    std::string value {};
    friend bool operator==(const VersionedValue&, const VersionedValue&) = default;
};

// All values that a host knows, by key. The same struct holds records and the platform's host list.
using ValueMap = std::map<std::string, VersionedValue>;

// Takes a value in if it is newer than the known one. Returns whether it was. Versions never go back.
bool updateIfNewer(ValueMap& values, const std::string& key, const VersionedValue& value);

// One number that is equal for equal (key, version) sets, whatever their order.
uint64_t getDigest(const ValueMap& values);
// The same by parts of the keys.
BucketDigests getBucketDigests(const ValueMap& values);

// The platform's entry for one host or target, as far as we read it.
struct PlatformHost {
    std::string name {};
    std::string dataCentre {};
    std::string peerAddress {};
    std::string callerAddress {};
    std::string operatorAddress {};
    bool isLeaving { false };
    friend bool operator==(const PlatformHost&, const PlatformHost&) = default;
};

tl::expected<PlatformHost, RecordProblem> parsePlatformHost(const std::string& name, const std::string& text);

}
