#include "decisions/relaying.h"
#include "gateway/peers_link.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

static constexpr milliseconds kPingInterval { 250 }; // while replies are pending; bounds how late an unresponsive host is detected
static constexpr milliseconds kIdleLinkTimeout { 20000 }; // closes unused connections to hosts that are not partners
static constexpr milliseconds kSilenceTimeout { 700 }; // a host that leaves pings unanswered for this long counts as down
static constexpr milliseconds kConnectTimeout { 250 }; // must exceed the round trip between data centres, 40 ms at most; a host that is starting may drop the attempt
static constexpr milliseconds kConnectGrace { 100 }; // a host that takes longer to connect to is not used until it is connected
static constexpr milliseconds kReconnectDelay { 100 };
static constexpr milliseconds kPongTimeRetention { 60000 }; // must exceed the time for which a host relies on an answered ping
static constexpr milliseconds kMissingMemberRetryDelay { 1000 }; // before a host that did not know a member is used for it again

Peers::Peers(boost::asio::io_context& context, std::string name, PeerCallbacks callbacks)
    : m_context(context)
    , m_name(std::move(name))
    , m_callbacks(std::move(callbacks))
    , m_inbound(context, m_name, m_callbacks)
{
}

Peers::~Peers() = default;

tl::expected<void, std::string> Peers::listen(const std::string& address)
{
    return m_inbound.listen(address);
}

void Peers::setHosts(const std::vector<links::RegisteredHost>& hosts)
{
    m_hosts.clear();
    for (auto& it : hosts) {
        if (it.name != m_name)
            m_hosts[it.name] = it;
    }
    auto links = m_links;
    for (auto& [name, link] : links) {
        auto known = m_hosts.find(name);
        // A new incarnation at the same address needs no action: a connection to the old process closes by itself, and this one may be to the new process.
        if (known != m_hosts.end() && known->second.address == link->host.address) {
            link->host = known->second;
            continue;
        }
        auto partner = link->partner;
        m_links.erase(name);
        closeLink(link, "the host was removed or has a new address");
        if (known != m_hosts.end() && link->isPartner())
            makeLink(name)->partner = partner;
    }
    std::erase_if(m_reportedLoads, [&](auto& it) { return !m_hosts.contains(it.first); });
    m_inbound.forgetPongsBefore(Clock::now() - kPongTimeRetention);
    ++m_version;
}

void Peers::setPartners(const Partners& partners)
{
    for (auto& [name, partner] : partners) {
        if (!m_links.contains(name) && m_hosts.contains(name))
            makeLink(name);
    }
    for (auto& [name, link] : m_links) {
        auto it = partners.find(name);
        link->partner = it == partners.end() ? Partner {} : it->second;
    }
}

Peers::LinkPtr Peers::makeLink(const std::string& host)
{
    auto link = std::make_shared<Link>();
    link->host = m_hosts.at(host);
    link->lastUsedAt = Clock::now();
    m_links[host] = link;
    connect(link);
    return link;
}

void Peers::connect(const LinkPtr& link)
{
    auto now = Clock::now();
    link->channel = std::make_shared<links::Channel>(m_context.get_executor(), links::ChannelOptions { links::splitFrame });
    link->connectStartedAt = now;
    link->lastReceivedAt = now;
    link->pendingPings.clear();
    auto channel = link->channel;
    channel->connect(
        link->host.address, kConnectTimeout, [this, link, channel](std::string_view message) {
            if (link->channel == channel)
                handleMessage(link, message); }, [this, link, channel](const std::string& reason) {
            if (link->channel == channel)
                closeLink(link, reason); });
}

void Peers::closeLink(const LinkPtr& link, const std::string& reason)
{
    if (!link->channel)
        return;
    bool wasConnected = link->channel->wasConnected();
    link->channel->close();
    link->channel = nullptr;
    link->hasAnswered = false;
    link->earliestConnectAt = Clock::now() + kReconnectDelay;
    link->loads.clear();
    link->missingMembers.clear();
    link->reportedUnusable.clear();
    if (link->isUp) {
        link->isUp = false;
        ++m_version;
        m_callbacks.onHostChange(link->host.name, false, reason);
    }
    auto calls = std::move(link->calls);
    link->calls.clear();
    for (auto& [number, call] : calls) {
        // Only if the connection was never established is it certain that the request did not arrive.
        auto kind = wasConnected ? ErrorKind::OutcomeUnknown : ErrorKind::TargetUnreachable;
        call.done(decisions::makeFailure(kind, "the connection to host " + link->host.name + " was lost: " + reason, wasConnected));
    }
    auto statusQueries = std::move(link->statusQueries);
    link->statusQueries.clear();
    for (auto& [number, done] : statusQueries)
        done({});
}

bool Peers::isUp(const std::string& host) const
{
    auto it = m_links.find(host);
    if (it == m_links.end())
        return m_hosts.contains(host) && !isReportedUnusable(host, {});
    auto& link = *it->second;
    bool isConnected = link.channel && link.channel->wasConnected();
    return link.isUp && (isConnected || Clock::now() - link.connectStartedAt < kConnectGrace) && !isReportedUnusable(host, link.lastReceivedAt);
}

// A recent message from the host itself outweighs the reports of relays.
bool Peers::isReportedUnusable(const std::string& host, TimePoint lastReceivedAt) const
{
    return !m_unusableHosts.empty() && m_unusableHosts.contains(host) && Clock::now() - lastReceivedAt > kReportLifetime;
}

bool Peers::isAnswering(const std::string& host) const
{
    auto it = m_links.find(host);
    return it != m_links.end() && it->second->isUp && it->second->hasAnswered;
}

bool Peers::isLeaving(const std::string& host) const
{
    auto it = m_links.find(host);
    return it != m_links.end() && it->second->isLeaving;
}

decisions::HostCapabilities Peers::getCapabilities(const std::string& host) const
{
    auto it = m_links.find(host);
    return it == m_links.end() ? decisions::HostCapabilities {} : it->second->capabilities;
}

double Peers::getRoundTripMs(const std::string& host) const
{
    auto it = m_links.find(host);
    return it == m_links.end() ? kInitialRoundTripMs : it->second->roundTripMs;
}

std::optional<peer::Load> Peers::getLoad(const std::string& host, const std::string& member) const
{
    auto now = Clock::now();
    const TimestampedLoad* newest = nullptr;
    auto considerLoads = [&](const Loads& loads) {
        auto it = loads.find(member);
        bool isFresh = it != loads.end() && now - it->second.at < kReportLifetime; // a host omits members that it reaches again and does not forward to
        if (isFresh && (!newest || it->second.at > newest->at))
            newest = &it->second;
    };
    if (auto it = m_links.find(host); it != m_links.end())
        considerLoads(it->second->loads);
    if (auto it = m_reportedLoads.find(host); it != m_reportedLoads.end())
        considerLoads(it->second);
    return newest ? std::optional(newest->load) : std::nullopt;
}

bool Peers::lacksMember(const std::string& host, const std::string& member) const
{
    auto link = m_links.find(host);
    if (link == m_links.end())
        return false;
    auto it = link->second->missingMembers.find(member);
    return it != link->second->missingMembers.end() && Clock::now() - it->second < kMissingMemberRetryDelay;
}

std::vector<std::string> Peers::getAnsweringHosts() const
{
    std::vector<std::string> names;
    for (auto& [name, link] : m_links) {
        if (link->isUp && link->hasAnswered)
            names.push_back(name);
    }
    return names;
}

decisions::HostReachability Peers::getReachability() const
{
    decisions::HostReachability hosts;
    auto now = Clock::now();
    for (auto& [name, link] : m_links) {
        if (!link->isPartner()) // its last answer may be long ago
            continue;
        bool isAnswering = link->isUp && link->hasAnswered;
        bool answeredRecently = link->lastPongAt != TimePoint {} && now - link->lastPongAt < decisions::kLostHostRetention;
        if (isAnswering)
            ++hosts.answering;
        else if (answeredRecently && !link->isLeaving)
            ++hosts.lost;
    }
    return hosts;
}

Peers::LinkPtr Peers::acquireLink(const std::string& host)
{
    auto it = m_links.find(host);
    if (it == m_links.end())
        return m_hosts.contains(host) ? makeLink(host) : nullptr;
    if (!it->second->channel)
        return nullptr;
    it->second->lastUsedAt = Clock::now();
    return it->second;
}

// Evaluated on each sweep, as the reports of a relay expire when it stops answering.
void Peers::updateUnusableHosts()
{
    std::vector<std::set<std::string>> reports;
    for (auto& [name, link] : m_links) {
        if (link->partner.isRelay && link->isUp && link->hasAnswered)
            reports.push_back(link->reportedUnusable);
    }
    auto unusable = decisions::findUnreachableHosts(reports);
    m_version += unusable == m_unusableHosts ? 0 : 1;
    m_unusableHosts = std::move(unusable);
}

bool Peers::isPingDue(const Link& link, TimePoint now) const
{
    auto passed = now - link.lastPingAt;
    if (passed < kPingInterval)
        return false;
    bool hasOverdueCall = std::ranges::any_of(link.calls, [&](auto& it) { return now - it.second.sentAt > decisions::kOverdueReplyThreshold; });
    return !link.hasAnswered || hasOverdueCall || !link.pendingPings.empty() || (link.isPartner() && passed >= link.partner.interval);
}

void Peers::ping(const LinkPtr& link, TimePoint now)
{
    link->lastPingAt = now;
    link->pendingPings[++link->pingNumber] = now;
    peer::Frame frame;
    frame.mutable_ping()->set_number(link->pingNumber);
    frame.mutable_ping()->set_host(m_name);
    frame.mutable_ping()->set_wants_heard(link->partner.isRelay);
    frame.mutable_ping()->set_wants_loads(link->partner.reportsLoads);
    m_callbacks.fillPing(*frame.mutable_ping());
    sendFrame(*link->channel, frame);
}

void Peers::sweep(TimePoint now)
{
    std::vector<LinkPtr> links; // callbacks may change the map
    for (auto& [name, link] : m_links)
        links.push_back(link);
    for (auto& link : links) {
        auto& name = link->host.name;
        if (!link->channel) {
            if (!link->isPartner() && now - link->lastUsedAt > kIdleLinkTimeout)
                m_links.erase(name);
            else if (now >= link->earliestConnectAt)
                connect(link);
            continue;
        }
        bool isSilent = !link->pendingPings.empty() && now - link->pendingPings.begin()->second > kSilenceTimeout && now - link->lastReceivedAt > kSilenceTimeout;
        if (isSilent) {
            closeLink(link, "silent");
            continue;
        }
        bool isSlowToConnect = !link->channel->wasConnected() && now - link->connectStartedAt > kConnectGrace;
        m_version += isSlowToConnect == link->wasSlowToConnect ? 0 : 1;
        link->wasSlowToConnect = isSlowToConnect;
        expireCalls(link, now);
        if (!link->isPartner() && link->calls.empty() && now - link->lastUsedAt > kIdleLinkTimeout) {
            m_links.erase(name);
            link->channel->close();
        } else if (isPingDue(*link, now))
            ping(link, now);
    }
    updateUnusableHosts();
}

void Peers::stop()
{
    m_inbound.stop();
}

}
