#include "gateway/gateway.h"
#include "base/event_log.h"
#include "base/families.h"
#include "base/metrics.h"
#include "base/random.h"
#include "decisions/relaying.h"
#include "gateway/member_exchange.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using decisions::ErrorKind;
using std::chrono::microseconds;

static constexpr milliseconds kSweepInterval { 20 }; // how late a limit may be noticed
static constexpr milliseconds kProofInterval { 250 }; // how old the newest floor may get while nothing else renews it
static constexpr milliseconds kPositionInterval { 100 }; // how late a carrier notices that a replica which was far behind has caught up
static constexpr milliseconds kTroubleFor { 500 }; // a member that this host could not reach is left to others this long
static constexpr milliseconds kInquiryLimit { 350 }; // a busy target answers a status within some tens of ms; ordinary answers count as well
static constexpr milliseconds kUnlistedFor { 4000 }; // an unlisted member is forgotten then; entries that lapsed are back before
static constexpr milliseconds kStartTakes { 1000 }; // callers of a host that starts wait this long for its configuration; 20 to 220 ms where the store answers
static constexpr milliseconds kNoticeTime { 2200 }; // the balancer asks once a second and needs two refusals
static constexpr milliseconds kEndReserve { 700 }; // of the grace time, for the last answers
static constexpr milliseconds kLastAnswers { 50 }; // for bytes that wait in sockets before the process ends
static constexpr milliseconds kListedAgain { 2500 }; // entries that lapsed with the store are back within this
static constexpr milliseconds kPartnersInterval { 500 }; // between two choices of partners while no host came or went
static constexpr milliseconds kPlacementInterval { 500 }; // at most, between two looks at what this host carries while nothing that decides it changed
static constexpr milliseconds kForgetInterval { 500 }; // between two looks for members that have been unlisted for kUnlistedFor
static constexpr milliseconds kSessionsInterval { 100 }; // how late a transaction that rested too long is ended; operators allow it seconds
static constexpr milliseconds kRelayAskedFor { 2000 }; // a host that others ask what it hears goes on relaying this long
static constexpr milliseconds kLeadAskInterval { 500 }; // between two questions to a listed primary while nobody is known to lead; a change of primary takes longer
static constexpr unsigned kSpareConnections = 2; // of a member's limit, for inquiries and newcomers

Gateway::Gateway(asio::io_context& context, base::TimerService& timers, base::GatewaySettings settings, std::unique_ptr<links::PlatformAdapter> platform)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_self { m_settings.name, m_settings.peerAddress, m_settings.dataCentre, static_cast<uint64_t>(base::getRandom() * 1e15) + 1 }
    , m_peers(context, m_settings.name, makePeerService())
    , m_quotas({ m_view, m_peers, m_settings.name, m_self.incarnation, getQuotaRule(), m_isDraining, [this](size_t shard, const std::set<std::string>& accounts, std::function<void(bool)> done) { writeNearAccounts(shard, accounts, std::move(done)); } })
    , m_router({ context, m_view, m_peers, m_settings.name, m_settings.dataCentre, [this](const TargetAddress& it) { return getPool(it); }, [this](const TargetAddress& it) { return isTroubled(it); }, [this](const std::string& group) { raiseAlarm(group, "no primary is known"); }, [this] { return !decisions::canJudgePrimary(m_peers.countInReach()); }, getDrainTime(), m_quotas })
    , m_directory(context, *m_platform, m_self, { milliseconds(m_settings.storeCallTimeoutMs), milliseconds(m_settings.watchWaitMs), milliseconds(m_settings.longWatchWaitMs), milliseconds(m_settings.leaseMs) }, makeDirectoryEvents())
    , m_promoter({ context, m_view, m_peers, *m_platform, { m_self.name, m_self.incarnation }, [this](const TargetAddress& it, std::function<void(const StatusReport&)> done) { inquire(it, std::move(done)); }, [this](const std::string&, const std::string& member, milliseconds time) { holdWrites(member, time); }, [this] { return m_directory.isReachable(); }, [this](const std::string& group, const decisions::KnownPrimary& before, std::string_view source) { noteLead(group, before, source); }, m_isDraining })
    , m_acceptor(context)
    , m_timers(timers)
{
}

Gateway::~Gateway() = default;

tl::expected<void, std::string> Gateway::begin()
{
    m_startedAt = Clock::now();
    updateHost(m_view, m_self);
    if (auto listening = m_peers.listen(m_settings.peerAddress); !listening)
        return listening;
    if (auto listening = links::listenOn(m_acceptor, m_settings.callerAddress); !listening)
        return listening;
    accept();
    auto ready = links::startHttpServer(m_context, m_settings.readyAddress, [this](links::HttpRequest request) { return answerReady(std::move(request)); });
    if (!ready)
        return tl::make_unexpected(ready.error());
    m_ready = std::move(*ready);
    if (!m_settings.metricsAddress.empty()) {
        auto metrics = links::startHttpServer(m_context, m_settings.metricsAddress, [this](links::HttpRequest) -> asio::awaitable<links::HttpResponse> {
            measure();
            links::HttpResponse answer;
            answer.contentType = "text/plain; version=0.0.4";
            answer.body = base::formatMetricFamilies();
            co_return answer;
        });
        if (!metrics)
            return tl::make_unexpected(metrics.error());
        m_metrics = std::move(*metrics);
    }
    m_directory.start();
    m_sweep = m_timers.subscribe(m_context.get_executor(), kSweepInterval, [this] { sweep(); });
    base::logEvent(LogClass::State, "start", { { "version", std::string_view(ALDERWARD_VERSION) }, { "data_centre", std::string_view(m_settings.dataCentre) }, { "incarnation", static_cast<int64_t>(m_self.incarnation) } });
    return {};
}

// Gauges are set when somebody asks for them.
void Gateway::measure() const
{
    using base::MetricFamily;
    auto now = Clock::now();
    for (auto family : { MetricFamily::PoolConnections, MetricFamily::PoolWaiting, MetricFamily::PoolRunning, MetricFamily::FloorAge, MetricFamily::Term, MetricFamily::LeavingPrimary })
        base::clearMetric(family);
    for (auto& [member, pool] : m_pools) {
        auto load = pool->getLoad();
        base::setGauge(MetricFamily::PoolConnections, { { "member", member } }, static_cast<double>(pool->getOpen()));
        base::setGauge(MetricFamily::PoolWaiting, { { "member", member } }, load.waiting);
        base::setGauge(MetricFamily::PoolRunning, { { "member", member } }, load.running);
    }
    for (auto& [name, group] : m_view.groups) {
        base::setGauge(MetricFamily::Term, { { "group", name } }, static_cast<double>(group.primary.term));
        if (!group.floors.isEmpty())
            base::setGauge(MetricFamily::FloorAge, { { "group", name } }, std::chrono::duration<double>(now - group.floors.floors.back().coveredUntil).count());
        auto primary = m_view.members.find(group.primary.member);
        if (primary != m_view.members.end() && primary->second.leavingSince)
            base::setGauge(MetricFamily::LeavingPrimary, { { "group", name } }, std::chrono::duration<double>(now - *primary->second.leavingSince).count());
    }
    base::setGauge(MetricFamily::ConfigurationVersion, {}, static_cast<double>(m_view.configuration.version));
    base::setGauge(MetricFamily::Sessions, {}, static_cast<double>(m_sessions.size()));
    base::setGauge(MetricFamily::Ready, {}, isReady() ? 1 : 0);
    base::setGauge(MetricFamily::InvariantViolations, {}, static_cast<double>(base::getCount(base::Counter::InvariantViolations)));
    auto lines = base::getLogCounts();
    base::setGauge(MetricFamily::LogLines, { { "result", "written" } }, static_cast<double>(lines.written));
    base::setGauge(MetricFamily::LogLines, { { "result", "left-out" } }, static_cast<double>(lines.droppedLines));
    base::updateProcessMetrics();
}

asio::awaitable<links::HttpResponse> Gateway::answerReady(links::HttpRequest request)
{
    links::HttpResponse answer;
    if (request.path != m_platform->getReadyPath())
        answer.status = 404;
    else if (!isReady())
        answer.status = 503;
    co_return answer;
}

bool Gateway::isReady() const
{
    return m_view.configuration.version > 0 && m_view.hasListedMembers && !m_isDraining;
}

HostPlace Gateway::getPlace() const
{
    return { m_self.name, m_settings.dataCentre, m_isDraining, m_directory.isReachable(), Clock::now() - m_askedToRelayAt < kRelayAskedFor };
}

void Gateway::noteReadiness()
{
    if (isReady() == m_wasReady)
        return;
    m_wasReady = isReady();
    base::logEvent(LogClass::State, "readiness", { { "ready", m_wasReady }, { "configuration", static_cast<int64_t>(m_view.configuration.version) }, { "members", static_cast<int64_t>(m_view.members.size()) }, { "stopping", m_isDraining } });
}

void Gateway::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec) {
            SessionContext context { m_context, m_platform->getCodec(), m_view, m_router, m_isEnding, m_startedAt + kStartTakes, [this](const std::shared_ptr<CallerSession>& it) { m_sessions.erase(it); } };
            auto session = std::make_shared<CallerSession>(std::move(context), ++m_lastSession);
            m_sessions.insert(session);
            session->start(std::move(socket));
        }
        accept();
    });
}

std::shared_ptr<TargetPool> Gateway::getPool(const TargetAddress& target)
{
    auto& pool = m_pools[target.member];
    if (!pool) {
        pool = std::make_shared<TargetPool>(m_context.get_executor(), m_platform->getCodec(), target, m_settings.name, makeObserver());
        pool->setLimits(getLimits(target));
        auto member = m_view.members.find(target.member);
        pool->setTakesNew(member != m_view.members.end() && acceptsNewOperations(member->second, getDrainTime(), Clock::now()));
        pool->setComparison(getComparison(target));
    }
    return pool;
}

decisions::QuotaRule Gateway::getQuotaRule() const
{
    auto window = std::chrono::duration<double>(m_settings.quotaWindowSeconds);
    return { std::chrono::duration_cast<milliseconds>(window), m_settings.quotaOverrunShare, m_settings.quotaSlackOperations };
}

// Half of the operators' limit, as two hosts may carry to one member while they disagree on who does.
PoolLimits Gateway::getLimits(const TargetAddress& target) const
{
    auto group = m_view.configuration.groups.find(target.group);
    auto most = group == m_view.configuration.groups.end() ? 0U : group->second.connectionsPerMember;
    auto member = m_view.members.find(target.member);
    auto slots = member == m_view.members.end() ? 1U : std::max(1U, member->second.registration.slots);
    return { std::max(2U, (most - std::min(most, kSpareConnections)) / 2), slots + 1, m_view.configuration.accounts.has_value() };
}

PoolObserver Gateway::makeObserver()
{
    PoolObserver observer;
    observer.getKnown = [this](const TargetAddress& target) { return getNewestKnownMark(m_view.groups[target.group]); };
    observer.onLostLog = [this](const TargetAddress& target, const Mark& position) {
        base::logEvent(LogClass::State, "primary-lost-log", { { "group", std::string_view(target.group) }, { "member", std::string_view(target.member) }, { "term", static_cast<int64_t>(position.term) }, { "position", static_cast<int64_t>(position.position) } });
        takeLead(target.group, decisions::applyPrimaryDenial(m_view.groups[target.group].primary, target.member), "denied");
    };
    observer.leads = [this](const TargetAddress& target) { return m_view.groups[target.group].primary.member == target.member; };
    observer.onLeads = [this](const TargetAddress& target, const Mark& position, TimePoint sentAt) {
        takeShown(target.group, target.member, position.term, sentAt, ProofRecipient::ThisHost);
        if (m_view.groups[target.group].primary.member == target.member) {
            takeFloor(target.group, { position, sentAt });
            m_view.groups[target.group].lastProofAt = Clock::now();
            m_promoter.noteProof(target.group, Clock::now());
        }
    };
    observer.onFollows = [this](const TargetAddress& target) {
        auto& group = m_view.groups[target.group];
        auto before = group.primary;
        denyPrimary(group, target.member, Clock::now());
        noteLead(target.group, before, "denied");
    };
    observer.onPosition = [this](const TargetAddress& target, const Mark& position) {
        auto it = m_view.members.find(target.member);
        if (it == m_view.members.end())
            return;
        it->second.progress = decisions::applyPosition(it->second.progress, position, Clock::now());
    };
    observer.onAnswer = [this](const TargetAddress& target) {
        auto it = m_view.members.find(target.member);
        if (it == m_view.members.end())
            return;
        it->second.lastAnswerAt = Clock::now();
        it->second.lastFailureAt = {};
    };
    observer.onTrouble = [this](const TargetAddress& target, const std::string& reason) {
        auto it = m_view.members.find(target.member);
        if (it == m_view.members.end())
            return;
        it->second.lastFailureAt = Clock::now();
        base::logEvent(LogClass::State, "target-trouble", { { "member", std::string_view(target.member) }, { "group", std::string_view(target.group) }, { "reason", std::string_view(reason) } });
        if (m_view.groups[target.group].primary.member == target.member)
            raiseAlarm(target.group, reason);
    };
    observer.onRefused = [](const TargetAddress& target, size_t open, const std::string& reason) {
        base::logEvent(LogClass::State, "connection-refused", { { "member", std::string_view(target.member) }, { "group", std::string_view(target.group) }, { "open", static_cast<int64_t>(open) }, { "reason", std::string_view(reason) } });
    };
    return observer;
}

// Whoever is in charge of the group looks into it.
void Gateway::raiseAlarm(const std::string& group, const std::string& reason)
{
    m_promoter.raiseAlarm(group, reason);
    auto now = Clock::now();
    auto& alarmedAt = m_alarmedAt[group];
    if (now - alarmedAt < decisions::getAlarmInterval(m_view.hosts.size()))
        return;
    alarmedAt = now;
    auto& leader = m_view.groups[group].primary.member;
    for (auto& name : m_promoter.getOrderers(group)) {
        if (name != m_self.name)
            m_peers.sendAlarm(name, group, leader, reason);
    }
}

void Gateway::holdWrites(const std::string& member, milliseconds time)
{
    if (auto it = m_pools.find(member); it != m_pools.end())
        it->second->holdWrites(Clock::now() + time);
}

bool Gateway::isTroubled(const TargetAddress& target) const
{
    auto it = m_view.members.find(target.member);
    return it != m_view.members.end() && it->second.lastFailureAt != TimePoint {} && Clock::now() - it->second.lastFailureAt < kTroubleFor;
}

void Gateway::fillStatus(peer::Pong& message) const
{
    message.set_configuration(m_view.configuration.version);
    message.set_change(m_directory.getNewestChange());
    message.set_is_leaving(m_isDraining);
    auto ability = m_promoter.getAbility();
    message.set_lacks_store(!ability.hasStore);
    message.set_lacks_orders(!ability.canOrder);
}

void Gateway::takeStatus(const peer::Pong& message, TimePoint sentAt)
{
    if (message.entries_until() != 0)
        m_directory.applyRelayedChanges(readChanges(message, sentAt));
    m_directory.refreshConfiguration(message.configuration());
    m_directory.applyReportedRevision(message.change());
    auto leadTimes = findLeadTimes(message, sentAt);
    for (int i = 0; i < message.leads_size(); ++i) {
        auto& it = message.leads(i);
        auto& askedAt = leadTimes[static_cast<size_t>(i)];
        if (!m_view.members.contains(it.member()))
            continue;
        if (askedAt)
            takeShown(it.group(), it.member(), it.term(), *askedAt, ProofRecipient::AnotherHost);
        else
            takeAssumed(it.group(), it.member(), it.term());
    }
    takePositions(m_view, message, sentAt);
    for (auto& it : message.floors()) {
        auto provenAt = sentAt - microseconds(it.age_us());
        takeFloor(it.group(), { { it.mark().term(), it.mark().position() }, provenAt });
        m_promoter.noteProof(it.group(), provenAt);
    }
}

PeerService Gateway::makePeerService()
{
    PeerService service;
    service.findPool = [this](const std::string& id) -> std::shared_ptr<TargetPool> {
        auto member = m_view.members.find(id);
        return member == m_view.members.end() ? nullptr : getPool(member->second.getTarget());
    };
    service.isTroubled = [this](const TargetAddress& target) { return isTroubled(target); };
    service.inquire = [this](const TargetAddress& target, std::function<void(const StatusReport&)> done) { inquire(target, std::move(done)); };
    service.onAlarm = [this](const std::string& group, const std::string& member, const std::string& reason) {
        if (m_view.groups[group].primary.member == member || member.empty())
            m_promoter.raiseAlarm(group, reason);
    };
    service.onHoldWrites = [this](const std::string&, const std::string& member, milliseconds time) { holdWrites(member, time); };
    service.onLead = [this](const std::string& host, const std::string& group, const std::string& member, uint64_t term) {
        m_promoter.noteOrder(group, host);
        if (!m_view.members.contains(member))
            return;
        takeOrdered(group, member, term);
    };
    service.fillPing = [this](peer::Ping& ping) {
        ping.set_configuration(m_view.configuration.version);
        ping.set_change(m_directory.getNewestChange());
        ping.set_is_leaving(m_isDraining);
        if (ping.wants_loads())
            ping.set_known_revision(m_directory.getRevision());
    };
    service.fillPong = [this](const peer::Ping& ping, peer::Pong& pong) {
        auto now = Clock::now();
        fillStatus(pong);
        writeGroups(pong, m_view, ping.wants_heard(), now);
        if (ping.wants_heard()) {
            m_partnersDue = m_partnersDue || now - m_askedToRelayAt > kRelayAskedFor;
            m_askedToRelayAt = now;
            m_peers.writeHeard(pong, ping.wants_loads());
            if (ping.known_revision() != 0)
                writeChanges(pong, m_directory.getChanges(ping.known_revision()), now);
        }
        for (auto& [member, pool] : m_pools) {
            bool isOfUse = pool->isCarrier() || isTroubled(pool->getTarget());
            if (!isOfUse)
                continue;
            writeLoad(*pong.add_loads(), member, pool->getLoad(), isTroubled(pool->getTarget()));
        }
        for (auto& wire : *pong.mutable_loads())
            writePosition(wire, m_view, now);
    };
    service.onPing = [this](const std::string&, const peer::Ping& ping) {
        m_directory.refreshConfiguration(ping.configuration());
        m_directory.applyReportedRevision(ping.change());
    };
    service.onPong = [this](const std::string&, const peer::Pong& pong, TimePoint sentAt) { takeStatus(pong, sentAt); };
    service.answerMembers = [this](const peer::MembersQuestion& question, peer::MembersAnswer& answer) {
        answer.set_lacks_store(m_directory.mayMissChanges());
        if (!answer.lacks_store())
            writeMembers(answer, m_view, question.since(), Clock::now());
    };
    service.onMembers = [this](const std::string&, const peer::MembersAnswer& answer, TimePoint sentAt) { takeMembers(answer, sentAt); };
    service.takeQuotaReport = [this](const peer::QuotaReport& report) { return m_quotas.takeReport(report); };
    service.answerQuotaAsk = [this](const peer::QuotaAsk& ask) { return m_quotas.answerAsk(ask); };
    service.onQuotaState = [this](const std::string& host, const peer::QuotaState& state) { m_quotas.takeState(host, state); };
    service.onQuotaAnswer = [this](const std::string& host, const peer::QuotaAnswer& answer) { m_quotas.takeAnswer(host, answer); };
    service.onLink = [](const std::string& host, bool isUp, const std::string& reason) { base::incrementCounter(base::MetricFamily::HostChanges, {{"peer", host}, {"change", isUp ? "regained" : "lost"}}); base::logEvent(LogClass::State, isUp ? "host-regained" : "host-lost", { { "peer", std::string_view(host) }, { "reason", std::string_view(reason) } }); };
    return service;
}

// The least that any route lets its reads miss; 0: none lets them miss anything.
static milliseconds getLeastAge(const links::GatewayConfiguration& configuration)
{
    milliseconds least { 0 };
    for (auto& [database, route] : configuration.routes) {
        bool mayMiss = route.consistency != decisions::Consistency::Primary && route.maximumAge.count() > 0;
        if (mayMiss && (least.count() == 0 || route.maximumAge < least))
            least = route.maximumAge;
    }
    return least;
}

DirectoryEvents Gateway::makeDirectoryEvents()
{
    DirectoryEvents events;
    events.onConfiguration = [this](const links::GatewayConfiguration& configuration) {
        base::logEvent(LogClass::State, "configuration", { { "version", static_cast<int64_t>(configuration.version) }, { "before", static_cast<int64_t>(m_view.configuration.version) }, { "routes", static_cast<int64_t>(configuration.routes.size()) } });
        m_view.configuration = configuration;
        m_view.isForwardingUpdateDue = true;
        m_quietInterval = decisions::getPingInterval(getLeastAge(configuration));
        m_partnersDue = true;
    };
    events.onMemberChanged = [this](const links::RegisteredMember& member, uint64_t revision, std::optional<TimePoint> changedAt) {
        takeListed(member, revision, changedAt ? *changedAt : decisions::estimateLeavingSince(getDrainTime(), Clock::now()), "listed");
    };
    events.onMemberRemoved = [this](const std::string& id, uint64_t revision) { takeUnlisted(id, revision, "listed"); };
    events.onMembersListed = [this] { m_view.hasListedMembers = true; };
    events.onHostChanged = [this](const links::RegisteredHost& host) {
        if (host.name == m_self.name)
            return;
        m_hostsGoneAt.erase(host.name);
        updateHost(m_view, host);
        m_hostsDue = true;
    };
    events.onHostRemoved = [this](const std::string& name) {
        if (name != m_self.name && m_view.hosts.contains(name))
            m_hostsGoneAt[name] = Clock::now();
    };
    events.onCoordinatorRecord = [this](const std::string& group, const links::StoreItem& item) { m_promoter.takeSuccession(group, item); };
    events.onNearQuotaAccounts = [this](size_t shard, const std::set<std::string>& accounts) { m_quotas.takeWritten(shard, accounts); };
    return events;
}

void Gateway::writeNearAccounts(size_t shard, const std::set<std::string>& accounts, std::function<void(bool)> done)
{
    asio::co_spawn(m_context, m_directory.writeNearQuotaAccounts(shard, accounts), [done = std::move(done)](const std::exception_ptr& error, bool isDone) { done(!error && isDone); });
}

void Gateway::tellPeers()
{
    std::vector<links::RegisteredHost> hosts;
    for (auto& [name, it] : m_view.hosts)
        hosts.push_back(it);
    m_peers.setHosts(hosts);
    m_hostsDue = false;
    m_partnersDue = true;
}

// An entry may have lapsed with the store: a host stays while it answers, or until it had time to be listed again.
void Gateway::sweepHosts(TimePoint now)
{
    auto gone = m_hostsGoneAt;
    for (auto& [name, since] : gone) {
        if (m_peers.isAnswering(name) || (now - since < kListedAgain && m_peers.isUp(name)))
            continue;
        m_hostsGoneAt.erase(name);
        removeHost(m_view, name);
        m_hostsDue = true;
    }
    if (m_hostsDue)
        tellPeers();
    if (!m_partnersDue && now - m_partnersAt < kPartnersInterval)
        return;
    m_partnersDue = false;
    m_partnersAt = now;
    // Decided anew with the partners: a watcher that stops or falls silent is replaced by the next.
    auto partners = choosePartners(m_view, m_peers, getPlace(), m_promoter.getOrdererPlace(), m_quietInterval);
    m_peers.setPartners(partners);
    auto relays = getRelays(m_view, m_peers, getPlace());
    bool isWatcher = std::ranges::find(relays, m_self.name) != relays.end() || getPlace().isAskedToRelay;
    bool hasRelay = std::ranges::any_of(partners, [](auto& it) { return it.second.tellsLoads; });
    m_directory.setWatcher(isWatcher, hasRelay);
    m_directory.setStoreLostByRelays(std::ranges::none_of(partners, [this](auto& it) { return it.second.isRelay && m_peers.getAbility(it.first).hasStore; }));
    if (relays == m_relays)
        return;
    m_relays = relays;
    base::logEvent(LogClass::State, "relays", { { "hosts", std::string_view(fmt::format("{}", fmt::join(relays, " "))) } });
}

// Asks a member for its status on a connection of its own. Any answer to ordinary statements meanwhile shows that it lives, too.
void Gateway::inquire(const TargetAddress& target, std::function<void(const StatusReport&)> done)
{
    auto session = std::make_shared<TargetSession>(m_context.get_executor(), m_platform->getCodec());
    auto began = Clock::now();
    auto shared = std::make_shared<std::function<void(const StatusReport&)>>(std::move(done));
    auto timer = std::make_shared<asio::steady_timer>(m_context, kInquiryLimit);
    auto finish = [this, shared, session, timer, target, began](const StatusReport& finding) {
        if (!*shared)
            return;
        auto found = finding;
        auto member = m_view.members.find(target.member);
        if (member != m_view.members.end() && member->second.lastAnswerAt > began)
            found.wasReached = true;
        auto call = std::move(*shared);
        *shared = nullptr;
        timer->cancel();
        session->close();
        call(found);
    };
    timer->async_wait([finish](boost::system::error_code ec) {
        if (!ec)
            finish({});
    });
    session->open(
        target, m_settings.name, kInquiryLimit, [this, session, finish](const Outcome& outcome) {
            if (outcome.error) {
                // A member that refuses lives; one that is another than expected does not count.
                StatusReport finding;
                finding.wasReached = outcome.error->kind == ErrorKind::TooManyConnections || outcome.error->kind == ErrorKind::Overloaded;
                finish(finding);
                return;
            }
            session->ask(m_platform->getCodec().formatStatusQuery(), [this, finish](const Outcome& answer) {
                StatusReport finding;
                finding.wasReached = !answer.error || answer.error->kind == ErrorKind::Overloaded;
                if (!answer.error && !answer.rows.empty()) {
                    if (auto status = m_platform->getCodec().parseStatus(answer.rows.front()))
                        finding.status = *status;
                }
                finish(finding);
            }); },
        [finish](const std::string&) { finish({}); });
}

void Gateway::sweep()
{
    auto now = Clock::now();
    noteReadiness();
    sweepHosts(now);
    askForMembers(now);
    sweepPools(now);
    m_peers.sweep(now);
    m_quotas.sweep(now);
    m_router.sweep(now);
    m_promoter.sweep(now);
    sweepSessions(now);
    if (m_isDraining)
        sweepStop(now);
    base::flushEventLog();
}

// What a session waits for lasts seconds, but for its host's first configuration.
void Gateway::sweepSessions(TimePoint now)
{
    bool isStarting = now < m_startedAt + kStartTakes;
    if (!isStarting && now - m_sessionsAt < kSessionsInterval)
        return;
    m_sessionsAt = now;
    auto sessions = std::vector(m_sessions.begin(), m_sessions.end());
    for (auto& it : sessions)
        it->sweep(now);
}

void Gateway::forgetUnlisted(TimePoint now)
{
    if (now - m_forgottenAt < kForgetInterval)
        return;
    m_forgottenAt = now;
    for (auto& id : removeUnlistedMembers(m_view, kUnlistedFor, now)) {
        auto it = m_pools.find(id);
        if (it == m_pools.end())
            continue;
        it->second->shutDown("the member is gone");
        m_pools.erase(it);
    }
}

void Gateway::sweepPools(TimePoint now)
{
    forgetUnlisted(now);
    bool isPlacementDue = m_view.isForwardingUpdateDue || m_placedVersion != m_peers.getVersion() || now - m_placedAt >= kPlacementInterval;
    if (isPlacementDue)
        placePools(now);
    for (auto& [id, pool] : m_pools) {
        auto member = m_view.members.find(id);
        bool isKnown = member != m_view.members.end();
        pool->setTakesNew(isKnown && acceptsNewOperations(member->second, getDrainTime(), now));
        bool isBehind = isKnown && (mustReportPosition(member->second) || isFarBehind(m_view.groups[member->second.registration.group], member->second, now));
        pool->setPositionInterval(isBehind && pool->isCarrier() ? kPositionInterval : milliseconds(0));
        pool->sweep(now);
    }
}

// What this host carries changes when a host or a member comes, goes or changes its role. Walking all members each 20 ms for it took a fifth of an
// idle host's processor time at 295 hosts and 60 members.
void Gateway::placePools(TimePoint now)
{
    m_view.isForwardingUpdateDue = false;
    m_placedVersion = m_peers.getVersion();
    m_placedAt = now;
    auto place = getPlace();
    for (auto& [id, member] : m_view.members) {
        // Asked again while nobody is known to lead: one answer that is missing or came too early would leave this host's callers without a primary for good.
        if (m_view.groups[member.registration.group].primary.member.empty() && now - member.primaryQueriedAt >= kLeadAskInterval)
            askWhetherItLeads(member);
        bool leads = m_view.groups[member.registration.group].primary.member == id;
        if ((leads || mustReportPosition(member)) && isCarrier(m_view, m_peers, place, member))
            getPool(member.getTarget());
    }
    for (auto& [id, pool] : m_pools) {
        auto member = m_view.members.find(id);
        bool isKnown = member != m_view.members.end();
        bool leads = isKnown && m_view.groups[member->second.registration.group].primary.member == id;
        pool->setLimits(getLimits(pool->getTarget())); // configuration and list may have come after the pool
        pool->setComparison(getComparison(pool->getTarget()));
        bool carries = isKnown && isCarrier(m_view, m_peers, place, member->second);
        pool->setCarrier(carries);
        pool->setProofInterval(leads && carries ? kProofInterval : milliseconds(0));
    }
}

void Gateway::reload(const base::GatewaySettings& settings)
{
    if (settings == m_settings)
        return;
    base::setLogBudget({ settings.logLinesPerSecond, settings.logBufferKb * 1024 });
    base::logEvent(LogClass::State, "reload", { { "lines_per_second", static_cast<int64_t>(settings.logLinesPerSecond) } });
    m_settings = settings;
}

void Gateway::beginStop()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_view.isForwardingUpdateDue = true;
    m_stopBegan = Clock::now();
    base::logEvent(LogClass::State, "stop-begins", { { "sessions", static_cast<int64_t>(m_sessions.size()) }, { "grace_ms", static_cast<int64_t>(m_settings.stopGraceMs) } });
}

// The balancer needs a while to send no more callers; then sessions are closed as they come to rest, and at half of the grace time
// transactions are ended.
void Gateway::sweepStop(TimePoint now)
{
    auto passed = now - m_stopBegan;
    auto grace = milliseconds(m_settings.stopGraceMs);
    if (passed < std::min(kNoticeTime, grace / 2))
        return;
    if (!m_isEnding)
        base::logEvent(LogClass::State, "stop-closing", { { "sessions", static_cast<int64_t>(m_sessions.size()) } });
    m_isEnding = true;
    auto sessions = std::vector(m_sessions.begin(), m_sessions.end());
    for (auto& it : sessions) {
        it->drain();
        if (passed > grace / 2 && it->isBusy() && !it->isRunning())
            it->abort();
    }
    if (!m_sessions.empty() && passed < grace - kEndReserve)
        return;
    m_sweep.stop();
    asio::co_spawn(m_context, finishStop(), asio::detached);
}

asio::awaitable<void> Gateway::finishStop()
{
    auto cut = static_cast<int64_t>(m_sessions.size());
    m_peers.stop();
    co_await m_directory.stop();
    co_await base::sleepFor(kLastAnswers);
    base::logEvent(LogClass::State, "stop", { { "sessions_cut", cut } });
    base::flushEventLog();
    m_context.stop();
}

}
