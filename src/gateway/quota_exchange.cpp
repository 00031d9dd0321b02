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
using std::chrono::duration_cast;

static constexpr size_t kShards = 2; // each with its own quota server
static constexpr milliseconds kServerAnswerTimeout { 600 }; // a quota server with reports unanswered for longer is not used
static constexpr milliseconds kServerRetryDelay { 2000 }; // after the last report to a quota server that did not answer
static constexpr milliseconds kAskTimeout { 150 }; // must exceed the round trip between data centres
static constexpr milliseconds kStartupSettleTime { 1000 }; // for starting hosts to agree on a quota server
static constexpr milliseconds kStoreInterval { 1000 }; // between writes of the accounts near their quotas
static constexpr milliseconds kServerSweepInterval { 250 };
static constexpr milliseconds kNoServerRetryAfter { 1000 }; // while no quota server answers; must exceed the time to find another one

static size_t getShard(const std::string& account)
{
    return decisions::getHash(account) % kShards;
}

QuotaExchange::QuotaExchange(QuotaContext context)
    : m_context(std::move(context))
    , m_shards(kShards)
    , m_startedAt(Clock::now())
{
    for (size_t i = 0; i < m_shards.size(); ++i) {
        m_shards[i].rankingKey = fmt::format("quota/{}", i);
        m_shards[i].host.startedAt = m_startedAt;
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

void QuotaExchange::admitOperation(const std::string& account, QuotaCallback done)
{
    auto* quota = findQuota(account);
    if (!quota) {
        done(std::nullopt);
        return;
    }
    auto now = Clock::now();
    auto shard = getShard(account);
    auto& host = m_shards[shard].host;
    switch (decisions::admitOperation(host, account, *quota, m_context.rule, m_context.view.hosts.size(), now)) {
    case decisions::Admission::Begin:
        decisions::recordOperation(host, account, now);
        m_shards[shard].hasUnreportedUsage = true;
        done(std::nullopt);
        return;
    case decisions::Admission::Refuse:
        refuse(account, "the quota is used up", duration_cast<milliseconds>(host.accounts[account].blockedUntil - now), done);
        return;
    case decisions::Admission::RequestGrant:
        requestGrant(shard, account, std::move(done));
        return;
    }
}

void QuotaExchange::revertOperation(const std::string& account)
{
    if (!findQuota(account))
        return;
    auto& shard = m_shards[getShard(account)];
    decisions::revertOperation(shard.host, account);
    shard.hasUnreportedUsage = true;
}

void QuotaExchange::requestGrant(size_t shard, const std::string& account, QuotaCallback done)
{
    auto now = Clock::now();
    auto server = findQuotaServer(shard, now);
    if (server.empty()) {
        decideWithoutServer(shard, account, done);
        return;
    }
    if (server != m_shards[shard].currentServer) // a quota server grants nothing to a host that it does not know
        sendReport(shard, server, now);
    if (server == m_context.name) {
        applyGrant(shard, server, account, decisions::requestGrant(m_shards[shard].server, makeConfiguration(), server, account, now), done);
        return;
    }
    peer::Frame frame;
    frame.mutable_quota_ask()->set_call(++m_lastCall);
    frame.mutable_quota_ask()->set_account(account);
    frame.mutable_quota_ask()->set_host(m_context.name);
    m_pendingAsks[m_lastCall] = { shard, account, std::move(done), now + kAskTimeout };
    m_context.peers.send(server, frame);
}

// Limits this host to the operations that quota servers reserve for it while it has no lease.
void QuotaExchange::decideWithoutServer(size_t shard, const std::string& account, const QuotaCallback& done)
{
    auto now = Clock::now();
    auto& host = m_shards[shard].host;
    auto* quota = findQuota(account);
    if (quota && !decisions::mayBeginWithoutQuotaServer(host, account, *quota, m_context.rule, m_context.view.hosts.size(), now)) {
        refuse(account, "no host that counts for all answers", kNoServerRetryAfter, done);
        return;
    }
    decisions::recordOperation(host, account, now);
    m_shards[shard].hasUnreportedUsage = true;
    done(std::nullopt);
}

void QuotaExchange::applyGrant(size_t shard, const std::string& server, const std::string& account, const decisions::QuotaGrant& grant, const QuotaCallback& done)
{
    auto now = Clock::now();
    auto& host = m_shards[shard].host;
    if (!grant.isGranted) {
        decisions::blockAccount(host, account, grant.blockedFor, now);
        refuse(account, "the quota is used up", grant.blockedFor, done);
        return;
    }
    decisions::recordOperation(host, account, now);
    auto& grantsTaken = m_shards[shard].serverLinks[server].grantsTaken[account];
    grantsTaken = std::max(grantsTaken, grant.number);
    m_shards[shard].hasUnreportedUsage = true;
    done(std::nullopt);
}

void QuotaExchange::refuse(const std::string& account, std::string_view reason, milliseconds blockedFor, const QuotaCallback& done) const
{
    auto retryAfter = decisions::jitterRetryAfter(std::max(blockedFor, milliseconds(1)), base::getRandom());
    base::incrementCounter(base::MetricFamily::QuotaRefused, { { "reason", reason } });
    done(decisions::Error { ErrorKind::QuotaExceeded, fmt::format("client account {}: {}; retry after {} ms", account, reason, retryAfter.count()), retryAfter });
}

peer::QuotaReport QuotaExchange::makeReport(size_t shard, const ServerLink& link, TimePoint now) const
{
    peer::QuotaReport wire;
    wire.set_number(link.lastReportNumber);
    wire.set_shard(static_cast<uint32_t>(shard));
    wire.set_host(m_context.name);
    wire.set_is_whole(link.needsWholeReport);
    wire.set_covered_ms(static_cast<uint64_t>(duration_cast<milliseconds>(std::min<TimePoint::duration>(now - m_startedAt, m_context.rule.window)).count()));
    for (auto& [account, usage] : m_shards[shard].host.accounts) {
        if (!link.needsWholeReport && !usage.isUnreported)
            continue;
        auto& reported = *wire.add_uses();
        reported.set_account(account);
        for (auto& bucket : usage.history) {
            if (now - bucket.at > m_context.rule.window)
                continue;
            reported.add_age_ms(static_cast<uint32_t>(duration_cast<milliseconds>(now - bucket.at).count()));
            reported.add_count(bucket.count);
        }
        if (auto newestGrant = link.grantsTaken.find(account); newestGrant != link.grantsTaken.end())
            reported.set_grants_taken(newestGrant->second);
    }
    return wire;
}

void QuotaExchange::sendReport(size_t index, const std::string& server, TimePoint now)
{
    auto& shard = m_shards[index];
    shard.lastReportAt = now;
    bool isNew = server != shard.currentServer;
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
    for (auto& [account, usage] : shard.host.accounts)
        usage.isUnreported = false;
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
    auto now = Clock::now();
    auto shard = wire.shard() % kShards;
    decisions::QuotaReport report { wire.host(), now - milliseconds(wire.covered_ms()), wire.is_whole(), {} };
    for (auto& it : wire.uses()) {
        decisions::ReportedUsage usage { it.account(), {}, it.grants_taken() };
        for (int i = 0; i < std::min(it.age_ms_size(), it.count_size()); ++i)
            usage.history.push_back({ now - milliseconds(it.age_ms(i)), it.count(i) });
        report.accounts.push_back(std::move(usage));
    }
    auto result = decisions::applyReport(m_shards[shard].server, makeConfiguration(), report, now);
    if (result.hasStrictChanged)
        announceStrictAccounts(shard);
    if (result.hasNewNearQuota)
        updateStoredNearQuota(shard, now);
    auto state = makeState(shard);
    if (result.isAccepted)
        state.set_number(wire.number());
    else
        state.set_needs_whole(true);
    return state;
}

peer::QuotaAnswer QuotaExchange::handleAsk(const peer::QuotaAsk& ask)
{
    auto grant = decisions::requestGrant(m_shards[getShard(ask.account())].server, makeConfiguration(), ask.host(), ask.account(), Clock::now());
    peer::QuotaAnswer answer;
    answer.set_call(ask.call());
    answer.set_is_granted(grant.isGranted);
    answer.set_grant(grant.number);
    answer.set_closed_ms(static_cast<uint32_t>(grant.blockedFor.count()));
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

void QuotaExchange::applyStoredNearQuota(size_t shard, const std::set<std::string>& accounts)
{
    if (shard < m_shards.size())
        m_shards[shard].server.storedNearQuota = accounts;
}

// A host that started recently only adds accounts: its counts may be too low to remove any.
void QuotaExchange::updateStoredNearQuota(size_t index, TimePoint now)
{
    auto& shard = m_shards[index];
    auto accounts = decisions::getNearQuotaAccounts(shard.server, now);
    bool isNew = !std::ranges::includes(shard.server.storedNearQuota, accounts);
    bool mayRemove = shard.currentServer == m_context.name && now - m_startedAt > m_context.rule.window + kStartupSettleTime;
    bool isDue = isNew || (mayRemove && accounts != shard.server.storedNearQuota);
    if (!isDue || shard.isStoring || now - shard.lastStoreAttemptAt < kStoreInterval)
        return;
    shard.isStoring = true;
    shard.lastStoreAttemptAt = now;
    m_context.storeNearQuota(index, accounts, [this, index, accounts](bool isDone) {
        m_shards[index].isStoring = false;
        if (isDone)
            applyStoredNearQuota(index, accounts);
    });
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
        link.grantsTaken.clear();
    }
    link.needsWholeReport = link.needsWholeReport || state.needs_whole();
    if (state.number() == link.lastReportNumber)
        link.unansweredSince = {};
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

void QuotaExchange::handleAnswer(const std::string& server, const peer::QuotaAnswer& answer)
{
    auto it = m_pendingAsks.find(answer.call());
    if (it == m_pendingAsks.end()) // timed out and decided locally; the grant stays counted at the quota server
        return;
    auto ask = std::move(it->second);
    m_pendingAsks.erase(it);
    applyGrant(ask.shard, server, ask.account, { answer.is_granted(), answer.grant(), milliseconds(answer.closed_ms()) }, ask.done);
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
        decideWithoutServer(it.shard, it.account, it.done);
}

void QuotaExchange::sweep(TimePoint now)
{
    auto& accounts = m_context.view.configuration.accounts;
    if (!accounts)
        return;
    expireAsks(now);
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
        decisions::pruneUsage(shard.host, m_context.rule, now);
        std::erase_if(shard.serverLinks, [&](auto& it) { return now - it.second.lastReportSentAt > decisions::kQuotaSilentHostTimeout; });
        logLeaseChange(i, now);
        if (decisions::sweepQuotaServer(shard.server, makeConfiguration(), now))
            announceStrictAccounts(i);
        updateStoredNearQuota(i, now);
    }
}

}
