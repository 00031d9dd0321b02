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

static constexpr milliseconds kSweepInterval { 20 }; // the longest delay in noticing a timeout
static constexpr milliseconds kProofInterval { 250 }; // the maximum age of a group's newest floor while no statement renews it
static constexpr milliseconds kPositionInterval { 100 }; // between position queries to a replica that is far behind
static constexpr milliseconds kUnreachableCooldown { 500 }; // statements avoid this host's connections to a member for this long after a failure
static constexpr milliseconds kStatusQueryTimeout { 350 }; // a busy target answers within some tens of ms
static constexpr milliseconds kUnlistedRetention { 4000 }; // must exceed the time in which expired entries are written again
static constexpr milliseconds kInitialConfigurationWait { 1000 }; // callers of a host that starts wait this long for its configuration, which takes 20 to 220 ms while the store answers
static constexpr milliseconds kLoadBalancerNoticeTime { 2200 }; // until the load balancer has seen enough failed readiness checks: it asks once a second and needs two
static constexpr milliseconds kShutdownReserve { 700 }; // part of the grace period that is kept for the last answers
static constexpr milliseconds kSocketFlushTime { 50 }; // for unsent bytes in sockets before the process ends
static constexpr milliseconds kRelistTime { 2500 }; // expired entries of hosts are written again within this
static constexpr milliseconds kPartnersInterval { 500 }; // between choices of partners while the set of hosts does not change
static constexpr milliseconds kForwardingUpdateInterval { 500 }; // walking all members in each sweep took a fifth of an idle host's processor time at 295 hosts and 60 members
static constexpr milliseconds kUnlistedSweepInterval { 500 };
static constexpr milliseconds kSessionSweepInterval { 100 }; // the longest delay in ending an idle transaction
static constexpr milliseconds kRelayRequestLifetime { 2000 }; // a host remains a relay for this long after the last request
static constexpr milliseconds kPrimaryClaimCheckInterval { 500 }; // between status queries to a member that claims to be primary while none is known
static constexpr unsigned kReservedConnections = 2; // of a member's limit, for status queries and hosts that have just started

Gateway::Gateway(asio::io_context& context, base::TimerService& timers, base::GatewaySettings settings, std::unique_ptr<links::PlatformAdapter> platform)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_self { m_settings.name, m_settings.peerAddress, m_settings.dataCentre, static_cast<uint64_t>(base::getRandom() * 1e15) + 1 }
    , m_peers(context, m_settings.name, makePeerCallbacks())
    , m_quotas({ m_view, m_peers, m_settings.name, m_self.incarnation, getQuotaRule(), m_isDraining })
    , m_router({ context, m_view, m_peers, m_settings.name, m_settings.dataCentre, [this](const TargetAddress& it) { return getPool(it); }, [this](const TargetAddress& it) { return isUnreachable(it); }, [this](const std::string& group) { raiseAlarm(group, "no primary is known"); }, [this] { return !decisions::canJudgePrimary(m_peers.getReachability()); }, getDrainTime(), m_quotas })
    , m_directory(context, *m_platform, m_self, { milliseconds(m_settings.storeCallTimeoutMs), milliseconds(m_settings.watchWaitMs), milliseconds(m_settings.longWatchWaitMs), milliseconds(m_settings.leaseMs) }, makeDirectoryEvents())
    , m_promoter({ context, m_view, m_peers, *m_platform, { m_self.name, m_self.incarnation }, [this](const TargetAddress& it, const links::StatusQuery& query, std::function<void(const StatusReport&)> done) { queryStatus(it, query, std::move(done)); }, [this](const std::string&, const std::string& member, milliseconds time) { holdWrites(member, time); }, [this] { return m_directory.isReachable(); }, [this](const std::string& group, const decisions::KnownPrimary& before, std::string_view source) { notifyPrimaryChange(group, before, source); }, m_isDraining })
    , m_acceptor(context)
    , m_timers(timers)
{
}

Gateway::~Gateway() = default;

tl::expected<void, std::string> Gateway::start()
{
    m_startedAt = Clock::now();
    updateHost(m_view, m_self);
    if (auto listening = m_peers.listen(m_settings.peerAddress); !listening)
        return listening;
    if (auto listening = links::listenOn(m_acceptor, m_settings.callerAddress); !listening)
        return listening;
    accept();
    auto ready = links::startHttpServer(m_context, m_settings.readyAddress, [this](links::HttpRequest request) { return handleReadinessRequest(std::move(request)); });
    if (!ready)
        return tl::make_unexpected(ready.error());
    m_readinessServer = std::move(*ready);
    if (!m_settings.metricsAddress.empty()) {
        auto metrics = links::startHttpServer(m_context, m_settings.metricsAddress, [this](links::HttpRequest request) -> asio::awaitable<links::HttpResponse> {
            links::HttpResponse response;
            if (request.path == "/accounts") {
                response.body = formatAccountReports(m_self.name, m_view.configuration.version, describeAccounts(Clock::now()));
                co_return response;
            }
            updateGauges();
            response.contentType = "text/plain; version=0.0.4";
            response.body = base::formatMetricFamilies();
            co_return response;
        });
        if (!metrics)
            return tl::make_unexpected(metrics.error());
        m_metricsServer = std::move(*metrics);
    }
    m_directory.start();
    m_sweepTimer = m_timers.subscribe(m_context.get_executor(), kSweepInterval, [this] { sweep(); });
    base::logEvent(LogClass::State, "start", { { "version", std::string_view(ALDERWARD_VERSION) }, { "data_centre", std::string_view(m_settings.dataCentre) }, { "incarnation", static_cast<int64_t>(m_self.incarnation) } });
    return {};
}

AccountReports Gateway::describeAccounts(TimePoint now) const
{
    AccountReports reports;
    m_quotas.describeAccounts(reports, now);
    for (auto& [member, pool] : m_pools) {
        for (auto& [account, use] : pool->getUseByAccount()) {
            if (!account.empty())
                reports[account].pools[member] = use;
        }
    }
    return reports;
}

// Called for each scrape of the metrics endpoint.
void Gateway::updateGauges() const
{
    using base::MetricFamily;
    auto now = Clock::now();
    for (auto family : { MetricFamily::PoolConnections, MetricFamily::PoolWaiting, MetricFamily::PoolRunning, MetricFamily::FloorAge, MetricFamily::Term, MetricFamily::LeavingPrimary, MetricFamily::QuotaLevel })
        base::clearMetric(family);
    for (auto& [member, pool] : m_pools) {
        auto load = pool->getLoad();
        base::setGauge(MetricFamily::PoolConnections, { { "member", member } }, static_cast<double>(pool->countOpenSessions()));
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
    AccountReports accounts;
    m_quotas.describeAccounts(accounts, now);
    for (auto& [account, report] : accounts) {
        if (report.bucket)
            base::setGauge(MetricFamily::QuotaLevel, { { "account", account } }, report.bucket->status.level);
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

asio::awaitable<links::HttpResponse> Gateway::handleReadinessRequest(links::HttpRequest request)
{
    links::HttpResponse response;
    if (request.path != m_platform->getReadyPath())
        response.status = 404;
    else if (!isReady())
        response.status = 503;
    co_return response;
}

bool Gateway::isReady() const
{
    return m_view.configuration.version > 0 && m_view.hasListedMembers && !m_isDraining;
}

LocalHost Gateway::getLocalHost() const
{
    return { m_self.name, m_settings.dataCentre, m_isDraining, m_directory.isReachable(), Clock::now() - m_relayRequestedAt < kRelayRequestLifetime };
}

void Gateway::logReadinessChange()
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
            SessionContext context { m_context, m_platform->getCodec(), m_view, m_router, m_isClosingSessions, m_startedAt + kInitialConfigurationWait, [this](const std::shared_ptr<CallerSession>& it) { m_sessions.erase(it); } };
            auto session = std::make_shared<CallerSession>(std::move(context), ++m_lastSessionId);
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
        pool = std::make_shared<TargetPool>(m_context.get_executor(), m_platform->getCodec(), target, m_settings.name, makePoolObserver());
        pool->setLimits(getPoolLimits(target));
        auto member = m_view.members.find(target.member);
        pool->setAcceptsNewOperations(member != m_view.members.end() && acceptsNewOperations(member->second, getDrainTime(), Clock::now()));
        pool->setLogComparison(ensureComparison(target));
        if (auto held = m_writesHeldUntil.find(target.member); held != m_writesHeldUntil.end())
            pool->holdWrites(held->second);
    }
    return pool;
}

decisions::QuotaRule Gateway::getQuotaRule() const
{
    auto window = std::chrono::duration<double>(m_settings.quotaWindowSeconds);
    return { std::chrono::duration_cast<milliseconds>(window), m_settings.quotaOverrunShare, m_settings.quotaSlackOperations };
}

// Half of the configured limit, because two hosts may forward to one member while they disagree on which of them should.
PoolLimits Gateway::getPoolLimits(const TargetAddress& target) const
{
    auto group = m_view.configuration.groups.find(target.group);
    auto configuredLimit = group == m_view.configuration.groups.end() ? 0U : group->second.connectionsPerMember;
    auto member = m_view.members.find(target.member);
    auto slots = member == m_view.members.end() ? 1U : std::max(1U, member->second.registration.slots);
    return { std::max(2U, (configuredLimit - std::min(configuredLimit, kReservedConnections)) / 2), slots + 1, m_view.configuration.accounts.has_value() };
}

PoolObserver Gateway::makePoolObserver()
{
    PoolObserver observer;
    observer.getKnownMark = [this](const TargetAddress& target) { return getNewestKnownMark(m_view.groups[target.group]); };
    observer.onLostLog = [this](const TargetAddress& target, const Mark& position) {
        base::logEvent(LogClass::State, "primary-lost-log", { { "group", std::string_view(target.group) }, { "member", std::string_view(target.member) }, { "term", static_cast<int64_t>(position.term) }, { "position", static_cast<int64_t>(position.position) } });
        setKnownPrimary(target.group, decisions::applyPrimaryDenial(m_view.groups[target.group].primary, target.member), "denied");
    };
    observer.isKnownPrimary = [this](const TargetAddress& target) { return m_view.groups[target.group].primary.member == target.member; };
    observer.onPrimaryProven = [this](const TargetAddress& target, const Mark& position, TimePoint sentAt) {
        handlePrimaryProof(target.group, target.member, position.term, sentAt, ProofRecipient::ThisHost);
        if (m_view.groups[target.group].primary.member == target.member) {
            recordFloor(target.group, { position, sentAt });
            m_view.groups[target.group].lastProofAt = Clock::now();
            m_promoter.onPrimaryConfirmed(target.group, Clock::now());
        }
    };
    observer.onReplicaReported = [this](const TargetAddress& target) {
        auto& group = m_view.groups[target.group];
        auto before = group.primary;
        denyPrimary(group, target.member, Clock::now());
        notifyPrimaryChange(target.group, before, "denied");
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
    observer.onConnectionFailure = [this](const TargetAddress& target, const std::string& reason) {
        auto it = m_view.members.find(target.member);
        if (it == m_view.members.end())
            return;
        it->second.lastFailureAt = Clock::now();
        base::logEvent(LogClass::State, "target-trouble", { { "member", std::string_view(target.member) }, { "group", std::string_view(target.group) }, { "reason", std::string_view(reason) } });
        if (m_view.groups[target.group].primary.member == target.member)
            raiseAlarm(target.group, reason);
    };
    observer.getAccountWeight = [this](const std::string& account) {
        auto& accounts = m_view.configuration.accounts;
        return accounts ? decisions::getAccountWeight(*accounts, account) : 1;
    };
    observer.onConnectionRefused = [](const TargetAddress& target, size_t open, const std::string& reason) {
        base::logEvent(LogClass::State, "connection-refused", { { "member", std::string_view(target.member) }, { "group", std::string_view(target.group) }, { "open", static_cast<int64_t>(open) }, { "reason", std::string_view(reason) } });
    };
    return observer;
}

// Reports a possible failure of the group's primary to the group's coordinators.
void Gateway::raiseAlarm(const std::string& group, const std::string& reason)
{
    m_promoter.raiseAlarm(group, reason);
    auto now = Clock::now();
    auto& lastSentAt = m_alarmsSentAt[group];
    if (now - lastSentAt < decisions::getAlarmInterval(m_view.hosts.size()))
        return;
    lastSentAt = now;
    auto& primary = m_view.groups[group].primary.member;
    for (auto& name : m_promoter.getCoordinators(group)) {
        if (name != m_self.name)
            m_peers.sendAlarm(name, group, primary, reason);
    }
}

void Gateway::holdWrites(const std::string& member, milliseconds time)
{
    auto now = Clock::now();
    std::erase_if(m_writesHeldUntil, [&](const auto& it) { return it.second < now; });
    auto until = time.count() == 0 ? now : std::max(m_writesHeldUntil[member], now + time);
    m_writesHeldUntil[member] = until;
    if (auto it = m_pools.find(member); it != m_pools.end())
        it->second->holdWrites(until);
}

bool Gateway::isUnreachable(const TargetAddress& target) const
{
    auto it = m_view.members.find(target.member);
    return it != m_view.members.end() && it->second.lastFailureAt != TimePoint {} && Clock::now() - it->second.lastFailureAt < kUnreachableCooldown;
}

void Gateway::fillStatus(peer::Pong& message) const
{
    message.set_configuration(m_view.configuration.version);
    message.set_change(m_directory.getNewestChange());
    message.set_is_leaving(m_isDraining);
    auto capabilities = m_promoter.getCapabilities();
    message.set_lacks_store(!capabilities.hasStore);
    message.set_lacks_orders(!capabilities.canOrder);
}

void Gateway::handlePong(const peer::Pong& message, TimePoint sentAt)
{
    if (message.entries_until() != 0)
        m_directory.applyRelayedChanges(decodeChanges(message, sentAt));
    m_directory.refreshConfiguration(message.configuration());
    m_directory.applyReportedRevision(message.change());
    auto evidenceTimes = findEvidenceTimes(message, sentAt);
    for (int i = 0; i < message.leads_size(); ++i) {
        auto& it = message.leads(i);
        auto& askedAt = evidenceTimes[static_cast<size_t>(i)];
        if (!m_view.members.contains(it.member()))
            continue;
        if (askedAt)
            handlePrimaryProof(it.group(), it.member(), it.term(), *askedAt, ProofRecipient::AnotherHost);
        else
            handleAssumedPrimary(it.group(), it.member(), it.term());
    }
    applyPositions(m_view, message, sentAt);
    for (auto& it : message.floors()) {
        auto provenAt = sentAt - microseconds(it.age_us());
        recordFloor(it.group(), { { it.mark().term(), it.mark().position() }, provenAt });
        m_promoter.onPrimaryConfirmed(it.group(), provenAt);
    }
}

PeerCallbacks Gateway::makePeerCallbacks()
{
    PeerCallbacks callbacks;
    callbacks.findPool = [this](const std::string& id) -> std::shared_ptr<TargetPool> {
        auto member = m_view.members.find(id);
        return member == m_view.members.end() ? nullptr : getPool(member->second.getTarget());
    };
    callbacks.isUnreachable = [this](const TargetAddress& target) { return isUnreachable(target); };
    callbacks.queryStatus = [this](const TargetAddress& target, const links::StatusQuery& query, std::function<void(const StatusReport&)> done) { queryStatus(target, query, std::move(done)); };
    callbacks.onAlarm = [this](const std::string& group, const std::string& member, const std::string& reason) {
        if (m_view.groups[group].primary.member == member || member.empty())
            m_promoter.raiseAlarm(group, reason);
    };
    callbacks.onHoldWrites = [this](const std::string&, const std::string& member, milliseconds time) { holdWrites(member, time); };
    callbacks.onPrimaryAnnounced = [this](const std::string& host, const std::string& group, const std::string& member, uint64_t term) {
        m_promoter.onPromotionOrdered(group, host);
        if (!m_view.members.contains(member))
            return;
        handlePromotionOrder(group, member, term);
    };
    callbacks.onPendingPromotion = [this](const std::string& host, const peer::PendingPromotion& pending) { m_promoter.onPendingPromotion(host, pending); };
    callbacks.fillPing = [this](peer::Ping& ping) {
        ping.set_configuration(m_view.configuration.version);
        ping.set_change(m_directory.getNewestChange());
        ping.set_is_leaving(m_isDraining);
        if (ping.wants_loads())
            ping.set_known_revision(m_directory.getRevision());
    };
    callbacks.fillPong = [this](const peer::Ping& ping, peer::Pong& pong) {
        auto now = Clock::now();
        fillStatus(pong);
        writeGroupStatus(pong, m_view, ping.wants_heard(), now);
        if (ping.wants_heard()) {
            m_isPartnerChoiceDue = m_isPartnerChoiceDue || now - m_relayRequestedAt > kRelayRequestLifetime;
            m_relayRequestedAt = now;
            m_peers.writePartnerReports(pong, ping.wants_loads());
            if (ping.known_revision() != 0)
                encodeChanges(pong, m_directory.getChanges(ping.known_revision()), now);
        }
        for (auto& [member, pool] : m_pools) {
            bool isReported = pool->isForwarder() || isUnreachable(pool->getTarget());
            if (!isReported)
                continue;
            encodeLoad(*pong.add_loads(), member, pool->getLoad(), isUnreachable(pool->getTarget()));
        }
        for (auto& wire : *pong.mutable_loads())
            writePosition(wire, m_view, now);
    };
    callbacks.onPing = [this](const std::string&, const peer::Ping& ping) {
        m_directory.refreshConfiguration(ping.configuration());
        m_directory.applyReportedRevision(ping.change());
    };
    callbacks.onPong = [this](const std::string&, const peer::Pong& pong, TimePoint sentAt) { handlePong(pong, sentAt); };
    callbacks.fillMembersAnswer = [this](const peer::MembersQuestion& question, peer::MembersAnswer& answer) {
        answer.set_lacks_store(m_directory.mayMissChanges());
        if (!answer.lacks_store())
            encodeMembers(answer, m_view, question.since(), Clock::now());
    };
    callbacks.onMembersAnswer = [this](const std::string&, const peer::MembersAnswer& answer, TimePoint sentAt) { handleMembersAnswer(answer, sentAt); };
    callbacks.handleQuotaReport = [this](const peer::QuotaReport& report) { return m_quotas.handleReport(report); };
    callbacks.onQuotaReporterLost = [this](const std::string& host) { m_quotas.handleReporterLost(host); };
    callbacks.handleQuotaAsk = [this](const peer::QuotaAsk& ask) { return m_quotas.handleAsk(ask); };
    callbacks.onQuotaState = [this](const std::string& host, const peer::QuotaState& state) { m_quotas.handleState(host, state); };
    callbacks.onQuotaAnswer = [this](const peer::QuotaAnswer& answer) { m_quotas.handleAnswer(answer); };
    callbacks.onHostChange = [](const std::string& host, bool isUp, const std::string& reason) { base::incrementCounter(base::MetricFamily::HostChanges, {{"peer", host}, {"change", isUp ? "regained" : "lost"}}); base::logEvent(LogClass::State, isUp ? "host-regained" : "host-lost", { { "peer", std::string_view(host) }, { "reason", std::string_view(reason) } }); };
    return callbacks;
}

// The lowest staleness limit of all routes that allow stale reads; 0: none does.
static milliseconds getMinStalenessLimit(const links::GatewayConfiguration& configuration)
{
    milliseconds minLimit { 0 };
    for (auto& [database, route] : configuration.routes) {
        bool allowsStaleReads = route.consistency != decisions::Consistency::Primary && route.maximumAge.count() > 0;
        if (allowsStaleReads && (minLimit.count() == 0 || route.maximumAge < minLimit))
            minLimit = route.maximumAge;
    }
    return minLimit;
}

DirectoryEvents Gateway::makeDirectoryEvents()
{
    DirectoryEvents events;
    events.onConfiguration = [this](const links::GatewayConfiguration& configuration) {
        base::logEvent(LogClass::State, "configuration", { { "version", static_cast<int64_t>(configuration.version) }, { "before", static_cast<int64_t>(m_view.configuration.version) }, { "routes", static_cast<int64_t>(configuration.routes.size()) } });
        m_view.configuration = configuration;
        m_view.isForwardingUpdateDue = true;
        m_basePingInterval = decisions::getPingInterval(getMinStalenessLimit(configuration));
        m_isPartnerChoiceDue = true;
    };
    events.onMemberChanged = [this](const links::RegisteredMember& member, uint64_t revision, std::optional<TimePoint> changedAt) {
        handleMemberListed(member, revision, changedAt ? *changedAt : decisions::estimateLeavingSince(getDrainTime(), Clock::now()), "listed");
    };
    events.onMemberRemoved = [this](const std::string& id, uint64_t revision) { handleMemberUnlisted(id, revision, "listed"); };
    events.onMembersListed = [this] { m_view.hasListedMembers = true; };
    events.onHostChanged = [this](const links::RegisteredHost& host) {
        if (host.name == m_self.name)
            return;
        m_hostsRemovedAt.erase(host.name);
        updateHost(m_view, host);
        m_isPeerUpdateDue = true;
    };
    events.onHostRemoved = [this](const std::string& name) {
        if (name != m_self.name && m_view.hosts.contains(name))
            m_hostsRemovedAt[name] = Clock::now();
    };
    events.onCoordinatorRecord = [this](const std::string& group, const links::StoreItem& item) { m_promoter.applyCoordinatorRecord(group, item); };
    return events;
}

void Gateway::updatePeerHosts()
{
    std::vector<links::RegisteredHost> hosts;
    for (auto& [name, it] : m_view.hosts)
        hosts.push_back(it);
    m_peers.setHosts(hosts);
    m_isPeerUpdateDue = false;
    m_isPartnerChoiceDue = true;
}

// Removes hosts whose entries are gone and updates partners and relays. An entry may have expired because the store was unreachable: its host
// is kept while it answers, or until it had time to write the entry again.
void Gateway::sweepHosts(TimePoint now)
{
    auto removedHosts = m_hostsRemovedAt;
    for (auto& [name, since] : removedHosts) {
        if (m_peers.isAnswering(name) || (now - since < kRelistTime && m_peers.isUp(name)))
            continue;
        m_hostsRemovedAt.erase(name);
        removeHost(m_view, name);
        m_isPeerUpdateDue = true;
    }
    if (m_isPeerUpdateDue)
        updatePeerHosts();
    if (!m_isPartnerChoiceDue && now - m_partnersChosenAt < kPartnersInterval)
        return;
    m_isPartnerChoiceDue = false;
    m_partnersChosenAt = now;
    // Chosen together with the partners: a relay that stops or does not answer is replaced by the next host.
    auto partners = choosePartners(m_view, m_peers, getLocalHost(), m_promoter.getCoordinatorRole(), m_basePingInterval);
    m_peers.setPartners(partners);
    auto relays = getRelays(m_view, m_peers, getLocalHost());
    bool isWatcher = std::ranges::find(relays, m_self.name) != relays.end() || getLocalHost().isAskedToRelay;
    bool hasRelay = std::ranges::any_of(partners, [](auto& it) { return it.second.reportsLoads; });
    m_directory.setWatcher(isWatcher, hasRelay);
    m_directory.setStoreLostByRelays(std::ranges::none_of(partners, [this](auto& it) { return it.second.isRelay && m_peers.getCapabilities(it.first).hasStore; }));
    if (relays == m_relays)
        return;
    m_relays = relays;
    base::logEvent(LogClass::State, "relays", { { "hosts", std::string_view(fmt::format("{}", fmt::join(relays, " "))) } });
}

// Queries a member's status on a separate connection. An answer to any statement in the meantime counts as a reachable member, too.
void Gateway::queryStatus(const TargetAddress& target, const links::StatusQuery& query, std::function<void(const StatusReport&)> done)
{
    auto session = std::make_shared<TargetSession>(m_context.get_executor(), m_platform->getCodec());
    auto startedAt = Clock::now();
    auto callback = std::make_shared<std::function<void(const StatusReport&)>>(std::move(done));
    auto timer = std::make_shared<asio::steady_timer>(m_context, kStatusQueryTimeout);
    auto finish = [this, callback, session, timer, target, startedAt](const StatusReport& report) {
        if (!*callback)
            return;
        auto result = report;
        auto member = m_view.members.find(target.member);
        if (member != m_view.members.end() && member->second.lastAnswerAt > startedAt)
            result.wasReached = true;
        auto call = std::move(*callback);
        *callback = nullptr;
        timer->cancel();
        session->close();
        call(result);
    };
    timer->async_wait([finish](boost::system::error_code ec) {
        if (!ec)
            finish({});
    });
    session->open(
        target, m_settings.name, kStatusQueryTimeout, [this, session, finish, query](const Outcome& outcome) {
            if (outcome.error) {
                // A refusal for lack of capacity shows that the member is alive. Other errors, such as another member at the address, do not.
                StatusReport report;
                report.wasReached = outcome.error->kind == ErrorKind::TooManyConnections || outcome.error->kind == ErrorKind::Overloaded;
                finish(report);
                return;
            }
            session->sendStatement(m_platform->getCodec().formatStatusQuery(query), [this, finish](const Outcome& answer) {
                StatusReport report;
                report.wasReached = !answer.error || answer.error->kind == ErrorKind::Overloaded;
                report.isRefused = answer.error && answer.error->kind != ErrorKind::Overloaded && answer.error->kind != ErrorKind::OutcomeUnknown;
                if (!answer.error && !answer.rows.empty()) {
                    if (auto status = m_platform->getCodec().parseStatus(answer.rows.front()))
                        report.status = *status;
                }
                finish(report);
            }); },
        [finish](const std::string&) { finish({}); });
}

void Gateway::sweep()
{
    auto now = Clock::now();
    logReadinessChange();
    sweepHosts(now);
    refreshMembersFromPeers(now);
    sweepPools(now);
    m_peers.sweep(now);
    m_quotas.sweep(now);
    m_router.sweep(now);
    m_promoter.sweep(now);
    sweepSessions(now);
    if (m_isDraining)
        advanceShutdown(now);
    base::flushEventLog();
}

// Session timeouts are seconds long, so the interval can be coarse, except while sessions wait for the host's first configuration.
void Gateway::sweepSessions(TimePoint now)
{
    for (auto& it : m_sessions) // outcomes are posted, so no session ends meanwhile
        it->checkCaller(now);
    bool isStarting = now < m_startedAt + kInitialConfigurationWait;
    if (!isStarting && now - m_sessionsSweptAt < kSessionSweepInterval)
        return;
    m_sessionsSweptAt = now;
    auto sessions = std::vector(m_sessions.begin(), m_sessions.end());
    for (auto& it : sessions)
        it->sweep(now);
}

void Gateway::sweepUnlistedMembers(TimePoint now)
{
    if (now - m_unlistedSweptAt < kUnlistedSweepInterval)
        return;
    m_unlistedSweptAt = now;
    for (auto& id : removeUnlistedMembers(m_view, kUnlistedRetention, now)) {
        auto it = m_pools.find(id);
        if (it == m_pools.end())
            continue;
        it->second->shutDown("the member is no longer listed");
        m_pools.erase(it);
    }
}

void Gateway::sweepPools(TimePoint now)
{
    sweepUnlistedMembers(now);
    bool isUpdateDue = m_view.isForwardingUpdateDue || m_forwardingHostsVersion != m_peers.getVersion() || now - m_forwardingUpdatedAt >= kForwardingUpdateInterval;
    if (isUpdateDue)
        updateForwarding(now);
    for (auto& [id, pool] : m_pools) {
        auto member = m_view.members.find(id);
        bool isKnown = member != m_view.members.end();
        pool->setAcceptsNewOperations(isKnown && acceptsNewOperations(member->second, getDrainTime(), now));
        bool isBehind = isKnown && (mustReportPosition(member->second) || isFarBehind(m_view.groups[member->second.registration.group], member->second, now));
        pool->setPositionInterval(isBehind && pool->isForwarder() ? kPositionInterval : milliseconds(0));
        pool->sweep(now);
    }
}

// Determines the members that this host forwards to. Runs on changes of hosts, members or roles and else at kForwardingUpdateInterval, because
// the cost grows with the number of hosts and members.
void Gateway::updateForwarding(TimePoint now)
{
    m_view.isForwardingUpdateDue = false;
    m_forwardingHostsVersion = m_peers.getVersion();
    m_forwardingUpdatedAt = now;
    auto localHost = getLocalHost();
    for (auto& [id, member] : m_view.members) {
        // Repeated until a primary is known: after a lost or premature answer this host's callers would stay without a primary.
        if (m_view.groups[member.registration.group].primary.member.empty() && now - member.primaryQueriedAt >= kPrimaryClaimCheckInterval)
            verifyPrimaryClaim(member);
        bool isPrimary = m_view.groups[member.registration.group].primary.member == id;
        if ((isPrimary || mustReportPosition(member)) && isForwarder(m_view, m_peers, localHost, member))
            getPool(member.getTarget());
    }
    for (auto& [id, pool] : m_pools) {
        auto member = m_view.members.find(id);
        bool isKnown = member != m_view.members.end();
        bool isPrimary = isKnown && m_view.groups[member->second.registration.group].primary.member == id;
        pool->setLimits(getPoolLimits(pool->getTarget())); // configuration and members may have changed since the pool was created
        pool->setLogComparison(ensureComparison(pool->getTarget()));
        bool isForwarding = isKnown && isForwarder(m_view, m_peers, localHost, member->second);
        pool->setForwarder(isForwarding);
        pool->setProofInterval(isPrimary && isForwarding ? kProofInterval : milliseconds(0));
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

void Gateway::startShutdown()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_view.isForwardingUpdateDue = true;
    m_shutdownStartedAt = Clock::now();
    base::logEvent(LogClass::State, "stop-begins", { { "sessions", static_cast<int64_t>(m_sessions.size()) }, { "grace_ms", static_cast<int64_t>(m_settings.stopGraceMs) } });
}

// Serves new callers until the load balancer has noticed the stop. Then closes sessions when they become idle, and aborts open transactions
// after half of the grace period.
void Gateway::advanceShutdown(TimePoint now)
{
    auto elapsed = now - m_shutdownStartedAt;
    auto gracePeriod = milliseconds(m_settings.stopGraceMs);
    if (elapsed < std::min(kLoadBalancerNoticeTime, gracePeriod / 2))
        return;
    if (!m_isClosingSessions)
        base::logEvent(LogClass::State, "stop-closing", { { "sessions", static_cast<int64_t>(m_sessions.size()) } });
    m_isClosingSessions = true;
    auto sessions = std::vector(m_sessions.begin(), m_sessions.end());
    for (auto& it : sessions) {
        it->drain();
        if (elapsed > gracePeriod / 2 && it->isBusy() && !it->isRunning())
            it->abort();
    }
    if (!m_sessions.empty() && elapsed < gracePeriod - kShutdownReserve)
        return;
    m_sweepTimer.stop();
    asio::co_spawn(m_context, finishShutdown(), asio::detached);
}

asio::awaitable<void> Gateway::finishShutdown()
{
    auto closedSessions = static_cast<int64_t>(m_sessions.size());
    m_peers.stop();
    co_await m_directory.stop();
    co_await base::sleepFor(kSocketFlushTime);
    base::logEvent(LogClass::State, "stop", { { "sessions_cut", closedSessions } });
    base::flushEventLog();
    m_context.stop();
}

}
