// The life of a host: start, callers and periodic work.
#include "gateway/gateway.h"
#include "base/event_log.h"
#include "base/families.h"
#include "base/random.h"
#include "gateway/configuration_report.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;

static constexpr milliseconds kSweepInterval { 20 }; // the longest delay in noticing a timeout
static constexpr milliseconds kInitialConfigurationWait { 1000 }; // callers of a host that starts wait this long for its configuration, which takes 20 to 220 ms while the store answers
static constexpr milliseconds kSessionSweepInterval { 100 }; // the longest delay in ending an idle transaction

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
    , m_commitGate(makeCommitGateContext())
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
            if (request.path == "/configuration") {
                response.body = formatConfigurationReport(m_self.name, m_view.configuration, m_directory.getRefusedConfiguration(), Clock::now());
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

bool Gateway::isReady() const
{
    return m_view.configuration.version > 0 && m_view.hasListedMembers && !m_isDraining;
}

void Gateway::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec) {
            SessionContext context { m_context, m_platform->getCodec(), m_view, m_router, m_stop, m_startedAt + kInitialConfigurationWait, [this](const std::shared_ptr<CallerSession>& it) { m_sessions.erase(it); } };
            auto session = std::make_shared<CallerSession>(std::move(context), ++m_lastSessionId);
            m_sessions.insert(session);
            session->start(std::move(socket));
        }
        accept();
    });
}

decisions::QuotaRule Gateway::getQuotaRule() const
{
    auto window = std::chrono::duration<double>(m_settings.quotaWindowSeconds);
    return { std::chrono::duration_cast<milliseconds>(window), m_settings.quotaOverrunShare, m_settings.quotaSlackOperations };
}

void Gateway::sweep()
{
    auto now = Clock::now();
    logReadinessChange();
    repeatConfigurationProblems(now);
    sweepHosts(now);
    refreshMembersFromPeers(now);
    sweepPools(now);
    m_peers.sweep(now);
    m_quotas.sweep(now);
    m_router.sweep(now);
    m_promoter.sweep(now);
    m_commitGate.sweep(now);
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

void Gateway::reload(const base::GatewaySettings& settings)
{
    if (settings == m_settings)
        return;
    base::setLogBudget({ settings.logLinesPerSecond, settings.logBufferKb * 1024 });
    base::logEvent(LogClass::State, "reload", { { "lines_per_second", static_cast<int64_t>(settings.logLinesPerSecond) } });
    m_settings = settings;
}

}
