#include "controllers/configuration.h"
#include "base/metrics.h"
#include "base/timeline.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace alderward::controllers {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;

static constexpr milliseconds kStoreTimeout { 2000 };
static constexpr milliseconds kRetryPause { 200 };
static constexpr milliseconds kWatcherCheckInterval { 500 }; // interval of checking whether this host has become a watcher

static std::vector<std::string> getWatchedPrefixes()
{
    return { std::string(decisions::kGroupPrefix), std::string(decisions::kHostListPrefix) };
}

ConfigurationController::ConfigurationController(Node& node)
    : m_node(node)
    , m_strand(asio::make_strand(node.contexts.getNext()))
{
}

void ConfigurationController::start(std::function<bool()> isWatcher)
{
    m_isWatcher = std::move(isWatcher);
    asio::co_spawn(m_strand, watchForever(), asio::detached);
}

// ---- exchange with peers ----

static peer::RecordBody makeBody(const std::string& key, const decisions::VersionedValue& value)
{
    peer::RecordBody body;
    body.set_key(key);
    body.set_version(value.version);
    body.set_value(value.value);
    return body;
}

decisions::BucketDigests ConfigurationController::getBucketDigests() const
{
    std::lock_guard lock(m_mutex);
    return decisions::getBucketDigests(m_values);
}

std::vector<peer::RecordVersion> ConfigurationController::getVersions(const decisions::BucketMask& buckets) const
{
    std::lock_guard lock(m_mutex);
    std::vector<peer::RecordVersion> versions;
    for (auto& [key, value] : m_values) {
        if (!buckets[decisions::getBucket(key)])
            continue;
        peer::RecordVersion it;
        it.set_key(key);
        it.set_version(value.version);
        versions.push_back(std::move(it));
    }
    return versions;
}

namespace {

// Collects bodies up to a limit in bytes. The first body is always added.
struct BodyList {
    size_t limit { 0 };
    size_t size { 0 };
    std::vector<peer::RecordBody> bodies {};

    bool tryAdd(const std::string& key, const decisions::VersionedValue& value)
    {
        if (size > 0 && size + value.value.size() > limit)
            return false;
        size += value.value.size();
        bodies.push_back(makeBody(key, value));
        return true;
    }
};

}

std::vector<peer::RecordBody> ConfigurationController::getNewerBodies(const std::vector<peer::RecordVersion>& versions, const decisions::BucketMask& buckets, size_t limit) const
{
    std::map<std::string, uint64_t> peerVersions;
    for (auto& it : versions)
        peerVersions[it.key()] = it.version();
    BodyList list { limit };
    std::lock_guard lock(m_mutex);
    for (auto& [key, value] : m_values) {
        auto it = peerVersions.find(key);
        bool isNewer = buckets[decisions::getBucket(key)] && (it == peerVersions.end() || it->second < value.version);
        if (isNewer && !list.tryAdd(key, value))
            break;
    }
    return std::move(list.bodies);
}

std::vector<peer::RecordBody> ConfigurationController::getBodies(const std::vector<std::string>& keys, size_t limit) const
{
    BodyList list { limit };
    std::lock_guard lock(m_mutex);
    for (auto& key : keys) {
        auto it = m_values.find(key);
        if (it != m_values.end() && !list.tryAdd(key, it->second))
            break;
    }
    return std::move(list.bodies);
}

std::vector<std::string> ConfigurationController::findOutdatedKeys(const std::vector<peer::RecordVersion>& versions) const
{
    std::vector<std::string> keys;
    std::lock_guard lock(m_mutex);
    for (auto& it : versions) {
        auto local = m_values.find(it.key());
        if (local == m_values.end() || local->second.version < it.version())
            keys.push_back(it.key());
    }
    return keys;
}

void ConfigurationController::applyBodies(const std::vector<peer::RecordBody>& bodies)
{
    if (bodies.empty())
        return;
    decisions::ValueMap values;
    for (auto& it : bodies)
        values[it.key()] = { it.version(), it.value() };
    asio::post(m_strand, [this, values = std::move(values)] { applyValues(values, "peer"); });
}

// ---- applying values ----

void ConfigurationController::applyValues(const decisions::ValueMap& values, const std::string& source)
{
    auto next = std::make_shared<Configuration>(*m_snapshot.read());
    bool hasChanged = !next->isLoaded;
    std::vector<peer::RecordBody> changedBodies;
    next->isLoaded = true;
    for (auto& [key, value] : values) {
        {
            std::lock_guard lock(m_mutex);
            if (!decisions::updateIfNewer(m_values, key, value))
                continue;
        }
        hasChanged = true;
        changedBodies.push_back(makeBody(key, value));
        next->storeRevision = std::max(next->storeRevision, value.version);
        if (key.starts_with(decisions::kHostListPrefix)) {
            applyPlatformHost(*next, key.substr(decisions::kHostListPrefix.size()), value);
            continue;
        }
        if (!key.starts_with(decisions::kGroupPrefix))
            continue;
        auto name = key.substr(decisions::kGroupPrefix.size());
        if (applyGroup(*next, name, value))
            base::getTimeline().add("record-in-force", name, fmt::format("version {} from {}", value.version, source));
    }
    if (!hasChanged)
        return;
    {
        std::lock_guard lock(m_mutex);
        m_digest = decisions::getDigest(m_values);
    }
    m_snapshot.publish(next);
    if (m_onChange)
        m_onChange();
    if (m_onNewValues && !changedBodies.empty())
        m_onNewValues(std::move(changedBodies));
}

bool ConfigurationController::applyGroup(Configuration& next, const std::string& name, const decisions::VersionedValue& value)
{
    tl::expected<decisions::GroupRecord, decisions::RecordProblem> record = tl::make_unexpected(decisions::RecordProblem {});
    auto envelope = decisions::parseEnvelope(value.value);
    if (envelope)
        record = decisions::parseGroupRecord(name, envelope->record);
    else
        record = tl::make_unexpected(envelope.error());
    if (!record) {
        auto text = decisions::formatProblem(record.error());
        next.refused[name] = { value.version, text };
        base::count(base::Counter::RecordsRefused);
        base::getTimeline().add("record-refused", name, fmt::format("version {}: {}", value.version, text));
        return false;
    }
    auto& current = next.groups[name];
    base::checkInvariant(value.version > current.version, "the version of an active record decreased", name);
    current = { std::make_shared<const decisions::GroupRecord>(std::move(*record)), value.version };
    next.refused.erase(name);
    base::count(base::Counter::RecordsApplied);
    return true;
}

void ConfigurationController::applyPlatformHost(Configuration& next, const std::string& name, const decisions::VersionedValue& value)
{
    if (auto host = decisions::parsePlatformHost(name, value.value))
        next.platformHosts[name] = std::move(*host);
}

// ---- the platform ----

void ConfigurationController::updatePlatformReachability(bool isReachable)
{
    if (isReachable != m_isPlatformReachable)
        base::getTimeline().add(isReachable ? "platform-reachable" : "platform-unreachable", "", "result of the record watch");
    m_isPlatformReachable = isReachable;
}

// A host without records loads them once even if it is no watcher, so that it can serve while its peers are down.
asio::awaitable<void> ConfigurationController::watchForever()
{
    std::unique_ptr<links::HttpConnection> link;
    bool mustLoad = true;
    for (;;) {
        bool isLoaded = m_snapshot.read()->isLoaded;
        if (isLoaded && !m_isWatcher()) {
            link.reset();
            mustLoad = true;
            co_await base::sleepFor(kWatcherCheckInterval);
            continue;
        }
        if (mustLoad) {
            bool hasSucceeded = co_await loadAll();
            updatePlatformReachability(hasSucceeded);
            mustLoad = !hasSucceeded;
            if (!hasSucceeded)
                co_await base::sleepFor(kRetryPause);
            continue;
        }
        if (!link || !link->isOpen()) {
            link = links::makeHttpConnection(m_strand, m_node.settings.platformAddress);
            auto opened = co_await link->open(Clock::now() + kStoreTimeout);
            updatePlatformReachability(opened.has_value());
            if (!opened) {
                link.reset();
                co_await base::sleepFor(kRetryPause);
                continue;
            }
        }
        mustLoad = !co_await watchOnce(*link);
        if (mustLoad)
            co_await base::sleepFor(kRetryPause);
    }
}

asio::awaitable<bool> ConfigurationController::loadAll()
{
    auto list = co_await links::listValues(m_node.platform, getWatchedPrefixes(), Clock::now() + kStoreTimeout);
    if (!list)
        co_return false;
    decisions::ValueMap values;
    for (auto& it : list->values)
        values[it.key] = { it.revision, it.value };
    applyValues(values, "platform");
    m_watchedRevision = list->revision;
    co_return true;
}

asio::awaitable<bool> ConfigurationController::watchOnce(links::HttpConnection& link)
{
    auto wait = milliseconds(m_node.settings.watchWaitMs);
    auto list = co_await links::watchValues(m_node.platform, link, getWatchedPrefixes(), m_watchedRevision, wait);
    updatePlatformReachability(list.has_value());
    if (!list || list->wasCompacted)
        co_return false;
    decisions::ValueMap values;
    for (auto& it : list->values) {
        if (!it.isDeleted)
            values[it.key] = { it.revision, it.value };
    }
    applyValues(values, "platform");
    m_watchedRevision = std::max(m_watchedRevision, list->revision);
    co_return true;
}

}
