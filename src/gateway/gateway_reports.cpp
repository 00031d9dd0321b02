// Reports: metrics and readiness of a host, and the status of members.
#include "base/event_log.h"
#include "base/families.h"
#include "base/metrics.h"
#include "gateway/configuration_report.h"
#include "gateway/gateway.h"

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using decisions::ErrorKind;

static constexpr milliseconds kConfigurationReportInterval { 60000 }; // between log lines on a configuration that is not in force as written
static constexpr milliseconds kStatusQueryTimeout { 350 }; // a busy target answers within some tens of ms

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
    setConfigurationGauges(m_view.configuration, m_directory.getRefusedConfiguration(), now);
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

// Repeats what operators must mend for as long as it lasts.
void Gateway::repeatConfigurationProblems(TimePoint now)
{
    if (now - m_configurationReportedAt < kConfigurationReportInterval)
        return;
    m_configurationReportedAt = now;
    logConfigurationProblems(m_view.configuration);
    if (auto& refused = m_directory.getRefusedConfiguration())
        logRefusedConfiguration(*refused, m_view.configuration.version, now);
}

void Gateway::logReadinessChange()
{
    if (isReady() == m_wasReady)
        return;
    m_wasReady = isReady();
    base::logEvent(LogClass::State, "readiness", { { "ready", m_wasReady }, { "configuration", static_cast<int64_t>(m_view.configuration.version) }, { "members", static_cast<int64_t>(m_view.members.size()) }, { "stopping", m_isDraining } });
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

}
