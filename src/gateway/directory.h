// Follows the platform's store: lists all items once, then watches for changes, directly or through a relay. Keeps this host's own
// entry in the store under a lease.
//
// [SECTION] by source file
//   directory.cpp         following the store
//   directory_changes.cpp changes passed on to other hosts, and what they change here
//   directory_entry.cpp   this host's own entry
#pragma once
#include "decisions/watching.h"
#include "gateway/configuration_report.h"
#include "links/directory.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <set>

namespace alderward::gateway {

// Prefixes of the keys in the store that belong to alderward.
inline constexpr std::string_view kOwnPrefix = "alderward/";
inline constexpr std::string_view kHostsPrefix = "alderward/hosts/";
inline constexpr std::string_view kCoordinatorRecordPrefix = "alderward/succession/";

struct DirectoryEvents {
    std::function<void(const links::GatewayConfiguration&)> onConfiguration;
    // `changedAt`: when this host or its relay received the change; empty: unknown, possibly long ago.
    std::function<void(const links::RegisteredMember&, uint64_t revision, std::optional<base::TimePoint> changedAt)> onMemberChanged;
    std::function<void(const std::string& id, uint64_t revision)> onMemberRemoved;
    std::function<void()> onMembersListed; // all members in the store have been reported
    std::function<void(const links::RegisteredHost&)> onHostChanged;
    std::function<void(const std::string& name)> onHostRemoved;
    std::function<void(const std::string& group, const links::StoreItem&)> onCoordinatorRecord;
};

// A change in the store as one host passes it on to another.
struct RelayedChange {
    links::StoreItem item {};
    std::optional<base::TimePoint> changedAt {}; // on this host's clock; empty: unknown, possibly long ago
    base::TimePoint receivedAt {}; // by the host that watches the store
    bool isLarge { false }; // the value is omitted: read it from the store
};

// All changes after a revision, oldest first.
struct RelayedChanges {
    std::vector<RelayedChange> changes {};
    uint64_t untilRevision { 0 }; // newest revision covered; 0: the sender does not know all changes
};

struct DirectoryTimings {
    base::milliseconds callTimeout { 1000 };
    base::milliseconds watchWait { 2000 };
    base::milliseconds longWatchWait { 25000 }; // of hosts that are not watchers
    base::milliseconds lease { 6000 };
};

class Directory {
public:
    Directory(boost::asio::io_context& context, links::PlatformAdapter& platform, links::RegisteredHost self, DirectoryTimings timings, DirectoryEvents events);

    void start();
    // Stops following the store and deletes this host's entry.
    boost::asio::awaitable<void> stop();
    // Reads the configuration if another host reports a newer version, once for each: this host may be unable to use what the other one does.
    void refreshConfiguration(uint64_t version);
    // Set while the newest configuration in the store cannot be read as a whole.
    const std::optional<RefusedConfiguration>& getRefusedConfiguration() const { return m_refusedConfiguration; }
    // Sets whether this host polls the store often, and whether it has a relay that passes changes on.
    void setWatcher(bool isWatcher, bool hasRelay);
    // Sets whether all relays of this host report that they have lost the store. It then retries rarely and leaves retries to the relays.
    void setStoreLostByRelays(bool isLost) { m_isStoreLostByRelays = isLost; }
    // Revision of the newest change that this host has received.
    uint64_t getNewestChange() const { return m_newestChange; }
    // Another host has received `change`. If it does not arrive here in time, this host probes the store.
    void applyReportedRevision(uint64_t change);
    // Returns the changes after revision `since` for a host that uses this one as a relay. Only changes that this host received from the store
    // itself are passed on.
    RelayedChanges getChanges(uint64_t since) const;
    // Applies changes from a relay. While they keep arriving, this host does not watch the store itself, which limits the load on the store.
    void applyRelayedChanges(const RelayedChanges& relayed);
    // The revision up to which all changes are known; 0 until the store was listed.
    uint64_t getRevision() const { return m_mustList ? 0 : m_revision; }
    // Whether the store answered the last list, watch or configuration read. A suspected loss is confirmed by a short watch.
    bool isReachable() const { return m_isReachable; }
    // Whether this host may lack changes: the store is unreachable, or a change known to other hosts has not arrived.
    bool mayMissChanges() const { return !m_isReachable || m_isProbing; }

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> listAll();
    boost::asio::awaitable<bool> readConfiguration();
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<void> maintainEntry();
    boost::asio::awaitable<bool> writeEntry();
    void cancelWatch();
    void startProbe();
    bool waitsForRelays() const;
    boost::asio::awaitable<void> waitForStore(base::milliseconds pause);
    base::milliseconds getWatchWait() const;
    void applyList(const std::vector<links::StoreItem>& items, uint64_t revision);
    void applyItem(const links::StoreItem& item, std::optional<base::TimePoint> changedAt);
    std::string makeRelayedValue(const links::StoreItem& item) const;
    void logChange(const RelayedChange& change);
    bool isFollowingRelay() const;
    void applyConfigurationItem(const links::StoreItem& item);
    void refuseConfiguration(const links::StoreItem& item, const std::string& reason);
    void applyHost(const links::StoreItem& item);
    void reportUnreadable(const links::StoreItem& item, const std::string& reason);
    void setReachable(bool isReachable, const std::string& reason);
    base::TimePoint getDeadline() const;
    base::TimePoint getStartupDeadline(unsigned attempts) const;

    boost::asio::io_context& m_context;
    links::PlatformAdapter& m_platform;
    links::RegisteredHost m_self;
    DirectoryTimings m_timings;
    DirectoryEvents m_events;
    uint64_t m_revision { 0 }; // all changes up to this one are known
    uint64_t m_configurationVersion { 0 };
    uint64_t m_configurationRevision { 0 }; // of the newest configuration received, readable or not
    uint64_t m_requestedVersion { 0 }; // reported by other hosts, and the reason to read the configuration
    uint64_t m_missingVersion { 0 }; // reported by other hosts, and not what the store had when it was read
    std::optional<RefusedConfiguration> m_refusedConfiguration {};
    uint64_t m_lease { 0 }; // of this host's entry; 0: the entry must be written
    std::set<std::string> m_knownKeys;
    base::TimePoint m_syncedAt {}; // when all changes were last received, from the store or a relay
    uint64_t m_newestChange { 0 }; // revision of the newest change received; the revision of the store also advances without changes of items
    decisions::ReportedChange m_reportedChange {}; // by other hosts
    base::milliseconds m_watchPause { 0 }; // previous pause between watches
    std::deque<RelayedChange> m_changeLog {}; // changes received from the store, for the hosts that this one relays to
    size_t m_changeLogBytes { 0 };
    uint64_t m_logStartsAfter { 0 }; // the log holds all changes after this revision up to m_revision; 0: it is not valid
    base::TimePoint m_relayedAt {}; // when a relay last sent all changes
    decisions::ReportedChange m_reportedVersion {}; // newer configuration version reported by other hosts
    unsigned m_failureCount { 0 }; // consecutive
    bool m_isWatcher { true };
    bool m_hasRelay { false };
    bool m_isStoreLostByRelays { false };
    bool m_isWatchCancelled { false };
    bool m_isProbing { false }; // the store may be unreachable: the next watch is a short one that tests it
    unsigned m_listAttempts { 0 }; // pages requested so far
    unsigned m_entryAttempts { 0 }; // to write the entry, since it was last written
    bool m_mustList { true };
    bool m_mustReadConfiguration { false };
    bool m_isReachable { false };
    bool m_isStopping { false };
};

}
