// Configuration records that operators write: parsing, validation, comparison; no I/O.
// The store keeps each record in an envelope with its most recent changes.
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
inline constexpr std::string_view kClaimPrefix = "alderward/claims/"; // claims of promotions, for operators and rate limits
inline constexpr std::string_view kHostListPrefix = "platform/hosts/"; // the platform's list of hosts; it can be out of date
inline constexpr size_t kChangeHistoryLimit = 16; // changes kept in an envelope

enum class Acknowledge {
    Replicated, // once a majority holds it: a promotion loses no acknowledged write
    Primary, // once the primary holds it: faster, but a promotion can lose the newest writes
};

enum class PromotionMode { Automatic,
    Off };

struct MemberRecord {
    std::string name {}; // unique in the group
    std::string address {}; // ip:port
    std::string dataCentre {};
    bool canFence { true }; // false: promotions need a claim in the platform's store
    bool isLeaving { false }; // gets no new work; a primary still does for a short grace period, and its role is handed over if possible
    friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

struct PromotionLimits {
    PromotionMode mode { PromotionMode::Automatic };
    milliseconds minInterval { 10000 }; // between two automatic promotions
    unsigned maxPerHour { 6 }; // automatic promotions in any hour
    friend bool operator==(const PromotionLimits&, const PromotionLimits&) = default;
};

// A database group's record (schema 2). Schema 1 is read into the same struct.
struct GroupRecord {
    std::string name {}; // last part of the key in the store
    std::vector<MemberRecord> members {};
    std::vector<std::string> hosts {}; // hosts that may serve it; empty: all
    unsigned connectionLimit { 16 }; // connections to one member from all hosts together
    unsigned slots { 2 }; // statements a member runs at once
    std::map<std::string, milliseconds> readKinds {}; // maximum age of the data, by kind of read
    Acknowledge acknowledge { Acknowledge::Replicated };
    PromotionLimits promotion {};
    bool isRetired { false }; // no longer served
    friend bool operator==(const GroupRecord&, const GroupRecord&) = default;

    const MemberRecord* findMember(const std::string& member) const;
    size_t getMajority() const { return members.size() / 2 + 1; }
};

// Why a record was refused.
struct RecordProblem {
    size_t line { 0 }; // from 1; 0: not known
    std::string field {}; // for example "members[1].address"
    std::string message {};
    friend bool operator==(const RecordProblem&, const RecordProblem&) = default;
};

std::string formatProblem(const RecordProblem& problem);

// Parses and validates an operator's record: JSON with "schema" 1 or 2.
tl::expected<GroupRecord, RecordProblem> parseGroupRecord(const std::string& name, const std::string& text);

// A change of a record, as kept in its envelope.
struct Change {
    std::string id {}; // random; lets a retry detect that the change was already written
    std::string by {}; // operator's name
    uint64_t atMs { 0 }; // wall clock, ms since the epoch
    std::string summary {}; // one line
    friend bool operator==(const Change&, const Change&) = default;
};

// The stored value of a record.
struct Envelope {
    std::string record {}; // the operator's JSON
    std::vector<Change> changes {}; // newest first, at most kChangeHistoryLimit
    friend bool operator==(const Envelope&, const Envelope&) = default;
};

std::string formatEnvelope(const Envelope& envelope);
tl::expected<Envelope, RecordProblem> parseEnvelope(const std::string& text);

// A stored value as hosts exchange it. Its version is the store's revision and only increases.
struct VersionedValue {
    uint64_t version { 0 };
    std::string value {};
    friend bool operator==(const VersionedValue&, const VersionedValue&) = default;
};

// All values known to a host, by key: records and the platform's host list.
using ValueMap = std::map<std::string, VersionedValue>;

// Stores `value` if it is newer than the known one. Returns whether it was.
bool updateIfNewer(ValueMap& values, const std::string& key, const VersionedValue& value);

// Equal for equal sets of (key, version).
uint64_t getDigest(const ValueMap& values);
// The same digest for each bucket of keys.
BucketDigests getBucketDigests(const ValueMap& values);

// The fields used of the platform's entry for a host or target.
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
