#include "gateway/directory.h"
#include "base/event_log.h"
#include "base/families.h"
#include "base/random.h"
#include "decisions/limits.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fmt/format.h>

namespace alderward::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Clock;
using base::LogClass;
using base::milliseconds;
using base::TimePoint;
using links::StoreErrorKind;

static constexpr milliseconds kImmediateResponse { 100 }; // an answer to a watch within this stood ready: one way there and back is 40 ms at most on the sites that were seen
// A host that starts serves nobody until it has read the store, so it asks more often, and gives up sooner on a call that may have been lost with
// the store's absence: on a store that came back 0.7 s after all hosts, the first was ready after 0.6 s, the last after 1.1 s without this.
static constexpr milliseconds kStartupCallTimeout { 400 }; // ten times an answer from another region, and more than a slow store's 60 times 4 ms
static constexpr milliseconds kProbeWait { 300 }; // of a watch that is to show whether the store is in reach: a host without it leaves its tasks to others
static constexpr unsigned kStartupShortCalls = 2; // in a row, then one with the whole limit: a store may be slower than that
static constexpr milliseconds kRelaySelectionDelay { 100 }; // a host that has read the store chooses its relays within this; then it needs no watch of its own
static constexpr milliseconds kRelayTimeout { 1500 }; // a host that a relay tells all changes reads the store itself after this long without word
static constexpr milliseconds kStoreLostPause { 6000 }; // spread by half: relays say within an exchange that the store is back, this is for when they cannot
static constexpr unsigned kStoreReturnFailures = 3; // the pause after so many is half a second to a second and a half
static constexpr milliseconds kRelayCheckInterval { 100 }; // between two looks whether that is so
static constexpr size_t kMaxLoggedChanges = 2000; // changes kept for others: more than all hosts of a site bring that restart within a second
static constexpr size_t kMaxLogBytes = 1 << 20;
static constexpr size_t kMaxRelayedValueSize = 32 << 10; // bytes; 300 client accounts. A larger value would fill a relay's link: each host reads it itself
static constexpr double kStartupRetryMs = 60; // pause, spread by half

static milliseconds getStartupRetryPause()
{
    return milliseconds(static_cast<int64_t>(kStartupRetryMs * (0.5 + base::getRandom())));
}

static std::string formatHost(const links::RegisteredHost& host)
{
    return json::serialize(json::object { { "address", host.address }, { "dataCentre", host.dataCentre }, { "incarnation", host.incarnation } });
}

// As formatHost() writes it. Another writer may have put something else there.
static std::optional<links::RegisteredHost> parseHost(const std::string& name, const std::string& text)
{
    boost::system::error_code ec;
    auto value = json::parse(text, ec);
    auto* object = ec ? nullptr : value.if_object();
    if (!object)
        return std::nullopt;
    auto* address = object->if_contains("address");
    auto* dataCentre = object->if_contains("dataCentre");
    auto* incarnation = object->if_contains("incarnation");
    bool isWhole = address && address->is_string() && dataCentre && dataCentre->is_string() && incarnation;
    if (!isWhole || name.empty() || address->as_string().empty() || dataCentre->as_string().empty())
        return std::nullopt;
    auto number = incarnation->to_number<uint64_t>(ec);
    if (ec)
        return std::nullopt;
    return links::RegisteredHost { name, std::string(address->as_string()), std::string(dataCentre->as_string()), number };
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
    asio::co_spawn(m_context, follow(), asio::detached);
    asio::co_spawn(m_context, maintainEntry(), asio::detached);
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
    if (version <= m_configurationVersion || m_mustReread)
        return;
    if (isFollowingRelay()) { // it comes that way, unless something is amiss
        m_reportedVersion = decisions::applyReportedChange(m_reportedVersion, version, m_configurationVersion, Clock::now());
        if (!decisions::isWatchSilent(m_reportedVersion, m_configurationVersion, Clock::now()))
            return;
    }
    base::logEvent(LogClass::State, "configuration-behind", { { "here", static_cast<int64_t>(m_configurationVersion) }, { "elsewhere", static_cast<int64_t>(version) } });
    m_mustReread = true;
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
    m_isInterrupted = true;
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

// A watch that this host breaks off says nothing of the store, and one that is silent would be waited for in vain. So the next is a short one:
// a host that broke off each watch after 1.5 s went on for 14 s without the store and never knew.
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
        if (m_mustReread) {
            isOk = co_await readConfiguration();
            m_mustReread = !isOk;
        }
        if (isOk && isFollowingRelay()) {
            m_failureCount = 0;
            co_await base::sleepFor(kRelayCheckInterval);
            continue;
        }
        if (isOk)
            isOk = m_mustList ? co_await readAll() : co_await watchOnce();
        m_failureCount = isOk ? 0 : m_failureCount + 1;
        if (!isOk)
            co_await waitForStore(m_configurationVersion == 0 ? getStartupRetryPause() : decisions::getRetryPause(m_failureCount, base::getRandom()));
    }
}

bool Directory::waitsForRelays() const
{
    return m_isStoreLostByRelays && m_hasRelay && !m_isWatcher && m_configurationVersion != 0;
}

// The pause after a failed call. While the relays have lost the store as well, it is gone for all: a host that is none waits until one has it again, or for
// kLostPause. On a day whose store was gone for 7 s: 13,724 calls in place of 16,845, 0.077 of worth in place of 0.095. Then they do not come at one moment.
// A newer configuration that others have in force was read there: the store is gone for the relays only. A host that went on waiting was 7.8 s behind, with 6 s allowed.
asio::awaitable<void> Directory::waitForStore(milliseconds pause)
{
    auto began = Clock::now();
    bool mustWait = waitsForRelays();
    auto maxWait = decisions::jitterRetryAfter(kStoreLostPause, base::getRandom());
    while (waitsForRelays() && !m_mustReread && Clock::now() - began < maxWait && !m_isStopping)
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
    co_return true;
}

// All keys in one list: a starting host in another region is ready after one exchange with the store in place of three (40 ms each where
// regions are 20 ms apart). Pages are no snapshot: changes made meanwhile come again with the watch, which starts at the first page's revision.
asio::awaitable<bool> Directory::readAll()
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

// Hosts before members: whoever knows members and no other host takes itself for the one that carries to all of them.
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
    m_isInterrupted = false;
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
        bool wasImmediate = now - askedAt < kImmediateResponse; // what stood ready may have waited for as long as this host could not ask
        bool isRecent = !wasImmediate || now - m_syncedAt <= decisions::kSilentWatchThreshold;
        m_syncedAt = now;
        for (auto& it : changes->items) {
            if (it.revision <= m_revision && m_revision != since)
                continue;
            m_newestChange = std::max(m_newestChange, it.revision);
            RelayedChange change { it, isRecent ? std::optional(now) : std::nullopt, now };
            if (m_logStartsAfter != 0) // else a relay has relayed changes meanwhile, and the log would have a gap
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
    if (m_mustReread || m_isInterrupted) // we broke it off ourselves
        co_return true;
    m_isProbing = false;
    if (changes.error().kind == StoreErrorKind::HistoryLost) {
        base::logEvent(LogClass::State, "history-lost", { { "revision", static_cast<int64_t>(m_revision) } });
        m_mustList = true;
        co_return true;
    }
    setReachable(false, changes.error().reason);
    co_return false;
}

void Directory::logChange(const RelayedChange& change)
{
    m_changeLog.push_back(change);
    auto& item = m_changeLog.back().item;
    if (item.key == m_platform.getConfigurationKey())
        item.value = m_platform.replaceKeysWithDigests(item.value); // what stands here is relayed to other hosts: keys of client accounts leave no host
    m_changeLogBytes += item.value.size();
    while (m_changeLog.size() > kMaxLoggedChanges || m_changeLogBytes > kMaxLogBytes) {
        m_logStartsAfter = std::max(m_logStartsAfter, m_changeLog.front().item.revision);
        m_changeLogBytes -= m_changeLog.front().item.value.size();
        m_changeLog.pop_front();
    }
}

// A host that has lost the store knows of no change: it must not say that there is none.
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
    if (relayed.untilRevision < m_revision) // this host has read the store later than its relay
        return;
    for (auto& it : relayed.changes) {
        if (it.item.revision <= m_revision)
            continue;
        m_newestChange = std::max(m_newestChange, it.item.revision);
        if (!it.isLarge)
            applyItem(it.item, it.changedAt);
        else if (it.item.key == m_platform.getConfigurationKey())
            m_mustReread = true;
        else
            m_mustList = true;
    }
    m_revision = relayed.untilRevision;
    m_syncedAt = m_relayedAt;
    m_logStartsAfter = 0; // it has not read these itself
}

// The store answers the renewals of this host's lease all the while: without one there is a doubt, and the host looks itself.
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
            m_events.onMember(*member, item.revision, changedAt);
            return;
        }
        // It names no member to use: one that it named before is out of use, as if the entry were gone.
        reportUnreadable(item, member.error());
        m_events.onMemberRemoved(item.key.substr(members.size()), item.revision);
    } else if (item.key.starts_with(kHostsPrefix))
        applyHost(item);
    else if (item.key.starts_with(kCoordinatorRecordPrefix))
        m_events.onCoordinatorRecord(item.key.substr(kCoordinatorRecordPrefix.size()), item);
    else if (item.key.starts_with(kQuotaPrefix) && !item.isDeleted)
        applyNearQuotaAccounts(item);
}

// A version below the one in force is an old answer: it never goes back.
void Directory::applyConfigurationItem(const links::StoreItem& item)
{
    auto configuration = m_platform.parseConfiguration(item.value);
    if (!configuration) {
        base::logEvent(LogClass::State, "configuration-refused", { { "reason", std::string_view(configuration.error()) } });
        return;
    }
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
            base::logEvent(LogClass::State, "entry-lost", { { "reason", std::string_view("the store dropped this host's entry") } });
            m_lease = 0; // keepEntry() writes it anew
        }
        m_events.onHostRemoved(name);
        return;
    }
    if (auto host = parseHost(name, item.value)) {
        m_events.onHost(*host);
        return;
    }
    reportUnreadable(item, "no host's entry");
    m_events.onHostRemoved(name);
}

asio::awaitable<bool> Directory::writeNearQuotaAccounts(size_t shard, std::set<std::string> accounts)
{
    links::StoreItem item;
    item.key = fmt::format("{}{}", kQuotaPrefix, shard);
    item.value = json::serialize(json::array(accounts.begin(), accounts.end()));
    links::StoreChange change;
    change.puts.push_back(std::move(item));
    auto written = co_await m_platform.getStore().change(std::move(change), getDeadline());
    co_return written.has_value();
}

// As writeNearQuotaAccounts() writes it. Another writer may have put something else there.
void Directory::applyNearQuotaAccounts(const links::StoreItem& item)
{
    boost::system::error_code ec;
    auto value = json::parse(item.value, ec);
    auto* list = ec ? nullptr : value.if_array();
    size_t shard = 0;
    auto number = std::string_view(item.key).substr(kQuotaPrefix.size());
    bool isNumber = !number.empty() && std::from_chars(number.data(), number.data() + number.size(), shard).ptr == number.data() + number.size();
    if (!list || !isNumber) {
        reportUnreadable(item, "no list of accounts");
        return;
    }
    std::set<std::string> accounts;
    for (auto& it : *list) {
        if (it.is_string())
            accounts.emplace(it.as_string());
    }
    m_events.onNearQuotaAccounts(shard, accounts);
}

// A line a change, not a heartbeat: the store tells of an entry when more than its count has changed.
void Directory::reportUnreadable(const links::StoreItem& item, const std::string& reason)
{
    base::incrementCounter(base::MetricFamily::EntriesRefused, { { "result", "unreadable" } });
    base::logEvent(LogClass::State, "entry-unreadable", { { "key", std::string_view(item.key) }, { "reason", std::string_view(reason) }, { "revision", static_cast<int64_t>(item.revision) } });
}

asio::awaitable<bool> Directory::writeEntry()
{
    auto& store = m_platform.getStore();
    auto deadline = getStartupDeadline(m_entryAttempts);
    ++m_entryAttempts;
    auto lease = co_await store.grantLease(m_timings.lease, deadline);
    if (!lease)
        co_return false;
    links::StoreItem item;
    item.key = std::string(kHostsPrefix) + m_self.name;
    item.value = formatHost(m_self);
    item.lease = *lease;
    links::StoreChange change;
    change.puts.push_back(std::move(item));
    auto written = co_await store.change(std::move(change), getDeadline());
    if (!written)
        co_return false;
    m_lease = *lease;
    m_entryAttempts = 0;
    co_return true;
}

asio::awaitable<void> Directory::maintainEntry()
{
    auto step = milliseconds(100);
    auto renewedAt = Clock::now();
    while (!m_isStopping) {
        if (m_lease == 0) {
            bool isWritten = co_await writeEntry();
            renewedAt = Clock::now();
            if (!isWritten)
                co_await waitForStore(decisions::getRetryPause(m_entryAttempts, base::getRandom()));
            continue;
        }
        co_await base::sleepFor(step);
        if (Clock::now() - renewedAt < m_timings.lease / 3 || waitsForRelays())
            continue;
        renewedAt = Clock::now();
        auto renewed = co_await m_platform.getStore().renewLease(m_lease, getDeadline());
        if (renewed)
            continue;
        if (renewed.error().kind == StoreErrorKind::NotFound)
            m_lease = 0;
        else
            startProbe();
    }
}

}
