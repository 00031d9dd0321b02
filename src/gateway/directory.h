// Follows the platform's store: reads everything once, then waits for changes; keeps this host's own entry there under a lease.
#pragma once
#include "decisions/watching.h"
#include "links/directory.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <set>

namespace alderward::gateway {

// Keys of the product's own in the store.
inline constexpr std::string_view kOwnPrefix = "alderward/";
inline constexpr std::string_view kHostsPrefix = "alderward/hosts/";
inline constexpr std::string_view kCoordinatorRecordPrefix = "alderward/succession/";
inline constexpr std::string_view kQuotaPrefix = "alderward/quota/";

struct DirectoryEvents {
    std::function<void(const links::GatewayConfiguration&)> onConfiguration;
    // `changedAt`: when this host, or the one that told it, heard of the change; empty: it may be long ago.
    std::function<void(const links::RegisteredMember&, uint64_t revision, std::optional<base::TimePoint> changedAt)> onMember;
    std::function<void(const std::string& id, uint64_t revision)> onMemberRemoved;
    std::function<void()> onMembersListed; // the list of members was read whole
    std::function<void(const links::RegisteredHost&)> onHost;
    std::function<void(const std::string& name)> onHostRemoved;
    std::function<void(const std::string& group, const links::StoreItem&)> onCoordinatorRecord;
    std::function<void(size_t shard, const std::set<std::string>& accounts)> onNearQuotaAccounts; // whose quotas may be used up
};

// A change in the store, and when the host that reads there heard of it.
struct RelayedChange {
    links::StoreItem item {};
    std::optional<base::TimePoint> changedAt {}; // on this host's clock; empty: it may be long ago
    base::TimePoint receivedAt {};
    bool isLarge { false }; // the value is left out
};

// All changes behind a revision, oldest first.
struct RelayedChanges {
    std::vector<RelayedChange> changes {};
    uint64_t untilRevision { 0 }; // revision; 0: the teller cannot say
};

struct DirectoryTimings {
    base::milliseconds callTimeout { 1000 };
    base::milliseconds watchWait { 2000 };
    base::milliseconds longWatchWait { 25000 }; // of hosts that hear of changes from others
    base::milliseconds lease { 6000 };
};

class Directory {
public:
    Directory(boost::asio::io_context& context, links::PlatformAdapter& platform, links::RegisteredHost self, DirectoryTimings timings, DirectoryEvents events);

    void start();
    // Stops following and withdraws this host's entry.
    boost::asio::awaitable<void> stop();
    // Another host has a newer configuration than this one: look at once.
    void refreshConfiguration(uint64_t version);
    // Whether this host looks often itself, or has a relay that tells it what changes.
    void setWatcher(bool isWatcher, bool hasRelay);
    // Whether all relays of this host say that they have lost the store: it looks for the store's return seldom then, they look often.
    void setStoreLostByRelays(bool isLost) { m_isStoreLostByRelays = isLost; }
    // The newest change that this host has seen, for other hosts.
    uint64_t getNewestChange() const { return m_newestChange; }
    // Another host has seen `change`: if ours does not bring it, our watch has fallen silent.
    void applyReportedRevision(uint64_t change);
    // Writes down which accounts of a shard come near to their quotas. Returns whether that worked.
    boost::asio::awaitable<bool> writeNearQuotaAccounts(size_t shard, std::set<std::string> accounts);
    // What changed in the store behind a revision, for a host that has this one for a relay. Only what this host's own watches brought: hearsay is not
    // passed on.
    RelayedChanges getChanges(uint64_t since) const;
    // What a relay told. While one does, this host holds no watch of its own, and a change costs the store a few answers and not one a host.
    void applyRelayedChanges(const RelayedChanges& relayed);
    // Up to which all changes are known; 0 until the store was read.
    uint64_t getRevision() const { return m_mustList ? 0 : m_revision; }
    // Whether the last call that told so was answered. Found out within kProbeWait and an answer's time once there is a doubt.
    bool isReachable() const { return m_isReachable; }
    // Whether this host may miss changes: the store is lost, or a change that others know has not come.
    bool mayMissChanges() const { return !m_isReachable || m_isProbing; }

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> readAll();
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
    void logChange(const RelayedChange& change);
    bool isFollowingRelay() const;
    void applyConfigurationItem(const links::StoreItem& item);
    void applyHost(const links::StoreItem& item);
    void applyNearQuotaAccounts(const links::StoreItem& item);
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
    uint64_t m_configurationVersion { 0 }; // of the configuration
    uint64_t m_lease { 0 }; // 0: no entry of ours is known to stand
    std::set<std::string> m_knownKeys; // keys
    base::TimePoint m_syncedAt {}; // when the store last relayed all that had changed
    uint64_t m_newestChange { 0 }; // revision of the newest change that a watch brought; the store's own revision moves with more than these
    decisions::ReportedChange m_reportedChange {};
    base::milliseconds m_watchPause { 0 }; // the last
    std::deque<RelayedChange> m_changeLog {}; // changes that this host's watches brought, for those that it relays to
    size_t m_changeLogBytes { 0 };
    uint64_t m_logStartsAfter { 0 }; // the log holds all changes behind this revision up to m_revision; 0: it holds none
    base::TimePoint m_relayedAt {}; // when a relay last relayed all changes
    decisions::ReportedChange m_reportedVersion {}; // of the configuration
    unsigned m_failureCount { 0 }; // in a row
    bool m_isWatcher { true };
    bool m_hasRelay { false };
    bool m_isStoreLostByRelays { false };
    bool m_isInterrupted { false };
    bool m_isProbing { false }; // the store may be out of reach: the next watch finds out
    unsigned m_listAttempts { 0 }; // pages asked for so far
    unsigned m_entryAttempts { 0 }; // since the entry was last written
    bool m_mustList { true };
    bool m_mustReread { false };
    bool m_isReachable { false };
    bool m_isStopping { false };
};

}
