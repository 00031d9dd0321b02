#include "gateway/peers.h"
#include "decisions/relaying.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

static constexpr milliseconds kPingInterval { 250 }; // where orders are under way: bounds how late a silent host is noticed
static constexpr milliseconds kUnusedFor { 20000 }; // a connection to a host that is no partner is closed after this; idle, it costs a descriptor and the kernel's probes
static constexpr milliseconds kHeardFor { 2000 }; // what another host told counts this long: longer than two exchanges that fail
static constexpr milliseconds kSilentLimit { 700 }; // without any answer to a ping, the host counts as down
static constexpr milliseconds kConnectLimit { 250 }; // connecting takes one way there and back, 40 ms at most on the sites that were seen; a host that is not up yet swallows it
static constexpr milliseconds kConnectUsual { 100 }; // a host that takes longer to connect to is passed over until it is connected
static constexpr milliseconds kReconnectPause { 100 }; // after a failure
static constexpr milliseconds kAnswerSlack { 250 }; // an order's host answers this long after the order's deadline at the latest
static constexpr milliseconds kLacksFor { 1000 }; // a host that did not know a member is asked to carry to it again after this
static constexpr double kDistanceGuessMs = 10; // before the first ping came back
static constexpr double kDistanceSmoothing = 0.2; // weight of the newest ping

struct Call {
    RequestCallback done;
    std::string member;
    TimePoint limit;
    TimePoint sentAt;
};

// A connection that this host opened.
struct Peers::Link {
    links::RegisteredHost host;
    std::shared_ptr<links::Channel> channel;
    Partner partner {};
    bool isUp { true };
    bool isLeaving { false };
    decisions::HostCapabilities ability {};
    TimePoint usedAt {}; // when something other than a ping was last sent
    bool wasHeard { false };
    TimePoint heardAt {}; // on the present connection
    TimePoint pongAt {}; // on any
    TimePoint pingedAt {};
    TimePoint membersAskedAt {};
    TimePoint connectedAt {};
    TimePoint noConnectBefore {};
    uint64_t pingNumber { 0 };
    uint64_t lastCall { 0 };
    std::map<uint64_t, TimePoint> pings; // unanswered: when sent
    std::unordered_map<uint64_t, Call> calls;
    std::unordered_map<uint64_t, std::function<void(const StatusReport&)>> inquiries;
    Loads loads;
    std::set<std::string> unusable; // other hosts, as a relay said last
    bool wasConnecting { false }; // at the last sweep, and too long for it to count as up
    std::map<std::string, TimePoint> lacked; // members that it did not know, and when it said so
    double distanceMs { kDistanceGuessMs };
    bool isPartner() const { return partner.interval.count() > 0; }
};

Peers::Peers(boost::asio::io_context& context, std::string name, PeerService service)
    : m_context(context)
    , m_name(std::move(name))
    , m_service(std::move(service))
    , m_inbound(context, m_name, m_service)
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
        // A process that was started anew has new connections: the old one ends by itself, and this may be one to the new process.
        if (known != m_hosts.end() && known->second.address == link->host.address) {
            link->host = known->second;
            continue;
        }
        auto partner = link->partner;
        m_links.erase(name);
        loseLink(link, "the host is gone or has moved");
        if (known != m_hosts.end() && link->isPartner())
            makeLink(name)->partner = partner;
    }
    std::erase_if(m_toldLoads, [&](auto& it) { return !m_hosts.contains(it.first); });
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
    link->usedAt = Clock::now();
    m_links[host] = link;
    connect(link);
    return link;
}

void Peers::connect(const LinkPtr& link)
{
    auto now = Clock::now();
    link->channel = std::make_shared<links::Channel>(m_context.get_executor(), links::ChannelOptions { links::splitFrame });
    link->connectedAt = now;
    link->heardAt = now;
    link->pings.clear();
    auto channel = link->channel;
    channel->connect(
        link->host.address, kConnectLimit, [this, link, channel](std::string_view message) {
            if (link->channel == channel)
                takeFromHost(link, message); }, [this, link, channel](const std::string& reason) {
            if (link->channel == channel)
                loseLink(link, reason); });
}

void Peers::loseLink(const LinkPtr& link, const std::string& reason)
{
    if (!link->channel)
        return;
    bool wasConnected = link->channel->wasConnected();
    link->channel->close();
    link->channel = nullptr;
    link->wasHeard = false;
    link->noConnectBefore = Clock::now() + kReconnectPause;
    link->loads.clear();
    link->lacked.clear();
    link->unusable.clear();
    if (link->isUp) {
        link->isUp = false;
        ++m_version;
        m_service.onLink(link->host.name, false, reason);
    }
    auto calls = std::move(link->calls);
    link->calls.clear();
    for (auto& [number, call] : calls) {
        // Only a connection that was never made proves that nothing arrived.
        auto kind = wasConnected ? ErrorKind::OutcomeUnknown : ErrorKind::TargetUnreachable;
        call.done(decisions::makeFailure(kind, "the connection to host " + link->host.name + " was lost: " + reason, wasConnected));
    }
    auto inquiries = std::move(link->inquiries);
    link->inquiries.clear();
    for (auto& [number, done] : inquiries)
        done({});
}

bool Peers::isUp(const std::string& host) const
{
    auto it = m_links.find(host);
    if (it == m_links.end())
        return m_hosts.contains(host) && !isToldUnusable(host, {});
    auto& link = *it->second;
    bool isConnected = link.channel && link.channel->wasConnected();
    return link.isUp && (isConnected || Clock::now() - link.connectedAt < kConnectUsual) && !isToldUnusable(host, link.heardAt);
}

// What this host has heard itself goes before what relays say.
bool Peers::isToldUnusable(const std::string& host, TimePoint heardAt) const
{
    return !m_unusable.empty() && m_unusable.contains(host) && Clock::now() - heardAt > kHeardFor;
}

bool Peers::isAnswering(const std::string& host) const
{
    auto it = m_links.find(host);
    return it != m_links.end() && it->second->isUp && it->second->wasHeard;
}

bool Peers::isLeaving(const std::string& host) const
{
    auto it = m_links.find(host);
    return it != m_links.end() && it->second->isLeaving;
}

decisions::HostCapabilities Peers::getAbility(const std::string& host) const
{
    auto it = m_links.find(host);
    return it == m_links.end() ? decisions::HostCapabilities {} : it->second->ability;
}

double Peers::getDistanceMs(const std::string& host) const
{
    auto it = m_links.find(host);
    return it == m_links.end() ? kDistanceGuessMs : it->second->distanceMs;
}

std::optional<peer::Load> Peers::getLoad(const std::string& host, const std::string& member) const
{
    auto now = Clock::now();
    const TimedLoad* newest = nullptr;
    auto look = [&](const Loads& loads) {
        auto it = loads.find(member);
        bool isHeard = it != loads.end() && now - it->second.at < kHeardFor; // a host that has no trouble any more says nothing of the member
        if (isHeard && (!newest || it->second.at > newest->at))
            newest = &it->second;
    };
    if (auto it = m_links.find(host); it != m_links.end())
        look(it->second->loads);
    if (auto it = m_toldLoads.find(host); it != m_toldLoads.end())
        look(it->second);
    return newest ? std::optional(newest->load) : std::nullopt;
}

bool Peers::lacksMember(const std::string& host, const std::string& member) const
{
    auto link = m_links.find(host);
    if (link == m_links.end())
        return false;
    auto it = link->second->lacked.find(member);
    return it != link->second->lacked.end() && Clock::now() - it->second < kLacksFor;
}

std::vector<std::string> Peers::getUpHosts() const
{
    std::vector<std::string> names;
    for (auto& [name, link] : m_links) {
        if (link->isUp && link->wasHeard)
            names.push_back(name);
    }
    return names;
}

decisions::HostReachability Peers::countInReach() const
{
    decisions::HostReachability hosts;
    auto now = Clock::now();
    for (auto& [name, link] : m_links) {
        if (!link->isPartner()) // it may have fallen silent long ago
            continue;
        bool isAnswering = link->isUp && link->wasHeard;
        bool wasAnswering = link->pongAt != TimePoint {} && now - link->pongAt < decisions::kLostHostRetention;
        if (isAnswering)
            ++hosts.answering;
        else if (wasAnswering && !link->isLeaving)
            ++hosts.lost;
    }
    return hosts;
}

Peers::LinkPtr Peers::findUp(const std::string& host)
{
    auto it = m_links.find(host);
    if (it == m_links.end())
        return m_hosts.contains(host) ? makeLink(host) : nullptr;
    if (!it->second->channel)
        return nullptr;
    it->second->usedAt = Clock::now();
    return it->second;
}

void Peers::sendOrder(const std::string& host, const TargetAddress& target, const StatementRequest& order, RequestCallback done)
{
    auto link = findUp(host);
    if (!link) {
        boost::asio::post(m_context, [done = std::move(done), host] { done(decisions::makeFailure(ErrorKind::TargetUnreachable, "host " + host + " is out of reach")); });
        return;
    }
    peer::Frame frame;
    auto& wire = *frame.mutable_order();
    wire.set_call(++link->lastCall);
    writeOrder(wire, target, order, Clock::now());
    link->calls[link->lastCall] = { std::move(done), target.member, order.deadline + kAnswerSlack, Clock::now() };
    sendFrame(*link->channel, frame);
}

void Peers::endTransaction(const std::string& host, uint64_t transaction)
{
    auto link = findUp(host);
    if (!link) // the host has lost this connection too, and ends what began on it
        return;
    peer::Frame frame;
    frame.mutable_end_transaction()->set_transaction(transaction);
    sendFrame(*link->channel, frame);
}

void Peers::inquire(const std::string& host, const TargetAddress& target, std::function<void(const StatusReport&)> done)
{
    auto link = findUp(host);
    if (!link) {
        boost::asio::post(m_context, [done = std::move(done)] { done({}); });
        return;
    }
    peer::Frame frame;
    auto& wire = *frame.mutable_inquiry();
    wire.set_call(++link->lastCall);
    wire.set_member(target.member);
    wire.set_group(target.group);
    wire.set_address(target.address);
    link->inquiries[link->lastCall] = std::move(done);
    sendFrame(*link->channel, frame);
}

void Peers::askMembers(const std::string& host, uint64_t since)
{
    auto link = findUp(host);
    if (!link)
        return;
    link->membersAskedAt = Clock::now();
    peer::Frame frame;
    frame.mutable_members_question()->set_since(since);
    sendFrame(*link->channel, frame);
}

bool Peers::send(const std::string& host, const peer::Frame& frame)
{
    auto link = findUp(host);
    if (!link)
        return false;
    sendFrame(*link->channel, frame);
    return true;
}

void Peers::sendAlarm(const std::string& host, const std::string& group, const std::string& member, const std::string& reason)
{
    auto link = findUp(host);
    if (!link)
        return;
    peer::Frame frame;
    frame.mutable_alarm()->set_group(group);
    frame.mutable_alarm()->set_member(member);
    frame.mutable_alarm()->set_reason(reason);
    sendFrame(*link->channel, frame);
}

void Peers::sendHoldWrites(const std::string& group, const std::string& member, milliseconds time)
{
    peer::Frame frame;
    frame.mutable_hold_writes()->set_group(group);
    frame.mutable_hold_writes()->set_member(member);
    frame.mutable_hold_writes()->set_for_ms(static_cast<uint32_t>(time.count()));
    sendToAll(frame);
}

void Peers::sendLead(const std::string& group, const std::string& member, uint64_t term)
{
    peer::Frame frame;
    frame.mutable_lead()->set_group(group);
    frame.mutable_lead()->set_member(member);
    frame.mutable_lead()->set_term(term);
    sendToAll(frame);
}

void Peers::sendToAll(const peer::Frame& frame)
{
    for (auto& [name, link] : m_links) {
        if (link->channel)
            sendFrame(*link->channel, frame);
    }
}

void Peers::takeFromHost(const LinkPtr& link, std::string_view message)
{
    peer::Frame frame;
    link->heardAt = Clock::now();
    if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        loseLink(link, "malformed message");
        return;
    }
    if (frame.has_pong()) {
        takePong(link, frame.pong());
    } else if (frame.has_answer()) {
        auto& answer = frame.answer();
        if (answer.has_load())
            link->loads[answer.load().member()] = { answer.load(), link->heardAt };
        auto it = link->calls.find(answer.call());
        if (it == link->calls.end())
            return; // given up before
        if (answer.lacks_member())
            link->lacked[it->second.member] = link->heardAt;
        auto done = std::move(it->second.done);
        link->calls.erase(it);
        done(readOutcome(answer));
    } else if (frame.has_finding()) {
        auto& wire = frame.finding();
        auto it = link->inquiries.find(wire.call());
        if (it == link->inquiries.end())
            return;
        auto done = std::move(it->second);
        link->inquiries.erase(it);
        done(readStatus(wire));
    } else if (frame.has_quota_state()) {
        m_service.onQuotaState(link->host.name, frame.quota_state());
    } else if (frame.has_quota_answer()) {
        m_service.onQuotaAnswer(link->host.name, frame.quota_answer());
    } else if (frame.has_members_answer())
        m_service.onMembers(link->host.name, frame.members_answer(), link->membersAskedAt);
}

void Peers::takePong(const LinkPtr& link, const peer::Pong& pong)
{
    auto it = link->pings.find(pong.number());
    if (it == link->pings.end())
        return;
    auto now = Clock::now();
    auto sentAt = it->second;
    link->pings.erase(link->pings.begin(), std::next(it));
    link->pongAt = now;
    std::chrono::duration<double, std::milli> took = now - sentAt;
    link->distanceMs = link->wasHeard ? link->distanceMs + kDistanceSmoothing * (took.count() - link->distanceMs) : took.count();
    m_version += link->isLeaving == pong.is_leaving() ? 0 : 1;
    link->isLeaving = pong.is_leaving();
    link->ability = { !pong.lacks_store(), !pong.lacks_orders() };
    for (auto& load : pong.loads())
        takeLoad(link, load, sentAt);
    link->unusable = { pong.unusable_hosts().begin(), pong.unusable_hosts().end() };
    if (!link->wasHeard || !link->isUp) {
        link->wasHeard = true;
        link->isUp = true;
        ++m_version;
        m_service.onLink(link->host.name, true, "answers");
    }
    m_service.onPong(link->host.name, pong, sentAt);
}

void Peers::takeLoad(const LinkPtr& link, const peer::Load& load, TimePoint sentAt)
{
    if (load.host() == m_name)
        return;
    auto& loads = load.host().empty() ? link->loads : m_toldLoads[load.host()];
    auto at = sentAt - std::chrono::microseconds(load.age_us());
    auto& known = loads[load.member()];
    if (known.at <= at)
        known = { load, at };
}

// Looked at anew each time: a relay that is lost says nothing any more, and what it said ends with it.
void Peers::findUnusable()
{
    std::vector<std::set<std::string>> told;
    for (auto& [name, link] : m_links) {
        if (link->partner.isRelay && link->isUp && link->wasHeard)
            told.push_back(link->unusable);
    }
    auto unusable = decisions::findUnreachableHosts(told);
    m_version += unusable == m_unusable ? 0 : 1;
    m_unusable = std::move(unusable);
}

void Peers::writeHeard(peer::Pong& wire, bool withLoads) const
{
    auto now = Clock::now();
    for (auto& [name, link] : m_links) {
        if (!link->isPartner())
            continue;
        if (!isUsable(name)) {
            wire.add_unusable_hosts(name);
            continue;
        }
        for (auto& [member, timed] : link->loads) {
            if (!withLoads || now - timed.at > kHeardFor)
                continue;
            auto& load = *wire.add_loads();
            load = timed.load;
            load.set_host(name);
            load.clear_position(); // the newest that is known of the member is added instead, whoever told it
            load.clear_position_age_us();
            load.set_age_us(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now - timed.at).count()));
        }
    }
}

bool Peers::isPingDue(const Link& link, TimePoint now) const
{
    auto passed = now - link.pingedAt;
    if (passed < kPingInterval)
        return false;
    bool isAwaited = std::ranges::any_of(link.calls, [&](auto& it) { return now - it.second.sentAt > decisions::kOverdueReplyThreshold; });
    return !link.wasHeard || isAwaited || !link.pings.empty() || (link.isPartner() && passed >= link.partner.interval);
}

void Peers::ping(const LinkPtr& link, TimePoint now)
{
    link->pingedAt = now;
    link->pings[++link->pingNumber] = now;
    peer::Frame frame;
    frame.mutable_ping()->set_number(link->pingNumber);
    frame.mutable_ping()->set_host(m_name);
    frame.mutable_ping()->set_wants_heard(link->partner.isRelay);
    frame.mutable_ping()->set_wants_loads(link->partner.tellsLoads);
    m_service.fillPing(*frame.mutable_ping());
    sendFrame(*link->channel, frame);
}

void Peers::endLateCalls(const LinkPtr& link, TimePoint now)
{
    std::vector<RequestCallback> late;
    std::erase_if(link->calls, [&](auto& it) {
        bool isLate = now > it.second.limit;
        if (isLate)
            late.push_back(std::move(it.second.done));
        return isLate;
    });
    for (auto& done : late)
        done(decisions::makeFailure(ErrorKind::StatementTimedOut, "host " + link->host.name + " did not answer in time", true));
}

void Peers::sweep(TimePoint now)
{
    std::vector<LinkPtr> links; // callbacks may change the map
    for (auto& [name, link] : m_links)
        links.push_back(link);
    for (auto& link : links) {
        auto& name = link->host.name;
        if (!link->channel) {
            if (!link->isPartner() && now - link->usedAt > kUnusedFor)
                m_links.erase(name);
            else if (now >= link->noConnectBefore)
                connect(link);
            continue;
        }
        bool isSilent = !link->pings.empty() && now - link->pings.begin()->second > kSilentLimit && now - link->heardAt > kSilentLimit;
        if (isSilent) {
            loseLink(link, "silent");
            continue;
        }
        bool isConnecting = !link->channel->wasConnected() && now - link->connectedAt > kConnectUsual;
        m_version += isConnecting == link->wasConnecting ? 0 : 1;
        link->wasConnecting = isConnecting;
        endLateCalls(link, now);
        if (!link->isPartner() && link->calls.empty() && now - link->usedAt > kUnusedFor) {
            m_links.erase(name);
            link->channel->close();
        } else if (isPingDue(*link, now))
            ping(link, now);
    }
    findUnusable();
}

void Peers::stop()
{
    m_inbound.stop();
}

}
