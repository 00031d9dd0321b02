// Configuration controller: the operators' records and the platform's host list, as this host knows them.
// A few watchers per data centre read the platform; every host passes on what it knows by version, and no host ever goes
// below a version it has seen.
#pragma once
#include "base/snapshot.h"
#include "controllers/node.h"
#include "decisions/records.h"
#include <atomic>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>

namespace alderward::controllers {

// A record in force.
struct ActiveGroupRecord {
    std::shared_ptr<const decisions::GroupRecord> record {};
    uint64_t version { 0 }; // store revision of the record in force
};

// A newer version that failed its checks; the last good one stays in force.
struct RefusedRecord {
    uint64_t version { 0 };
    std::string problem {};
    friend bool operator==(const RefusedRecord&, const RefusedRecord&) = default;
};

// What request threads read.
struct Configuration {
    bool isLoaded { false }; // at least one answer from the platform or a peer has been taken in
    std::map<std::string, ActiveGroupRecord> groups {}; // by group name
    std::map<std::string, RefusedRecord> refused {}; // by group name
    std::map<std::string, decisions::PlatformHost> platformHosts {}; // by host or target name
    uint64_t storeRevision { 0 }; // newest revision heard of
};

class ConfigurationController {
public:
    explicit ConfigurationController(Node& node);

    // Starts the watch loop; it holds a watch only while `isWatcher()` says so.
    void start(std::function<bool()> isWatcher);
    const base::Snapshot<Configuration>& getSnapshot() const { return m_snapshot; }
    // Called on the controller's strand after every change.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }
    // Called on the controller's strand with every value that was new to this host.
    void onNewValues(std::function<void(std::vector<peer::RecordBody>)> callback) { m_onNewValues = std::move(callback); }

    // ---- exchange with peers; any thread ----
    uint64_t getDigest() const { return m_digest.load(); }
    decisions::BucketDigests getBucketDigests() const;
    std::vector<peer::RecordVersion> getVersions(const decisions::BucketMask& buckets) const;
    // Bodies in these buckets of what we know newer than `versions`, at most `limit` bytes; a key that they lack counts as
    // version 0.
    std::vector<peer::RecordBody> getNewerBodies(const std::vector<peer::RecordVersion>& versions, const decisions::BucketMask& buckets, size_t limit) const;
    // Bodies of these keys, at most `limit` bytes.
    std::vector<peer::RecordBody> getBodies(const std::vector<std::string>& keys, size_t limit) const;
    // Keys that a peer knows in a newer version.
    std::vector<std::string> findOutdatedKeys(const std::vector<peer::RecordVersion>& versions) const;
    void applyBodies(const std::vector<peer::RecordBody>& bodies);

private:
    void applyValues(const decisions::ValueMap& values, const std::string& source);
    bool applyGroup(Configuration& next, const std::string& name, const decisions::VersionedValue& value);
    static void applyPlatformHost(Configuration& next, const std::string& name, const decisions::VersionedValue& value);
    boost::asio::awaitable<void> watchForever();
    boost::asio::awaitable<bool> loadAll();
    boost::asio::awaitable<bool> watchOnce(links::HttpConnection& link);
    void updatePlatformReachability(bool isReachable);

    Node& m_node;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    base::Snapshot<Configuration> m_snapshot;
    std::function<bool()> m_isWatcher;
    std::function<void()> m_onChange;
    std::function<void(std::vector<peer::RecordBody>)> m_onNewValues;
    mutable std::mutex m_mutex; // guards m_values: read by exchanges, written on the strand
    decisions::ValueMap m_values;
    std::atomic<uint64_t> m_digest { 0 };
    uint64_t m_watchedRevision { 0 };
    bool m_isPlatformReachable { true };
};

}
