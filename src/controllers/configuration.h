// Keeps the operators' records and the platform's host list. A few watchers per data centre read them from the platform;
// hosts exchange them by version, and the version that a host knows never decreases.
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

// The newest valid record of a group.
struct ActiveGroupRecord {
    std::shared_ptr<const decisions::GroupRecord> record {};
    uint64_t version { 0 }; // store revision of the record
};

// A newer version that failed validation. The last valid version stays active.
struct RefusedRecord {
    uint64_t version { 0 };
    std::string problem {};
    friend bool operator==(const RefusedRecord&, const RefusedRecord&) = default;
};

// A snapshot for request threads.
struct Configuration {
    bool isLoaded { false }; // values from the platform or a peer have been applied
    std::map<std::string, ActiveGroupRecord> groups {}; // by group name
    std::map<std::string, RefusedRecord> refused {}; // by group name
    std::map<std::string, decisions::PlatformHost> platformHosts {}; // by host or target name
    uint64_t storeRevision { 0 }; // newest known revision
};

class ConfigurationController {
public:
    explicit ConfigurationController(Node& node);

    // Starts the watch loop. It watches the platform only while `isWatcher()` returns true.
    void start(std::function<bool()> isWatcher);
    const base::Snapshot<Configuration>& getSnapshot() const { return m_snapshot; }
    // Called on the controller's strand after every change.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }
    // Called on the controller's strand with the values that were new to this host.
    void onNewValues(std::function<void(std::vector<peer::RecordBody>)> callback) { m_onNewValues = std::move(callback); }

    // ---- exchange with peers; any thread ----
    uint64_t getDigest() const { return m_digest.load(); }
    decisions::BucketDigests getBucketDigests() const;
    std::vector<peer::RecordVersion> getVersions(const decisions::BucketMask& buckets) const;
    // Bodies in these buckets that are newer than `versions`, at most `limit` bytes. A key missing from `versions` has version 0.
    std::vector<peer::RecordBody> getNewerBodies(const std::vector<peer::RecordVersion>& versions, const decisions::BucketMask& buckets, size_t limit) const;
    // Bodies of these keys, at most `limit` bytes.
    std::vector<peer::RecordBody> getBodies(const std::vector<std::string>& keys, size_t limit) const;
    // Keys for which a peer has a newer version.
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
    mutable std::mutex m_mutex; // guards m_values, which exchanges read and the strand writes
    decisions::ValueMap m_values;
    std::atomic<uint64_t> m_digest { 0 };
    uint64_t m_watchedRevision { 0 };
    bool m_isPlatformReachable { true };
};

}
