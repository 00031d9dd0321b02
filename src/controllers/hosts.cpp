#include "controllers/hosts.h"
#include "base/metrics.h"
#include "base/timeline.h"
#include "decisions/hashing.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace alderward::controllers {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;
using decisions::HostInfo;
using decisions::HostState;

static constexpr milliseconds kExchangeTimeout { 400 };
static constexpr size_t kIndirectProbers = 2; // hosts that are asked to probe an unresponsive host
static constexpr unsigned kMismatchesBeforeSync = 4; // fewer mismatches may come from updates still in transit
static constexpr size_t kMaxBodyBytes = 256 * 1024; // record bodies in one message
static constexpr size_t kPushPartners = 4; // hosts to which a new record is sent immediately
static constexpr size_t kMaxPushBytes = 64 * 1024; // larger sets of records spread by regular exchanges
static constexpr uint64_t kRoundsPerDeadHostRetry = 10; // exchange rounds between attempts to reach a dead host
static constexpr decisions::BucketMask kAllBuckets = [] {
    decisions::BucketMask all {};
    all.fill(true);
    return all;
}();
static constexpr size_t kLeavingRecipients = 4; // peers notified that this host is leaving

static peer::HostNews toMessage(const HostInfo& info)
{
    peer::HostNews it;
    it.set_name(info.name);
    it.set_incarnation(info.incarnation);
    it.set_state(static_cast<uint32_t>(info.state));
    it.set_data_centre(info.dataCentre);
    it.set_peer_address(info.peerAddress);
    it.set_caller_address(info.callerAddress);
    it.set_operator_address(info.operatorAddress);
    return it;
}

template <typename Messages>
static std::vector<HostInfo> fromMessages(const Messages& messages)
{
    std::vector<HostInfo> updates;
    for (const peer::HostNews& it : messages) {
        auto state = std::min(it.state(), static_cast<uint32_t>(HostState::Dead));
        updates.push_back({ it.name(), it.incarnation(), static_cast<HostState>(state), it.data_centre(), it.peer_address(), it.caller_address(), it.operator_address() });
    }
    return updates;
}

template <typename Messages>
static auto toVector(const Messages& messages)
{
    return std::vector<std::decay_t<decltype(*messages.begin())>>(messages.begin(), messages.end());
}

static std::span<const uint64_t> toSpan(const google::protobuf::RepeatedField<uint64_t>& field)
{
    return { field.data(), static_cast<size_t>(field.size()) };
}

static HostInfo describeSelf(const base::Settings& settings, uint64_t incarnation)
{
    return { settings.name, incarnation, HostState::Alive, settings.dataCentre, settings.peerAddress, settings.callerAddress, settings.operatorAddress };
}

HostsController::HostsController(Node& node, ConfigurationController& configuration, uint64_t incarnation)
    : m_node(node)
    , m_configuration(configuration)
    , m_strand(asio::make_strand(node.contexts.getNext()))
    , m_membership(decisions::makeMembership(describeSelf(node.settings, incarnation), Clock::now()))
    , m_snapshot(std::make_shared<const decisions::Membership>(m_membership))
{
}

void HostsController::start()
{
    m_rounds = m_node.timers.subscribe(m_strand, milliseconds(m_node.settings.exchangeIntervalMs), [this] { startRound(); });
}

bool HostsController::isWatcher() const
{
    auto membership = m_snapshot.read();
    std::vector<std::string> names;
    for (auto& it : decisions::getLiveHosts(*membership)) {
        if (it.dataCentre == m_node.settings.dataCentre)
            names.push_back(it.name);
    }
    auto ranked = decisions::rankHosts("watchers", names);
    auto count = std::min(ranked.size(), static_cast<size_t>(m_node.settings.watchers));
    return std::find(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), m_node.settings.name) != ranked.begin() + static_cast<std::ptrdiff_t>(count);
}

// The membership has no lock and is only accessed on the strand.
void HostsController::checkStrand() const
{
    base::checkInvariant(m_strand.running_in_this_thread(), "the membership was accessed outside its strand", "");
}

void HostsController::publish(const std::vector<std::string>& changed, const std::string& cause)
{
    checkStrand();
    if (changed.empty())
        return;
    for (auto& name : changed) {
        auto* it = decisions::findHost(m_membership, name);
        if (it)
            base::getTimeline().add("host-" + std::string(decisions::getHostStateName(it->state)), "", fmt::format("{} incarnation {}: {}", name, it->incarnation, cause));
    }
    m_snapshot.publish(std::make_shared<const decisions::Membership>(m_membership));
    if (m_onChange)
        m_onChange();
}

void HostsController::applyUpdates(const std::vector<HostInfo>& updates, const std::string& from)
{
    checkStrand();
    publish(decisions::applyHostUpdates(m_membership, updates, Clock::now()), "update from " + from);
}

peer::ExchangeRequest HostsController::makeRequest()
{
    checkStrand();
    peer::ExchangeRequest request;
    request.set_from(m_node.settings.name);
    request.set_hosts_digest(decisions::getDigest(m_membership));
    request.set_records_digest(m_configuration.getDigest());
    for (auto& it : decisions::takeUpdatesToSend(m_membership, m_timings))
        *request.add_hosts() = toMessage(it);
    return request;
}

// Counts the payload of a message, in total and by purpose. The remainder consists of digests, names and clocks.
template <typename Message>
static void countBytes(const Message& message)
{
    base::count(base::Counter::ExchangeBytes, message.ByteSizeLong());
    for (auto& it : message.hosts())
        base::count(base::Counter::ExchangeHostBytes, it.ByteSizeLong());
    for (auto& it : message.bodies())
        base::count(base::Counter::ExchangeRecordBytes, it.ByteSizeLong());
}

asio::awaitable<links::LinkResult<peer::ExchangeReply>> HostsController::send(std::string name, peer::ExchangeRequest request, milliseconds limit)
{
    auto* host = decisions::findHost(m_membership, name);
    if (!host)
        co_return tl::make_unexpected(links::LinkFailure { false, false, "unknown host" });
    auto address = host->peerAddress;
    base::count(base::Counter::Exchanges);
    countBytes(request);
    for (auto& it : request.groups())
        base::count(base::Counter::ExchangeGroupBytes, it.ByteSizeLong());
    auto reply = co_await m_node.peers.exchange(name, address, std::move(request), limit);
    if (reply)
        countBytes(*reply);
    if (reply) {
        for (auto& it : reply->versions())
            base::count(base::Counter::ExchangeRecordBytes, it.ByteSizeLong());
    }
    co_return reply;
}

// Adds hosts that are known only from the platform's list. What a host reports of itself takes precedence over the list.
void HostsController::applyPlatformHosts()
{
    checkStrand();
    auto configuration = m_configuration.getSnapshot().read();
    bool isDue = configuration != m_appliedConfiguration || m_round % kRoundsPerDeadHostRetry == 0;
    if (!isDue)
        return;
    m_appliedConfiguration = configuration;
    std::vector<decisions::PlatformHost> listed;
    for (auto& [name, host] : configuration->platformHosts)
        listed.push_back(host);
    auto before = m_membership.hosts.size();
    decisions::applyPlatformList(m_membership, listed, Clock::now());
    if (m_membership.hosts.size() == before)
        return;
    m_snapshot.publish(std::make_shared<const decisions::Membership>(m_membership));
    if (m_onChange)
        m_onChange();
}

void HostsController::applyHostList(std::function<void()> then)
{
    asio::post(m_strand, [this, then = std::move(then)] {
        applyPlatformHosts();
        then();
    });
}

void HostsController::startRound()
{
    auto seed = decisions::getHash(m_node.settings.name) + m_round;
    publish(decisions::expireHosts(m_membership, m_timings, Clock::now()), "suspicion not refuted in time");
    applyPlatformHosts();
    for (auto& it : decisions::choosePartners(m_membership, static_cast<size_t>(m_node.settings.partnersPerExchange), seed))
        asio::co_spawn(m_strand, exchangeWith(it), asio::detached);
    if (m_round % kRoundsPerDeadHostRetry == 0) {
        if (auto dead = decisions::chooseDeadHost(m_membership, seed))
            asio::co_spawn(m_strand, synchronise(*dead), asio::detached);
    }
    ++m_round;
}

asio::awaitable<void> HostsController::exchangeWith(std::string name)
{
    auto reply = co_await send(name, makeRequest(), kExchangeTimeout);
    if (!reply) {
        co_await probeIndirectly(name);
        co_return;
    }
    applyReply(*reply, name);
    bool hostsDiffer = reply->hosts_digest() != decisions::getDigest(m_membership);
    m_hostMismatches = hostsDiffer ? m_hostMismatches + 1 : 0;
    bool recordsDiffer = reply->records_digest() != m_configuration.getDigest();
    if (recordsDiffer || m_hostMismatches >= kMismatchesBeforeSync) {
        m_hostMismatches = 0;
        co_await synchronise(name);
    }
}

void HostsController::applyReply(const peer::ExchangeReply& reply, const std::string& from)
{
    applyUpdates(fromMessages(reply.hosts()), from);
    m_configuration.applyBodies(toVector(reply.bodies()));
}

static void addHosts(auto& message, const decisions::Membership& membership, const decisions::BucketMask& buckets)
{
    message.clear_hosts();
    for (auto& [name, known] : membership.hosts) {
        if (buckets[decisions::getBucket(name)])
            *message.add_hosts() = toMessage(known.info);
    }
}

// Adds the digests of all buckets.
void HostsController::addBuckets(auto& message) const
{
    for (auto it : decisions::getBucketDigests(m_membership))
        message.add_host_buckets(it);
    for (auto it : m_configuration.getBucketDigests())
        message.add_record_buckets(it);
}

// Anti-entropy in two exchanges. The first finds the buckets that differ and fetches their remote contents; the second sends
// the local contents and requests missing bodies. The cost depends on the number of differing buckets, not of all keys.
asio::awaitable<void> HostsController::synchronise(std::string name)
{
    auto request = makeRequest();
    addBuckets(request);
    auto reply = co_await send(name, std::move(request), kExchangeTimeout * 2);
    if (!reply)
        co_return;
    auto hostBuckets = decisions::findDifferingBuckets(decisions::getBucketDigests(m_membership), toSpan(reply->host_buckets()));
    auto recordBuckets = decisions::findDifferingBuckets(m_configuration.getBucketDigests(), toSpan(reply->record_buckets()));
    applyReply(*reply, name);
    auto differences = makeRequest();
    addHosts(differences, m_membership, hostBuckets);
    auto versions = toVector(reply->versions());
    for (auto& it : m_configuration.findOutdatedKeys(versions))
        differences.add_wanted(it);
    for (auto& it : m_configuration.getNewerBodies(versions, recordBuckets, kMaxBodyBytes))
        *differences.add_bodies() = it;
    if (differences.hosts().empty() && differences.wanted().empty() && differences.bodies().empty())
        co_return;
    auto finalReply = co_await send(name, std::move(differences), kExchangeTimeout * 2);
    if (finalReply)
        applyReply(*finalReply, name);
}

asio::awaitable<void> HostsController::probeIndirectly(std::string name)
{
    auto probers = decisions::choosePartners(m_membership, kIndirectProbers + 1, m_round * 7919);
    std::erase(probers, name);
    if (probers.size() > kIndirectProbers)
        probers.resize(kIndirectProbers);
    size_t probeCount = 0;
    size_t unanswered = 0;
    for (auto& it : probers) {
        peer::ExchangeRequest request;
        request.set_from(m_node.settings.name);
        request.set_hosts_digest(decisions::getDigest(m_membership));
        request.set_records_digest(m_configuration.getDigest());
        request.set_probe(name);
        auto reply = co_await send(it, std::move(request), kExchangeTimeout * 3);
        if (!reply)
            continue;
        ++probeCount;
        if (!reply->probe_answered())
            ++unanswered;
        else
            co_return;
    }
    auto* host = decisions::findHost(m_membership, name);
    if (host && decisions::suspectHost(m_membership, name, unanswered, probeCount, Clock::now()))
        publish({ name }, fmt::format("no answer to this host and {} of {} others", unanswered, probeCount));
}

// Spawned on the strand, because `co_await dispatch(m_strand, use_awaitable)` would resume on the caller's executor.
asio::awaitable<peer::ExchangeReply> HostsController::handleExchange(peer::ExchangeRequest request)
{
    co_return co_await asio::co_spawn(m_strand, answerExchange(std::move(request)), asio::use_awaitable);
}

asio::awaitable<peer::ExchangeReply> HostsController::answerExchange(peer::ExchangeRequest request)
{
    peer::ExchangeReply reply;
    if (!request.probe().empty()) {
        auto probed = co_await send(request.probe(), makeRequest(), kExchangeTimeout);
        reply.set_probe_answered(probed.has_value());
    }
    applyUpdates(fromMessages(request.hosts()), request.from());
    for (auto& it : request.groups()) {
        if (m_onGroupNews)
            m_onGroupNews(it);
    }
    m_configuration.applyBodies(toVector(request.bodies()));
    auto hostsDigest = decisions::getDigest(m_membership);
    reply.set_hosts_digest(hostsDigest);
    reply.set_records_digest(m_configuration.getDigest());
    bool isSynchronising = !request.record_buckets().empty();
    if (isSynchronising) {
        addBuckets(reply);
        addHosts(reply, m_membership, decisions::findDifferingBuckets(decisions::getBucketDigests(m_membership), toSpan(request.host_buckets())));
        for (auto& it : m_configuration.getVersions(decisions::findDifferingBuckets(m_configuration.getBucketDigests(), toSpan(request.record_buckets()))))
            *reply.add_versions() = it;
    } else {
        for (auto& it : decisions::takeUpdatesToSend(m_membership, m_timings))
            *reply.add_hosts() = toMessage(it);
    }
    // A new host without records receives all of them with its first exchange.
    bool isNewHost = !isSynchronising && request.records_digest() == 0 && m_configuration.getDigest() != 0;
    auto bodies = isNewHost ? m_configuration.getNewerBodies({}, kAllBuckets, kMaxBodyBytes) : m_configuration.getBodies(toVector(request.wanted()), kMaxBodyBytes);
    for (auto& it : bodies)
        *reply.add_bodies() = it;
    co_return reply;
}

asio::awaitable<void> HostsController::announceLeaving()
{
    co_await asio::co_spawn(m_strand, sendLeaving(), asio::use_awaitable);
}

asio::awaitable<void> HostsController::sendLeaving()
{
    auto self = m_membership.hosts[m_node.settings.name].info;
    self.state = HostState::Leaving;
    decisions::setSelfInfo(m_membership, self, Clock::now());
    publish({ self.name }, "planned stop");
    for (auto& it : decisions::choosePartners(m_membership, kLeavingRecipients, m_round))
        co_await send(it, makeRequest(), kExchangeTimeout);
}

void HostsController::pushRecords(std::vector<peer::RecordBody> bodies)
{
    size_t n = 0;
    for (auto& it : bodies)
        n += it.value().size();
    // Large sets such as the initial load are not pushed. Hosts that lack records request them.
    if (n > kMaxPushBytes)
        return;
    asio::post(m_strand, [this, bodies = std::move(bodies)] {
        // The seed differs by host: if all chose the same partners, some hosts would not be reached.
        auto seed = decisions::getHash(m_node.settings.name + bodies.front().key(), bodies.front().version());
        for (auto& name : decisions::choosePartners(m_membership, kPushPartners, seed)) {
            auto request = makeRequest();
            for (auto& it : bodies)
                *request.add_bodies() = it;
            asio::co_spawn(
                m_strand, [this, name, request = std::move(request)]() mutable -> asio::awaitable<void> { co_await send(name, std::move(request), kExchangeTimeout); }, asio::detached);
        }
    });
}

void HostsController::exchangeNow(const std::string& name)
{
    asio::co_spawn(
        m_strand, [this, name]() -> asio::awaitable<void> {
            if (!m_pendingExchanges.insert(name).second)
                co_return;
            co_await exchangeWith(name);
            m_pendingExchanges.erase(name);
        },
        asio::detached);
}

void HostsController::sendGroupNews(const std::vector<std::string>& hosts, const peer::GroupNews& news)
{
    for (auto& name : hosts) {
        if (name == m_node.settings.name)
            continue;
        asio::co_spawn(
            m_strand, [this, name, news]() -> asio::awaitable<void> {
                auto request = makeRequest();
                *request.add_groups() = news;
                co_await send(name, std::move(request), kExchangeTimeout);
            },
            asio::detached);
    }
}

}
