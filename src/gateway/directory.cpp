#include "gateway/directory.h"
#include "base/event_log.h"
#include "base/families.h"
#include "base/random.h"
#include "base/tasks.h"
#include "decisions/limits.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using base::milliseconds;
using base::TimePoint;
using links::StoreErrorKind;

static constexpr milliseconds kImmediateResponse { 100 }; // a watch answered within this time had pending changes; must exceed a round trip to the store, 40 ms at most between regions
// A starting host cannot serve until it has read the store, so it retries sooner and with shorter timeouts, as a call may have been lost.
static constexpr milliseconds kStartupCallTimeout { 400 }; // ten round trips between regions, and more than a slow store takes (60 times 4 ms)
static constexpr milliseconds kProbeWait { 300 }; // of the watch that tests whether the store is reachable
static constexpr unsigned kStartupShortCalls = 2; // consecutive calls with the short timeout before one with the full timeout, for a slow store
static constexpr milliseconds kRelaySelectionDelay { 100 }; // a host chooses its relays within this time after the first list, and then needs no watch
static constexpr milliseconds kStoreLostPause { 6000 }; // mean; retry this long after relays lost the store, in case they cannot report its return
static constexpr unsigned kStoreReturnFailures = 3; // failure count whose retry pause spreads the calls after the store's return
static constexpr milliseconds kRelayCheckInterval { 100 };
static constexpr double kStartupRetryMs = 60; // mean pause; jittered by 50 %

static milliseconds getStartupRetryPause()
{
    return milliseconds(static_cast<int64_t>(kStartupRetryMs * (0.5 + base::getRandom())));
}

Directory::Directory(asio::io_context& context, links::PlatformAdapter& platform, links::RegisteredHost self, DirectoryTimings timings, DirectoryEvents events)
    : m_context(context)
    , m_platform(platform)
    , m_self(std::move(self))
    , m_timings(timings)
    , m_events(std::move(events))
{
}

TimePoint Directory::getDeadline() const
{
    return Clock::now() + m_timings.callTimeout;
}

TimePoint Directory::getStartupDeadline(unsigned attempts) const
{
    bool isShort = attempts % (kStartupShortCalls + 1) < kStartupShortCalls;
    return isShort ? Clock::now() + std::min(kStartupCallTimeout, m_timings.callTimeout) : getDeadline();
}

void Directory::start()
{
    base::spawnLoop(m_context, "follow-store", [this] { return follow(); });
    base::spawnLoop(m_context, "maintain-entry", [this] { return maintainEntry(); });
}

asio::awaitable<void> Directory::stop()
{
    m_isStopping = true;
    if (m_lease == 0)
        co_return;
    links::StoreChange change;
    change.deletes.push_back(std::string(kHostsPrefix) + m_self.name);
    co_await m_platform.getStore().change(std::move(change), getDeadline());
}

void Directory::refreshConfiguration(uint64_t version)
{
    if (version <= std::max(m_configurationVersion, m_missingVersion) || m_mustReadConfiguration)
        return;
    if (isFollowingRelay()) { // the relay passes it on, unless the relay has failed
        m_reportedVersion = decisions::applyReportedChange(m_reportedVersion, version, m_configurationVersion, Clock::now());
        if (!decisions::isWatchSilent(m_reportedVersion, m_configurationVersion, Clock::now()))
            return;
    }
    base::logEvent(LogClass::State, "configuration-behind", { { "here", static_cast<int64_t>(m_configurationVersion) }, { "elsewhere", static_cast<int64_t>(version) } });
    m_requestedVersion = version;
    m_mustReadConfiguration = true;
    m_platform.getStore().cancelWatch();
}

void Directory::setWatcher(bool isWatcher, bool hasRelay)
{
    m_hasRelay = hasRelay;
    if (isWatcher && !m_isWatcher)
        cancelWatch();
    m_isWatcher = isWatcher;
}

void Directory::cancelWatch()
{
    m_isWatchCancelled = true;
    m_platform.getStore().cancelWatch();
}

void Directory::applyReportedRevision(uint64_t change)
{
    if (!m_isReachable)
        return;
    auto now = Clock::now();
    auto seen = std::max(m_newestChange, m_revision);
    m_reportedChange = decisions::applyReportedChange(m_reportedChange, change, seen, now);
    if (!decisions::isWatchSilent(m_reportedChange, seen, now))
        return;
    base::logEvent(LogClass::State, "watch-silent", { { "here", static_cast<int64_t>(seen) }, { "elsewhere", static_cast<int64_t>(m_reportedChange.revision) } });
    m_reportedChange = {};
    startProbe();
}

// A watch cancelled by this host does not show whether the store is reachable. So the next watch is short and runs to its end.
void Directory::startProbe()
{
    if (m_isProbing)
        return;
    m_isProbing = true;
    cancelWatch();
}

milliseconds Directory::getWatchWait() const
{
    if (m_isProbing || !m_isReachable)
        return std::min(kProbeWait, m_timings.watchWait);
    return m_isWatcher ? m_timings.watchWait : std::max(m_timings.watchWait, m_timings.longWatchWait);
}

void Directory::setReachable(bool isReachable, const std::string& reason)
{
    if (isReachable == m_isReachable)
        return;
    m_isReachable = isReachable;
    base::logEvent(LogClass::State, isReachable ? "store-regained" : "store-lost", { { "reason", std::string_view(reason) } });
}

asio::awaitable<void> Directory::follow()
{
    while (!m_isStopping) {
        bool isOk = true;
        if (m_mustReadConfiguration) {
            isOk = co_await readConfiguration();
            m_mustReadConfiguration = !isOk;
        }
        if (isOk && isFollowingRelay()) {
            m_failureCount = 0;
            co_await base::sleepFor(kRelayCheckInterval);
            continue;
        }
        if (isOk)
            isOk = m_mustList ? co_await listAll() : co_await watchOnce();
        m_failureCount = isOk ? 0 : m_failureCount + 1;
        if (!isOk)
            co_await waitForStore(m_configurationVersion == 0 ? getStartupRetryPause() : decisions::getRetryPause(m_failureCount, base::getRandom()));
    }
}

bool Directory::waitsForRelays() const
{
    return m_isStoreLostByRelays && m_hasRelay && !m_isWatcher && m_configurationVersion != 0;
}

// Pauses after a failed call. If the relays have lost the store too, this host waits until one reports its return, at most for kStoreLostPause, and then for a
// random pause, so that the hosts do not call together: 295 hosts whose store was away for 7 s made 13,724 calls instead of 16,845. It does not wait if another host has a newer configuration: then the store is reachable for some hosts.
asio::awaitable<void> Directory::waitForStore(milliseconds pause)
{
    auto startedAt = Clock::now();
    bool mustWait = waitsForRelays();
    auto maxWait = decisions::jitterRetryAfter(kStoreLostPause, base::getRandom());
    while (waitsForRelays() && !m_mustReadConfiguration && Clock::now() - startedAt < maxWait && !m_isStopping)
        co_await base::sleepFor(kRelayCheckInterval);
    co_await base::sleepFor(mustWait ? decisions::getRetryPause(kStoreReturnFailures, base::getRandom()) : pause);
}

asio::awaitable<bool> Directory::readConfiguration()
{
    auto item = co_await m_platform.getStore().get(m_platform.getConfigurationKey(), getDeadline());
    if (!item) {
        setReachable(item.error().kind == StoreErrorKind::NotFound, item.error().reason);
        co_return item.error().kind == StoreErrorKind::NotFound;
    }
    applyConfigurationItem(*item);
    if (m_configurationVersion < m_requestedVersion)
        m_missingVersion = m_requestedVersion;
    co_return true;
}

// Lists all keys in one pass, to save round trips at the start: a host in another region is ready after one of 40 ms instead of three. Pages are not a snapshot: the watch starts at the revision of the first page and repeats
// changes made during the listing.
asio::awaitable<bool> Directory::listAll()
{
    std::vector<links::StoreItem> items;
    std::optional<uint64_t> revision;
    for (bool hasMore = true; hasMore;) {
        auto after = items.empty() ? std::string() : items.back().key;
        auto deadline = m_configurationVersion == 0 ? getStartupDeadline(m_listAttempts) : getDeadline();
        ++m_listAttempts;
        auto page = co_await m_platform.getStore().list("", after, false, deadline);
        if (!page) {
            setReachable(false, page.error().reason);
            co_return false;
        }
        revision = revision.value_or(page->revision);
        hasMore = page->hasMore && !page->items.empty();
        std::ranges::move(page->items, std::back_inserter(items));
    }
    applyList(items, *revision);
    m_syncedAt = Clock::now();
    m_relayedAt = m_syncedAt;
    m_revision = *revision;
    m_changeLog.clear();
    m_changeLogBytes = 0;
    m_logStartsAfter = *revision;
    m_mustList = false;
    setReachable(true, "listed");
    m_events.onMembersListed();
    co_await base::sleepFor(kRelaySelectionDelay);
    co_return true;
}

// Applies hosts before members. A host that knew members but no other hosts would consider itself the forwarder to all of them.
void Directory::applyList(const std::vector<links::StoreItem>& items, uint64_t revision)
{
    auto membersPrefix = m_platform.getMembersPrefix();
    auto isMember = [&](const links::StoreItem& it) { return it.key.starts_with(membersPrefix); };
    std::set<std::string> listed;
    for (bool appliesMembers : { false, true }) {
        for (auto& it : items) {
            listed.insert(it.key);
            if (isMember(it) == appliesMembers)
                applyItem(it, std::nullopt);
        }
    }
    for (auto& key : std::set(m_knownKeys)) {
        if (!listed.contains(key))
            applyItem({ .key = key, .revision = revision, .isDeleted = true }, std::nullopt);
    }
    m_knownKeys = listed;
}

asio::awaitable<bool> Directory::watchOnce()
{
    m_isWatchCancelled = false;
    auto askedAt = Clock::now();
    auto since = m_revision;
    if (m_logStartsAfter == 0) {
        m_changeLog.clear();
        m_changeLogBytes = 0;
        m_logStartsAfter = since;
    }
    auto changes = co_await m_platform.getStore().watch("", since, getWatchWait());
    if (changes) {
        m_isProbing = false;
        setReachable(true, "watch answered");
        auto now = Clock::now();
        bool wasImmediate = now - askedAt < kImmediateResponse; // pending changes may be as old as the time since the last watch
        bool isRecent = !wasImmediate || now - m_syncedAt <= decisions::kSilentWatchThreshold;
        m_syncedAt = now;
        for (auto& it : changes->items) {
            if (it.revision <= m_revision && m_revision != since)
                continue;
            m_newestChange = std::max(m_newestChange, it.revision);
            RelayedChange change { it, isRecent ? std::optional(now) : std::nullopt, now };
            if (m_logStartsAfter != 0) // otherwise a relay has sent changes meanwhile, and the log would have a gap
                logChange(change);
            applyItem(it, change.changedAt);
        }
        m_revision = std::max(m_revision, changes->revision);
        if (!changes->items.empty()) {
            m_watchPause = decisions::getWatchPause(m_watchPause, wasImmediate);
            co_await base::sleepFor(m_watchPause);
        }
        co_return true;
    }
    if (m_mustReadConfiguration || m_isWatchCancelled) // cancelled by this host
        co_return true;
    m_isProbing = false;
    if (changes.error().kind == StoreErrorKind::TooLarge) { // asking again would bring the same changes and more; pages of a list are limited
        base::logEvent(LogClass::State, "watch-too-large", { { "revision", static_cast<int64_t>(m_revision) } });
        m_mustList = true;
        co_return true;
    }
    if (changes.error().kind == StoreErrorKind::HistoryLost) {
        base::logEvent(LogClass::State, "history-lost", { { "revision", static_cast<int64_t>(m_revision) } });
        m_mustList = true;
        co_return true;
    }
    setReachable(false, changes.error().reason);
    co_return false;
}

}
