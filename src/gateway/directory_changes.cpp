// Changes of the platform's store: those that a host passes on to others that use it as a relay, and what each item changes here.
#include "base/event_log.h"
#include "base/families.h"
#include "gateway/directory.h"
#include "gateway/host_entry.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using base::milliseconds;
using base::TimePoint;

static constexpr milliseconds kRelayTimeout { 1500 }; // without changes from a relay for this long, a host watches the store itself
static constexpr size_t kMaxLoggedChanges = 2000; // kept for hosts that this one relays to; more than all hosts of a system cause that restart within a second
static constexpr size_t kMaxLogBytes = 1 << 20;
static constexpr size_t kMaxRelayedValueSize = 32 << 10; // bytes; each host reads a larger configuration from the store, so that it does not fill a relay's connections. 300 client accounts fit

// What other hosts need of a value. Only a configuration can be large then: what a host reads of a member's entry is short, and entries of alderward's own are
// not read if they are large.
std::string Directory::makeRelayedValue(const links::StoreItem& item) const
{
    if (item.key == m_platform.getConfigurationKey())
        return m_platform.replaceKeysWithDigests(item.value); // API keys must not be sent to other hosts
    if (item.value.size() <= kMaxRelayedValueSize)
        return item.value;
    return item.key.starts_with(m_platform.getMembersPrefix()) ? m_platform.compactMember(item.value) : std::string();
}

void Directory::logChange(const RelayedChange& change)
{
    m_changeLog.push_back(change);
    auto& item = m_changeLog.back().item;
    item.value = makeRelayedValue(item);
    m_changeLogBytes += item.value.size();
    while (m_changeLog.size() > kMaxLoggedChanges || m_changeLogBytes > kMaxLogBytes) {
        m_logStartsAfter = std::max(m_logStartsAfter, m_changeLog.front().item.revision);
        m_changeLogBytes -= m_changeLog.front().item.value.size();
        m_changeLog.pop_front();
    }
}

// Returns nothing while the store may be unreachable: an empty list of changes would claim that there are none.
RelayedChanges Directory::getChanges(uint64_t since) const
{
    RelayedChanges relayed;
    bool canAnswer = m_isReachable && !m_isProbing && !m_mustList && m_isWatcher && m_logStartsAfter != 0;
    if (!canAnswer || since < m_logStartsAfter || since > m_revision)
        return relayed;
    auto first = std::ranges::upper_bound(m_changeLog, since, {}, [](const RelayedChange& it) { return it.item.revision; });
    for (auto it = first; it != m_changeLog.end(); ++it) {
        relayed.changes.push_back(*it);
        relayed.changes.back().isLarge = it->item.value.size() > kMaxRelayedValueSize;
    }
    relayed.untilRevision = m_revision;
    return relayed;
}

void Directory::applyRelayedChanges(const RelayedChanges& relayed)
{
    if (relayed.untilRevision == 0 || m_mustList || m_isWatcher)
        return;
    m_relayedAt = Clock::now();
    if (relayed.untilRevision < m_revision) // this host has read the store more recently than its relay
        return;
    for (auto& it : relayed.changes) {
        if (it.item.revision <= m_revision)
            continue;
        m_newestChange = std::max(m_newestChange, it.item.revision);
        if (!it.isLarge)
            applyItem(it.item, it.changedAt);
        else if (it.item.key == m_platform.getConfigurationKey())
            m_mustReadConfiguration = true;
        else
            m_mustList = true;
    }
    m_revision = relayed.untilRevision;
    m_syncedAt = m_relayedAt;
    m_logStartsAfter = 0; // these changes were not received from the store itself and must not be relayed
}

// A failed lease renewal starts a probe, and the host watches the store itself until that is answered.
bool Directory::isFollowingRelay() const
{
    return m_hasRelay && !m_isWatcher && !m_mustList && m_isReachable && !m_isProbing && Clock::now() - m_relayedAt < kRelayTimeout;
}

void Directory::applyItem(const links::StoreItem& item, std::optional<TimePoint> changedAt)
{
    auto members = m_platform.getMembersPrefix();
    if (item.key == m_platform.getConfigurationKey()) {
        if (!item.isDeleted)
            applyConfigurationItem(item);
        return;
    }
    if (item.isDeleted)
        m_knownKeys.erase(item.key);
    else
        m_knownKeys.insert(item.key);
    if (item.key.starts_with(members)) {
        if (item.isDeleted) {
            m_events.onMemberRemoved(item.key.substr(members.size()), item.revision);
            return;
        }
        auto member = m_platform.parseMember(item.key, item.value);
        if (member) {
            m_events.onMemberChanged(*member, item.revision, changedAt);
            return;
        }
        // An unreadable entry counts as removed, so that its member is no longer used.
        reportUnreadable(item, member.error());
        m_events.onMemberRemoved(item.key.substr(members.size()), item.revision);
    } else if (item.key.starts_with(kHostsPrefix))
        applyHost(item);
    else if (item.key.starts_with(kCoordinatorRecordPrefix)) {
        auto record = item;
        if (record.value.size() > kMaxRelayedValueSize) // relays do not pass it on: it means the same on hosts that read it from the store
            record.value.clear();
        m_events.onCoordinatorRecord(item.key.substr(kCoordinatorRecordPrefix.size()), record);
    }
}

// The time since which no readable configuration has been there stays when another unreadable one follows.
void Directory::refuseConfiguration(const links::StoreItem& item, const std::string& reason)
{
    if (m_refusedConfiguration && m_refusedConfiguration->revision == item.revision)
        return;
    auto now = Clock::now();
    auto since = m_refusedConfiguration ? m_refusedConfiguration->since : now;
    m_refusedConfiguration = RefusedConfiguration { reason, item.revision, since };
    logRefusedConfiguration(*m_refusedConfiguration, m_configurationVersion, now);
}

// Ignores versions older than the current one: they come from outdated answers.
void Directory::applyConfigurationItem(const links::StoreItem& item)
{
    bool isNewest = item.revision >= m_configurationRevision;
    m_configurationRevision = std::max(m_configurationRevision, item.revision);
    auto configuration = m_platform.parseConfiguration(item.value);
    if (!configuration) {
        if (isNewest)
            refuseConfiguration(item, configuration.error());
        return;
    }
    if (isNewest)
        m_refusedConfiguration.reset();
    if (configuration->version <= m_configurationVersion)
        return;
    m_configurationVersion = configuration->version;
    m_events.onConfiguration(*configuration);
}

void Directory::applyHost(const links::StoreItem& item)
{
    auto name = item.key.substr(kHostsPrefix.size());
    if (item.isDeleted) {
        if (name == m_self.name && m_lease != 0 && !m_isStopping) {
            base::logEvent(LogClass::State, "entry-lost", { { "reason", std::string_view("the store deleted this host's entry") } });
            m_lease = 0; // maintainEntry() writes it again
        }
        m_events.onHostRemoved(name);
        return;
    }
    auto host = item.value.size() <= kMaxRelayedValueSize ? parseHostEntry(name, item.value) : std::nullopt; // relays do not pass on a larger one
    if (host) {
        m_events.onHostChanged(*host);
        return;
    }
    reportUnreadable(item, "not a valid host entry");
    m_events.onHostRemoved(name);
}

// Logs one line for each change of an entry.
void Directory::reportUnreadable(const links::StoreItem& item, const std::string& reason)
{
    base::incrementCounter(base::MetricFamily::EntriesRefused, { { "result", "unreadable" } });
    base::logEvent(LogClass::State, "entry-unreadable", { { "key", std::string_view(item.key) }, { "reason", std::string_view(reason) }, { "revision", static_cast<int64_t>(item.revision) } });
}

}
