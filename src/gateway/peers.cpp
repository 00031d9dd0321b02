#include "gateway/peers.h"
#include "links/http.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;
using std::chrono::duration_cast;
using std::chrono::microseconds;

static constexpr milliseconds kPingInterval { 250 }; // where orders are under way: bounds how late a silent host is noticed
static constexpr milliseconds kQuietPingInterval { 500 }; // elsewhere: bounds how old the floors of other hosts get
static constexpr milliseconds kUnusedFor { 5000 }; // a connection to a host that is no partner is closed after this
static constexpr milliseconds kSilentLimit { 700 }; // without any answer to a ping, the host counts as down
static constexpr milliseconds kConnectLimit { 250 }; // connecting takes one way there and back, 40 ms at most on the sites that were seen; a host that is not up yet swallows it
static constexpr milliseconds kConnectUsual { 100 }; // a host that takes longer to connect to is passed over until it is connected
static constexpr milliseconds kReconnectPause { 100 }; // after a failure
static constexpr milliseconds kAnswerSlack { 250 }; // an order's host answers this long after the order's deadline at the latest
static constexpr double kDistanceGuessMs = 10; // before the first ping came back
static constexpr double kDistanceSmoothing = 0.2; // weight of the newest ping

struct Call {
    OrderDone done;
    TimePoint limit;
};

// A connection that this host opened.
struct Peers::Link {
    links::ListedHost host;
    std::shared_ptr<links::Channel> channel;
    bool isPartner { false };
    bool isUp { true };
    bool isLeaving { false };
    TimePoint usedAt {}; // when something other than a ping was last sent
    bool wasHeard { false };
    TimePoint heardAt {}; // on the present connection
    TimePoint pongAt {}; // on any
    TimePoint pingedAt {};
    TimePoint connectedAt {};
    TimePoint noConnectBefore {};
    uint64_t pingNumber { 0 };
    uint64_t lastCall { 0 };
    std::map<uint64_t, TimePoint> pings; // unanswered: when sent
    std::unordered_map<uint64_t, Call> calls;
    std::unordered_map<uint64_t, std::function<void(const Finding&)>> inquiries;
    std::map<std::string, peer::Load> loads;
    double distanceMs { kDistanceGuessMs };
};

// A connection that another host opened.
struct Peers::Guest {
    std::string host;
    std::shared_ptr<links::Channel> channel;
    struct Held {
        std::shared_ptr<TargetPool> pool;
        uint64_t transaction;
    };
    std::unordered_map<uint64_t, Held> transactions; // by the other host's number
};

static void setMark(peer::Mark* wire, const Mark& mark)
{
    wire->set_term(mark.term);
    wire->set_position(mark.position);
}

static Mark getMark(const peer::Mark& wire)
{
    return { wire.term(), wire.position() };
}

static int64_t getLeftUs(TimePoint until, TimePoint now)
{
    return duration_cast<microseconds>(until - now).count();
}

static void sendFrame(links::Channel& channel, const peer::Frame& frame)
{
    channel.send(links::makeFrame(frame.SerializeAsString()));
}

Peers::Peers(boost::asio::io_context& context, std::string name, PeerService service)
    : m_context(context)
    , m_name(std::move(name))
    , m_service(std::move(service))
    , m_acceptor(context)
{
}

Peers::~Peers() = default;

tl::expected<void, std::string> Peers::listen(const std::string& address)
{
    if (auto listening = links::beginListening(m_acceptor, address); !listening)
        return listening;
    accept();
    return {};
}

void Peers::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec) {
            auto guest = std::make_shared<Guest>();
            guest->channel = std::make_shared<links::Channel>(m_context.get_executor(), links::ChannelOptions { links::splitFrame });
            m_guests.insert(guest);
            guest->channel->begin(
                std::move(socket), [this, guest](std::string_view message) { takeFromGuest(guest, message); }, [this, guest](const std::string&) { loseGuest(guest); });
        }
        accept();
    });
}

void Peers::setHosts(const std::vector<links::ListedHost>& hosts)
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
        bool wasPartner = link->isPartner;
        m_links.erase(name);
        loseLink(link, "the host is gone or has moved");
        if (known != m_hosts.end() && wasPartner)
            makeLink(name)->isPartner = true;
    }
}

void Peers::setPartners(const std::set<std::string>& names)
{
    for (auto& name : names) {
        if (!m_links.contains(name) && m_hosts.contains(name))
            makeLink(name);
    }
    for (auto& [name, link] : m_links)
        link->isPartner = names.contains(name);
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
    if (link->isUp) {
        link->isUp = false;
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
        return m_hosts.contains(host);
    auto& link = *it->second;
    bool isConnected = link.channel && link.channel->wasConnected();
    return link.isUp && (isConnected || Clock::now() - link.connectedAt < kConnectUsual);
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

double Peers::getDistanceMs(const std::string& host) const
{
    auto it = m_links.find(host);
    return it == m_links.end() ? kDistanceGuessMs : it->second->distanceMs;
}

std::optional<peer::Load> Peers::getLoad(const std::string& host, const std::string& member) const
{
    auto it = m_links.find(host);
    if (it == m_links.end())
        return std::nullopt;
    auto load = it->second->loads.find(member);
    if (load == it->second->loads.end())
        return std::nullopt;
    return load->second;
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

decisions::HostsInReach Peers::countInReach() const
{
    decisions::HostsInReach hosts;
    auto now = Clock::now();
    for (auto& [name, link] : m_links) {
        bool isAnswering = link->isUp && link->wasHeard;
        bool wasAnswering = link->pongAt != TimePoint {} && now - link->pongAt < decisions::kLostCountsFor;
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

void Peers::sendOrder(const std::string& host, const TargetAddress& target, const Order& order, OrderDone done)
{
    auto link = findUp(host);
    if (!link) {
        boost::asio::post(m_context, [done = std::move(done), host] { done(decisions::makeFailure(ErrorKind::TargetUnreachable, "host " + host + " is out of reach")); });
        return;
    }
    auto now = Clock::now();
    peer::Frame frame;
    auto& wire = *frame.mutable_order();
    wire.set_call(++link->lastCall);
    wire.set_member(target.member);
    wire.set_kind(static_cast<uint32_t>(order.kind));
    wire.set_id(order.statement.id);
    wire.set_statement_kind(static_cast<uint32_t>(order.statement.kind));
    // What a prepared statement runs is named by its shape; sending its text as well would double the bytes between data centres.
    if (order.shape)
        wire.set_argument(order.statement.argument);
    else
        wire.set_text(order.statement.text);
    wire.set_is_write(order.statement.isWrite);
    if (order.shape) {
        wire.set_has_shape(true);
        wire.set_shape(order.shape->shape);
        wire.set_shape_writes(order.shape->isWrite);
    }
    for (auto& [name, value] : order.values)
        (*wire.mutable_values())[name] = value;
    wire.set_is_read_only(order.isReadOnly);
    setMark(wire.mutable_at_least(), order.atLeast);
    wire.set_priority(order.priority);
    wire.set_objective_us(getLeftUs(order.objective, now));
    wire.set_deadline_us(getLeftUs(order.deadline, now));
    wire.set_transaction(order.transaction);
    wire.set_database(order.database);
    link->calls[link->lastCall] = { std::move(done), order.deadline + kAnswerSlack };
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

void Peers::inquire(const std::string& host, const TargetAddress& target, std::function<void(const Finding&)> done)
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
            link->loads[answer.load().member()] = answer.load();
        auto it = link->calls.find(answer.call());
        if (it == link->calls.end())
            return; // given up before
        auto done = std::move(it->second.done);
        link->calls.erase(it);
        Outcome outcome;
        outcome.rows.assign(answer.rows().begin(), answer.rows().end());
        outcome.signature = answer.signature();
        if (answer.has_error())
            outcome.error = decisions::Error { decisions::parseErrorKind(answer.error()).value_or(ErrorKind::Internal), answer.message() };
        outcome.position = getMark(answer.position());
        outcome.wasSent = answer.was_sent();
        done(outcome);
    } else if (frame.has_finding()) {
        auto& wire = frame.finding();
        auto it = link->inquiries.find(wire.call());
        if (it == link->inquiries.end())
            return;
        auto done = std::move(it->second);
        link->inquiries.erase(it);
        done({ wire.reached(), { wire.is_primary(), wire.term(), getMark(wire.received()), milliseconds(wire.lag_ms()) } });
    }
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
    link->isLeaving = pong.is_leaving();
    for (auto& load : pong.loads())
        link->loads[load.member()] = load;
    if (!link->wasHeard || !link->isUp) {
        link->wasHeard = true;
        link->isUp = true;
        m_service.onLink(link->host.name, true, "answers");
    }
    m_service.onPong(link->host.name, pong, sentAt);
}

void Peers::takeFromGuest(const GuestPtr& guest, std::string_view message)
{
    peer::Frame frame;
    if (!frame.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
        guest->channel->close();
        loseGuest(guest);
        return;
    }
    if (frame.has_order())
        serveOrder(guest, frame.order());
    else if (frame.has_end_transaction()) {
        auto it = guest->transactions.find(frame.end_transaction().transaction());
        if (it == guest->transactions.end())
            return;
        it->second.pool->endTransaction(it->second.transaction);
        guest->transactions.erase(it);
    } else if (frame.has_ping()) {
        guest->host = frame.ping().host();
        m_service.onPing(guest->host, frame.ping());
        peer::Frame reply;
        reply.mutable_pong()->set_number(frame.ping().number());
        m_service.fillPong(*reply.mutable_pong());
        sendFrame(*guest->channel, reply);
    } else if (frame.has_inquiry()) {
        auto& wire = frame.inquiry();
        m_service.inquire({ wire.member(), wire.group(), wire.address() }, [guest, call = wire.call()](const Finding& finding) {
            peer::Frame reply;
            auto& found = *reply.mutable_finding();
            found.set_call(call);
            found.set_reached(finding.wasReached);
            found.set_is_primary(finding.status.isPrimary);
            found.set_term(finding.status.term);
            setMark(found.mutable_received(), finding.status.received);
            found.set_lag_ms(static_cast<uint64_t>(finding.status.lag.count()));
            sendFrame(*guest->channel, reply);
        });
    } else if (frame.has_alarm())
        m_service.onAlarm(frame.alarm().group(), frame.alarm().member(), "host " + guest->host + ": " + frame.alarm().reason());
    else if (frame.has_lead())
        m_service.onLead(frame.lead().group(), frame.lead().member(), frame.lead().term());
    else if (frame.has_hold_writes())
        m_service.onHoldWrites(frame.hold_writes().group(), frame.hold_writes().member(), milliseconds(frame.hold_writes().for_ms()));
}

static Order readOrder(const peer::Order& wire, TimePoint now)
{
    Order order;
    order.kind = static_cast<OrderKind>(std::min<uint32_t>(wire.kind(), static_cast<uint32_t>(OrderKind::Continue)));
    order.statement.id = wire.id();
    order.statement.kind = static_cast<decisions::StatementKind>(std::min<uint32_t>(wire.statement_kind(), static_cast<uint32_t>(decisions::StatementKind::Unknown)));
    order.statement.text = wire.text();
    order.statement.argument = wire.argument();
    order.statement.isWrite = wire.is_write();
    if (wire.has_shape())
        order.shape = decisions::PreparedShape { wire.shape(), wire.shape_writes() };
    order.values = { wire.values().begin(), wire.values().end() };
    order.isReadOnly = wire.is_read_only();
    order.atLeast = getMark(wire.at_least());
    order.priority = wire.priority();
    order.database = wire.database();
    order.objective = now + microseconds(wire.objective_us());
    order.deadline = now + microseconds(wire.deadline_us());
    return order;
}

void Peers::serveOrder(const GuestPtr& guest, const peer::Order& wire)
{
    auto order = readOrder(wire, Clock::now());
    auto pool = m_service.findPool(wire.member());
    if (!pool) {
        peer::Frame frame;
        frame.mutable_answer()->set_call(wire.call());
        frame.mutable_answer()->set_has_error(true);
        frame.mutable_answer()->set_error(std::string(decisions::getErrorRow(ErrorKind::TargetUnreachable).name));
        frame.mutable_answer()->set_message("host " + m_name + " does not know the member");
        sendFrame(*guest->channel, frame);
        return;
    }
    auto reply = [this, guest, call = wire.call(), member = wire.member(), pool](const Outcome& outcome) {
        peer::Frame frame;
        auto& answer = *frame.mutable_answer();
        answer.set_call(call);
        for (auto& it : outcome.rows)
            answer.add_rows(it);
        answer.set_signature(outcome.signature);
        if (outcome.error) {
            answer.set_has_error(true);
            answer.set_error(std::string(decisions::getErrorRow(outcome.error->kind).name));
            answer.set_message(outcome.error->message);
        }
        setMark(answer.mutable_position(), outcome.position);
        answer.set_was_sent(outcome.wasSent);
        auto load = pool->getLoad();
        answer.mutable_load()->set_member(member);
        answer.mutable_load()->set_waiting(load.waiting);
        answer.mutable_load()->set_running(load.running);
        answer.mutable_load()->set_work_ms(load.workMs);
        answer.mutable_load()->set_unreachable(m_service.isTroubled(pool->getTarget()));
        sendFrame(*guest->channel, frame);
    };
    if (order.kind == OrderKind::Begin) {
        order.transaction = pool->takeTransactionNumber();
        guest->transactions[wire.transaction()] = { pool, order.transaction };
    } else if (order.kind == OrderKind::Continue) {
        auto it = guest->transactions.find(wire.transaction());
        if (it == guest->transactions.end() || it->second.pool != pool) {
            reply(decisions::makeFailure(ErrorKind::TransactionAborted, "the transaction is not known here"));
            return;
        }
        order.transaction = it->second.transaction;
        if (order.statement.kind == decisions::StatementKind::Commit)
            guest->transactions.erase(it);
    }
    pool->submit(std::move(order), reply);
}

// The host that began these transactions cannot end them any more.
void Peers::loseGuest(const GuestPtr& guest)
{
    auto transactions = std::move(guest->transactions);
    guest->transactions.clear();
    for (auto& [number, held] : transactions)
        held.pool->endTransaction(held.transaction);
    m_guests.erase(guest);
}

void Peers::sweep(TimePoint now)
{
    std::vector<LinkPtr> links; // callbacks may change the map
    for (auto& [name, link] : m_links)
        links.push_back(link);
    for (auto& link : links) {
        auto& name = link->host.name;
        if (!link->channel) {
            if (!link->isPartner && now - link->usedAt > kUnusedFor)
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
        std::vector<OrderDone> late;
        std::erase_if(link->calls, [&](auto& it) {
            bool isLate = now > it.second.limit;
            if (isLate)
                late.push_back(std::move(it.second.done));
            return isLate;
        });
        for (auto& done : late)
            done(decisions::makeFailure(ErrorKind::StatementTimedOut, "host " + name + " did not answer in time", true));
        if (!link->isPartner && link->calls.empty() && now - link->usedAt > kUnusedFor) {
            m_links.erase(name);
            link->channel->close();
            continue;
        }
        if (now - link->pingedAt < (link->calls.empty() ? kQuietPingInterval : kPingInterval))
            continue;
        link->pingedAt = now;
        link->pings[++link->pingNumber] = now;
        peer::Frame frame;
        frame.mutable_ping()->set_number(link->pingNumber);
        frame.mutable_ping()->set_host(m_name);
        m_service.fillPing(*frame.mutable_ping());
        sendFrame(*link->channel, frame);
    }
}

void Peers::stop()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

}
