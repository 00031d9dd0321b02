#include "gateway/quota_exchange.h"
#include "base/event_log.h"
#include "base/families.h"
#include "base/random.h"
#include "decisions/hashing.h"
#include "decisions/limits.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using decisions::ErrorKind;

static constexpr size_t kShards = 2; // each with its own quota server
static constexpr milliseconds kServerAnswerTimeout { 600 }; // a quota server with reports unanswered for longer is not used
static constexpr milliseconds kServerRetryDelay { 2000 }; // after the last report to a quota server that did not answer
static constexpr milliseconds kAskTimeout { 150 }; // must exceed the round trip between data centres
static constexpr milliseconds kServerLinkRetention { 12000 }; // after the last report to a quota server; longer than it remembers a host
static constexpr milliseconds kServerSweepInterval { 250 };
static constexpr milliseconds kNoServerRetryAfter { 1000 }; // while no quota server answers; must exceed the time to find another one

static constexpr std::string_view kQuotaUsedUp = "the quota is used up";

static size_t getShard(const std::string& account)
{
    return decisions::getHash(account) % kShards;
}

QuotaExchange::QuotaExchange(QuotaContext context)
    : m_context(std::move(context))
    , m_shards(kShards)
{
    for (size_t i = 0; i < m_shards.size(); ++i) {
        m_shards[i].rankingKey = fmt::format("quota/{}", i);
        m_shards[i].host.startedAt = Clock::now();
    }
}

const decisions::AccountQuota* QuotaExchange::findQuota(const std::string& account) const
{
    auto& accounts = m_context.view.configuration.accounts;
    return accounts && !account.empty() ? decisions::findQuota(*accounts, account) : nullptr;
}

decisions::QuotaConfiguration QuotaExchange::makeConfiguration() const
{
    static const decisions::Accounts none {};
    auto& accounts = m_context.view.configuration.accounts;
    return { m_context.rule, accounts ? *accounts : none, m_context.view.hosts.size() };
}

// Whether no other host reports to this one. It must not act as its own quota server then: other hosts may report to another quota server
// at the same time, and that one reserves only a share for this host.
bool QuotaExchange::isIsolated(size_t shard, TimePoint now) const
{
    return m_context.view.hosts.size() > 1 && !decisions::hasOtherReportingHost(m_shards[shard].server, m_context.name, now);
}

// The quota server of a shard as seen from this host; empty if there is none.
std::string QuotaExchange::findQuotaServer(size_t shard, TimePoint now)
{
    auto& serverLinks = m_shards[shard].serverLinks;
    for (auto& name : getRankedHosts(m_context.view, m_shards[shard].rankingKey)) {
        bool isSelf = name == m_context.name;
        if (isSelf ? m_context.isDraining || isIsolated(shard, now) : !m_context.peers.isUsable(name))
            continue;
        auto link = serverLinks.find(name);
        bool isLate = link != serverLinks.end() && link->second.unansweredSince != TimePoint {} && now - link->second.unansweredSince > kServerAnswerTimeout;
        if (!isLate || now - link->second.lastReportSentAt >= kServerRetryDelay)
            return name;
    }
    return {};
}

void QuotaExchange::admitOperation(const std::string& account, int priority, QuotaCallback done)
{
    auto* quota = findQuota(account);
    if (!account.empty())
        ++m_counts[account].asked;
    if (!quota) {
        begin(account, {}, false, done);
        return;
    }
    auto now = Clock::now();
    auto shard = getShard(account);
    auto& host = m_shards[shard].host;
    switch (decisions::admitOperation(host, account, priority, *quota, m_context.rule, m_context.view.hosts.size(), now)) {
    case decisions::Admission::Begin:
        decisions::recordOperation(host, account, false, now);
        m_shards[shard].hasUnreportedUsage = true;
        begin(account, { .isCounted = true }, false, done);
        return;
    case decisions::Admission::Refuse: {
        auto* block = decisions::findBlock(host, account, priority);
        refuse(account, priority, kQuotaUsedUp, decisions::getRetryAfter(host, account, priority, now), block ? std::optional(block->level) : std::nullopt, done);
        return;
    }
    case decisions::Admission::RequestGrant:
        requestGrant(shard, account, priority, std::move(done));
        return;
    }
}

void QuotaExchange::revertOperation(const std::string& account, bool isOwnBucket, TimePoint countedAt)
{
    auto& shard = m_shards[getShard(account)];
    ++m_counts[account].returned;
    decisions::revertOperation(shard.host, account, isOwnBucket, countedAt);
    shard.hasUnreportedUsage = shard.hasUnreportedUsage || !isOwnBucket;
}

void QuotaExchange::requestGrant(size_t shard, const std::string& account, int priority, QuotaCallback done)
{
    auto now = Clock::now();
    auto server = findQuotaServer(shard, now);
    if (server.empty()) {
        decideWithoutServer(shard, account, priority, done);
        return;
    }
    if (server != m_shards[shard].currentServer) // a quota server grants nothing to a host that it does not know
        sendReport(shard, server, now);
    if (server == m_context.name) {
        applyGrant(shard, account, priority, decideGrant(account, priority), done);
        return;
    }
    peer::Frame frame;
    frame.mutable_quota_ask()->set_call(++m_lastCall);
    frame.mutable_quota_ask()->set_account(account);
    frame.mutable_quota_ask()->set_host(m_context.name);
    frame.mutable_quota_ask()->set_priority(priority);
    m_pendingAsks[m_lastCall] = { shard, account, priority, std::move(done), now + kAskTimeout };
    m_context.peers.send(server, frame);
}

// Limits this host to its own share, which quota servers no longer grant to other hosts once its lease has expired.
void QuotaExchange::decideWithoutServer(size_t shard, const std::string& account, int priority, const QuotaCallback& done)
{
    auto now = Clock::now();
    auto* quota = findQuota(account);
    if (quota && !decisions::beginWithoutQuotaServer(m_shards[shard].host, account, *quota, m_context.rule, m_context.view.hosts.size(), now))
        refuse(account, priority, "no quota server answers", kNoServerRetryAfter, std::nullopt, done);
    else
        begin(account, { .isCounted = quota != nullptr, .isOwnBucket = true }, false, done);
}

void QuotaExchange::applyGrant(size_t shard, const std::string& account, int priority, const decisions::QuotaGrant& grant, const QuotaCallback& done)
{
    auto now = Clock::now();
    auto& host = m_shards[shard].host;
    if (!grant.isGranted) {
        decisions::blockAccount(host, account, priority, grant, now);
        refuse(account, priority, kQuotaUsedUp, grant.retryAfter, grant.level, done);
        return;
    }
    decisions::recordOperation(host, account, true, now);
    if (grant.startAfter.count() > 0)
        m_delayedStarts.push_back({ now + grant.startAfter, account, done });
    else
        begin(account, { .isCounted = true }, true, done);
}

void QuotaExchange::begin(const std::string& account, const QuotaDecision& decision, bool isGranted, const QuotaCallback& done)
{
    if (!account.empty()) {
        auto& counts = m_counts[account];
        ++counts.begun;
        counts.granted += isGranted ? 1 : 0;
        counts.ownBucket += decision.isOwnBucket ? 1 : 0;
    }
    done(decision);
}

void QuotaExchange::refuse(const std::string& account, int priority, std::string_view reason, milliseconds retryAfter, std::optional<double> level, const QuotaCallback& done)
{
    ++m_counts[account].refused[{ std::string(reason), priority }];
    auto spread = decisions::jitterRetryAfter(std::max(retryAfter, milliseconds(1)), base::getRandom());
    base::incrementCounter(base::MetricFamily::QuotaRefused, { { "reason", reason }, { "priority", std::to_string(priority) } });
    done({ .refusal = decisions::Error { ErrorKind::QuotaExceeded, fmt::format("client account {}: {}; retry after {} ms", account, reason, spread.count()), spread }, .level = level });
}

void QuotaExchange::describeAccounts(AccountReports& reports, TimePoint now) const
{
    for (auto& [account, counts] : m_counts)
        reports[account].counts = counts;
    for (size_t i = 0; i < m_shards.size(); ++i) {
        auto& server = m_shards[i].server;
        auto age = decisions::getNewestReportAge(server, now);
        auto hosts = decisions::countReportingHosts(server, now);
        if (!age || hosts == 0)
            continue;
        for (auto& it : decisions::getAccountStatus(server, makeConfiguration(), now)) {
            if (getShard(it.account) == i)
                reports[it.account].bucket = AccountBucket { it, hosts, *age };
        }
    }
}

peer::QuotaReport QuotaExchange::makeReport(size_t shard, const ServerLink& link, TimePoint now)
{
    peer::QuotaReport wire;
    wire.set_number(link.lastReportNumber);
    wire.set_shard(static_cast<uint32_t>(shard));
    wire.set_host(m_context.name);
    wire.set_incarnation(m_context.incarnation);
    wire.set_is_whole(link.needsWholeReport);
    for (auto& [account, usage] : m_shards[shard].host.accounts) {
        if (!link.needsWholeReport && !usage.isUnreported)
            continue;
        auto reported = decisions::takeUsageReport(usage, account, now);
        auto& use = *wire.add_uses();
        use.set_account(account);
        use.set_begun(reported.counts.begun);
        use.set_returned(reported.counts.returned);
        use.set_charged_begun(reported.charged.begun);
        use.set_charged_returned(reported.charged.returned);
        use.set_returned_age_ms(static_cast<uint32_t>(reported.returnedAge.count()));
    }
    return wire;
}

// Without it, the previous quota server would count this host's share until it notices that reports are missing.
void QuotaExchange::sendLeavingReport(size_t shard, const std::string& server)
{
    peer::Frame frame;
    auto& report = *frame.mutable_quota_report();
    report.set_shard(static_cast<uint32_t>(shard));
    report.set_host(m_context.name);
    report.set_incarnation(m_context.incarnation);
    report.set_is_leaving(true);
    if (server == m_context.name)
        handleReport(report);
    else
        m_context.peers.send(server, frame);
}

void QuotaExchange::sendReport(size_t index, const std::string& server, TimePoint now)
{
    auto& shard = m_shards[index];
    shard.lastReportAt = now;
    bool isNew = server != shard.currentServer;
    if (isNew && !shard.currentServer.empty())
        sendLeavingReport(index, shard.currentServer);
    shard.currentServer = server;
    if (server.empty())
        return;
    auto& link = shard.serverLinks[server];
    link.needsWholeReport = link.needsWholeReport || isNew || link.unansweredSince != TimePoint {};
    ++link.lastReportNumber;
    link.lastReportSentAt = now;
    peer::Frame frame;
    *frame.mutable_quota_report() = makeReport(index, link, now);
    link.needsWholeReport = false;
    link.lastReport.clear();
    for (auto& it : frame.quota_report().uses())
        link.lastReport[it.account()] = { it.begun(), it.returned() };
    shard.hasUnreportedUsage = false;
    if (server == m_context.name) {
        handleState(server, handleReport(frame.quota_report()));
        return;
    }
    if (link.unansweredSince == TimePoint {})
        link.unansweredSince = now;
    m_context.peers.send(server, frame);
}

peer::QuotaState QuotaExchange::makeState(size_t shard) const
{
    peer::QuotaState state;
    state.set_shard(static_cast<uint32_t>(shard));
    state.set_incarnation(m_context.incarnation);
    for (auto& it : decisions::getStrictAccounts(m_shards[shard].server))
        state.add_strict(it);
    return state;
}

peer::QuotaState QuotaExchange::handleReport(const peer::QuotaReport& wire)
{
    auto shard = wire.shard() % kShards;
    decisions::QuotaReport report { wire.host(), wire.incarnation(), wire.is_whole(), wire.is_leaving(), {} };
    for (auto& it : wire.uses())
        report.accounts.push_back({ it.account(), { it.begun(), it.returned() }, { it.charged_begun(), it.charged_returned() }, milliseconds(it.returned_age_ms()) });
    auto result = decisions::applyReport(m_shards[shard].server, makeConfiguration(), report, Clock::now());
    if (result.hasStrictChanged)
        announceStrictAccounts(shard);
    auto state = makeState(shard);
    if (result.isAccepted)
        state.set_number(wire.number());
    else
        state.set_needs_whole(true);
    return state;
}

void QuotaExchange::handleReporterLost(const std::string& host)
{
    for (size_t i = 0; i < m_shards.size(); ++i) {
        if (decisions::removeHost(m_shards[i].server, makeConfiguration(), host, Clock::now()))
            announceStrictAccounts(i);
    }
}

// Decides on a quota server.
decisions::QuotaGrant QuotaExchange::decideGrant(const std::string& account, int priority)
{
    auto grant = decisions::requestGrant(m_shards[getShard(account)].server, makeConfiguration(), account, priority, Clock::now());
    std::string_view result = !grant.isGranted ? "refused" : grant.startAfter.count() > 0 ? "delayed"
                                                                                          : "granted";
    base::incrementCounter(base::MetricFamily::QuotaGrants, { { "result", result } });
    return grant;
}

peer::QuotaAnswer QuotaExchange::handleAsk(const peer::QuotaAsk& ask)
{
    auto grant = decideGrant(ask.account(), ask.priority());
    peer::QuotaAnswer answer;
    answer.set_call(ask.call());
    answer.set_is_granted(grant.isGranted);
    answer.set_start_after_ms(static_cast<uint32_t>(grant.startAfter.count()));
    answer.set_closed_ms(static_cast<uint32_t>(grant.blockedFor.count()));
    answer.set_retry_after_ms(static_cast<uint32_t>(grant.retryAfter.count()));
    answer.set_level(grant.level);
    return answer;
}

// Notifies the reporting hosts at once: with a lease they would admit operations of the account until their next report is answered.
void QuotaExchange::announceStrictAccounts(size_t shard)
{
    auto state = makeState(shard);
    base::logEvent(LogClass::State, "quota-strict", { { "shard", static_cast<int64_t>(shard) }, { "accounts", std::string_view(fmt::format("{}", fmt::join(state.strict(), " "))) } });
    m_context.peers.broadcastQuotaState(state);
    handleState(m_context.name, state);
}

void QuotaExchange::handleState(const std::string& server, const peer::QuotaState& state)
{
    auto now = Clock::now();
    auto index = state.shard() % kShards;
    auto& shard = m_shards[index];
    auto known = shard.serverLinks.find(server);
    if (known == shard.serverLinks.end())
        return;
    auto& link = known->second;
    if (link.incarnation != state.incarnation()) { // the process has restarted and lost earlier reports
        link.incarnation = state.incarnation();
        link.needsWholeReport = true;
    }
    link.needsWholeReport = link.needsWholeReport || state.needs_whole();
    if (state.number() == link.lastReportNumber) {
        link.unansweredSince = {};
        for (auto& [account, counts] : link.lastReport)
            decisions::acknowledgeReport(shard.host, account, counts);
    }
    if (server == shard.currentServer) {
        shard.host.strictAccounts = { state.strict().begin(), state.strict().end() };
        if (state.number() == link.lastReportNumber)
            shard.host.leaseStartedAt = std::max(shard.host.leaseStartedAt, link.lastReportSentAt);
    }
    logLeaseChange(index, now);
}

void QuotaExchange::logLeaseChange(size_t index, TimePoint now)
{
    auto& shard = m_shards[index];
    bool hasLease = decisions::hasLease(shard.host, now);
    if (hasLease == shard.hasLoggedLease)
        return;
    shard.hasLoggedLease = hasLease;
    base::logEvent(LogClass::State, hasLease ? "quota-lease" : "quota-lease-lost", { { "shard", static_cast<int64_t>(index) }, { "keeper", std::string_view(shard.currentServer) } });
}

void QuotaExchange::handleAnswer(const peer::QuotaAnswer& answer)
{
    auto it = m_pendingAsks.find(answer.call());
    if (it == m_pendingAsks.end()) // timed out and decided locally; the grant stays counted at the quota server
        return;
    auto ask = std::move(it->second);
    m_pendingAsks.erase(it);
    applyGrant(ask.shard, ask.account, ask.priority, { answer.is_granted(), milliseconds(answer.start_after_ms()), milliseconds(answer.closed_ms()), milliseconds(answer.retry_after_ms()), answer.level() }, ask.done);
}

void QuotaExchange::expireAsks(TimePoint now)
{
    std::vector<PendingAsk> late;
    std::erase_if(m_pendingAsks, [&](auto& it) {
        bool isLate = now > it.second.expiresAt;
        if (isLate)
            late.push_back(std::move(it.second));
        return isLate;
    });
    for (auto& it : late)
        decideWithoutServer(it.shard, it.account, it.priority, it.done);
}

void QuotaExchange::runDelayedStarts(TimePoint now)
{
    std::vector<DelayedStart> due;
    std::erase_if(m_delayedStarts, [&](DelayedStart& it) {
        bool isDue = now >= it.startAt;
        if (isDue)
            due.push_back(std::move(it));
        return isDue;
    });
    for (auto& it : due)
        begin(it.account, { .isCounted = true }, true, it.done);
}

void QuotaExchange::sweep(TimePoint now)
{
    expireAsks(now);
    runDelayedStarts(now);
    auto& accounts = m_context.view.configuration.accounts;
    if (!accounts)
        return;
    for (size_t i = 0; i < m_shards.size(); ++i) {
        auto passed = now - m_shards[i].lastReportAt;
        auto interval = m_shards[i].hasUnreportedUsage ? decisions::kQuotaReportInterval : decisions::kQuotaIdleReportInterval;
        auto server = findQuotaServer(i, now);
        if (passed >= interval || server != m_shards[i].currentServer)
            sendReport(i, server, now);
    }
    if (now - m_lastSweepAt < kServerSweepInterval)
        return;
    m_lastSweepAt = now;
    for (size_t i = 0; i < m_shards.size(); ++i) {
        auto& shard = m_shards[i];
        std::erase_if(shard.serverLinks, [&](auto& it) { return now - it.second.lastReportSentAt > kServerLinkRetention; });
        logLeaseChange(i, now);
        if (decisions::sweepQuotaServer(shard.server, makeConfiguration(), now))
            announceStrictAccounts(i);
    }
}

}
