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

static constexpr size_t kShards = 2; // each has a keeper of its own
static constexpr milliseconds kAnswerMost { 600 }; // a keeper that has not answered for this long is passed over
static constexpr milliseconds kPassedOverFor { 2000 }; // then it is told again
static constexpr milliseconds kAskLimit { 150 }; // ways there and back take 40 ms at most on the sites that were seen
static constexpr milliseconds kForgetAfter { 1000 }; // in which hosts that start find the host that counts for all
static constexpr milliseconds kWriteInterval { 1000 }; // between two writes of the accounts that come near to their quotas
static constexpr milliseconds kSweepKeeperInterval { 250 };
static constexpr milliseconds kAloneComesBack { 1000 }; // told to callers while no keeper answers: the next one is found within this

static size_t getShard(const std::string& account)
{
    return decisions::getHash(account) % kShards;
}

QuotaExchange::QuotaExchange(QuotaContext context)
    : m_context(std::move(context))
    , m_shards(kShards)
    , m_beganAt(Clock::now())
{
    for (size_t i = 0; i < m_shards.size(); ++i) {
        m_shards[i].rankingKey = fmt::format("quota/{}", i);
        m_shards[i].host.startedAt = m_beganAt;
    }
}

const decisions::AccountQuota* QuotaExchange::findQuota(const std::string& account) const
{
    auto& accounts = m_context.view.configuration.accounts;
    return accounts && !account.empty() ? decisions::findQuota(*accounts, account) : nullptr;
}

decisions::QuotaConfiguration QuotaExchange::makeView() const
{
    static const decisions::Accounts none {};
    auto& accounts = m_context.view.configuration.accounts;
    return { m_context.rule, accounts ? *accounts : none, m_context.view.hosts.size() };
}

// A host that hears no other would count for itself alone: it may begin what the others' keepers leave it, and no more.
bool QuotaExchange::isAlone(size_t shard, TimePoint now) const
{
    return m_context.view.hosts.size() > 1 && !decisions::hasOtherReportingHost(m_shards[shard].keeper, m_context.name, now);
}

// The host that keeps count for a shard, as this one sees it; empty: none does.
std::string QuotaExchange::findKeeper(size_t shard, TimePoint now)
{
    auto& links = m_shards[shard].links;
    for (auto& name : getRankedHosts(m_context.view, m_shards[shard].rankingKey)) {
        bool isSelf = name == m_context.name;
        if (isSelf ? m_context.isDraining || isAlone(shard, now) : !m_context.peers.isUsable(name))
            continue;
        auto link = links.find(name);
        bool isLate = link != links.end() && link->second.unansweredSince != TimePoint {} && now - link->second.unansweredSince > kAnswerMost;
        if (!isLate || now - link->second.sentAt >= kPassedOverFor)
            return name;
    }
    return {};
}

void QuotaExchange::begin(const std::string& account, QuotaDone done)
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
        m_shards[shard].isChanged = true;
        done(std::nullopt);
        return;
    case decisions::Admission::Refuse:
        refuse(account, "the quota is used up", duration_cast<milliseconds>(host.accounts[account].blockedUntil - now), done);
        return;
    case decisions::Admission::RequestGrant:
        ask(shard, account, std::move(done));
        return;
    }
}

void QuotaExchange::giveBack(const std::string& account)
{
    if (!findQuota(account))
        return;
    auto& shard = m_shards[getShard(account)];
    decisions::revertOperation(shard.host, account);
    shard.isChanged = true;
}

void QuotaExchange::ask(size_t shard, const std::string& account, QuotaDone done)
{
    auto now = Clock::now();
    auto keeper = findKeeper(shard, now);
    if (keeper.empty()) {
        decideAlone(shard, account, done);
        return;
    }
    if (keeper != m_shards[shard].followed) // a keeper that does not know this host has nothing for it
        report(shard, keeper, now);
    if (keeper == m_context.name) {
        takeGrant(shard, keeper, account, decisions::requestGrant(m_shards[shard].keeper, makeView(), keeper, account, now), done);
        return;
    }
    peer::Frame frame;
    frame.mutable_quota_ask()->set_call(++m_lastCall);
    frame.mutable_quota_ask()->set_account(account);
    frame.mutable_quota_ask()->set_host(m_context.name);
    m_asks[m_lastCall] = { shard, account, std::move(done), now + kAskLimit };
    m_context.peers.send(keeper, frame);
}

// No keeper answers: what this host may do by itself is counted at the keepers in advance.
void QuotaExchange::decideAlone(size_t shard, const std::string& account, const QuotaDone& done)
{
    auto now = Clock::now();
    auto& host = m_shards[shard].host;
    auto* quota = findQuota(account);
    if (quota && !decisions::mayBeginWithoutQuotaServer(host, account, *quota, m_context.rule, m_context.view.hosts.size(), now)) {
        refuse(account, "no host that counts for all answers", kAloneComesBack, done);
        return;
    }
    decisions::recordOperation(host, account, now);
    m_shards[shard].isChanged = true;
    done(std::nullopt);
}

void QuotaExchange::takeGrant(size_t shard, const std::string& keeper, const std::string& account, const decisions::QuotaGrant& grant, const QuotaDone& done)
{
    auto now = Clock::now();
    auto& host = m_shards[shard].host;
    if (!grant.isGranted) {
        decisions::blockAccount(host, account, grant.blockedFor, now);
        refuse(account, "the quota is used up", grant.blockedFor, done);
        return;
    }
    decisions::recordOperation(host, account, now);
    auto& taken = m_shards[shard].links[keeper].grantsTaken[account];
    taken = std::max(taken, grant.number);
    m_shards[shard].isChanged = true;
    done(std::nullopt);
}

void QuotaExchange::refuse(const std::string& account, std::string_view reason, milliseconds comeBack, const QuotaDone& done) const
{
    auto spread = decisions::jitterRetryAfter(std::max(comeBack, milliseconds(1)), base::getRandom());
    base::incrementCounter(base::MetricFamily::QuotaRefused, { { "reason", reason } });
    done(decisions::Error { ErrorKind::QuotaExceeded, fmt::format("client account {}: {}; come back in {} ms", account, reason, spread.count()), spread });
}

peer::QuotaReport QuotaExchange::makeReport(size_t shard, const KeeperLink& link, TimePoint now) const
{
    peer::QuotaReport wire;
    wire.set_number(link.sent);
    wire.set_shard(static_cast<uint32_t>(shard));
    wire.set_host(m_context.name);
    wire.set_is_whole(link.needsWhole);
    wire.set_covered_ms(static_cast<uint64_t>(duration_cast<milliseconds>(std::min<TimePoint::duration>(now - m_beganAt, m_context.rule.window)).count()));
    for (auto& [account, used] : m_shards[shard].host.accounts) {
        if (!link.needsWhole && !used.isUnreported)
            continue;
        auto& uses = *wire.add_uses();
        uses.set_account(account);
        for (auto& slot : used.uses) {
            if (now - slot.at > m_context.rule.window)
                continue;
            uses.add_age_ms(static_cast<uint32_t>(duration_cast<milliseconds>(now - slot.at).count()));
            uses.add_count(slot.count);
        }
        if (auto taken = link.grantsTaken.find(account); taken != link.grantsTaken.end())
            uses.set_grants_taken(taken->second);
    }
    return wire;
}

void QuotaExchange::report(size_t index, const std::string& keeper, TimePoint now)
{
    auto& shard = m_shards[index];
    shard.reportedAt = now;
    bool isNew = keeper != shard.followed;
    shard.followed = keeper;
    if (keeper.empty())
        return;
    auto& link = shard.links[keeper];
    link.needsWhole = link.needsWhole || isNew || link.unansweredSince != TimePoint {};
    ++link.sent;
    link.sentAt = now;
    peer::Frame frame;
    *frame.mutable_quota_report() = makeReport(index, link, now);
    link.needsWhole = false;
    for (auto& [account, used] : shard.host.accounts)
        used.isUnreported = false;
    shard.isChanged = false;
    if (keeper == m_context.name) {
        takeState(keeper, takeReport(frame.quota_report()));
        return;
    }
    if (link.unansweredSince == TimePoint {})
        link.unansweredSince = now;
    m_context.peers.send(keeper, frame);
}

peer::QuotaState QuotaExchange::makeState(size_t shard) const
{
    peer::QuotaState state;
    state.set_shard(static_cast<uint32_t>(shard));
    state.set_incarnation(m_context.incarnation);
    for (auto& it : decisions::getStrictAccounts(m_shards[shard].keeper))
        state.add_strict(it);
    return state;
}

peer::QuotaState QuotaExchange::takeReport(const peer::QuotaReport& wire)
{
    auto now = Clock::now();
    auto shard = wire.shard() % kShards;
    decisions::QuotaReport report { wire.host(), now - milliseconds(wire.covered_ms()), wire.is_whole(), {} };
    for (auto& it : wire.uses()) {
        decisions::ReportedUsage uses { it.account(), {}, it.grants_taken() };
        for (int i = 0; i < std::min(it.age_ms_size(), it.count_size()); ++i)
            uses.uses.push_back({ now - milliseconds(it.age_ms(i)), it.count(i) });
        report.accounts.push_back(std::move(uses));
    }
    auto taken = decisions::applyReport(m_shards[shard].keeper, makeView(), report, now);
    if (taken.hasStrictChanged)
        tellStrict(shard);
    if (taken.hasNewNearQuota)
        writeNear(shard, now);
    auto state = makeState(shard);
    if (taken.isAccepted)
        state.set_number(wire.number());
    else
        state.set_needs_whole(true);
    return state;
}

peer::QuotaAnswer QuotaExchange::answerAsk(const peer::QuotaAsk& ask)
{
    auto grant = decisions::requestGrant(m_shards[getShard(ask.account())].keeper, makeView(), ask.host(), ask.account(), Clock::now());
    peer::QuotaAnswer answer;
    answer.set_call(ask.call());
    answer.set_is_granted(grant.isGranted);
    answer.set_grant(grant.number);
    answer.set_closed_ms(static_cast<uint32_t>(grant.blockedFor.count()));
    return answer;
}

// Hosts that have a lease hear at once that accounts have become strict, not with their next report.
void QuotaExchange::tellStrict(size_t shard)
{
    auto state = makeState(shard);
    base::logEvent(LogClass::State, "quota-strict", { { "shard", static_cast<int64_t>(shard) }, { "accounts", std::string_view(fmt::format("{}", fmt::join(state.strict(), " "))) } });
    m_context.peers.broadcastQuotaState(state);
    takeState(m_context.name, state);
}

void QuotaExchange::takeWritten(size_t shard, const std::set<std::string>& accounts)
{
    if (shard < m_shards.size())
        m_shards[shard].keeper.storedNearQuota = accounts;
}

// A host that has just started knows too little to strike names off.
void QuotaExchange::writeNear(size_t index, TimePoint now)
{
    auto& shard = m_shards[index];
    auto accounts = decisions::getNearQuotaAccounts(shard.keeper, now);
    bool isNew = !std::ranges::includes(shard.keeper.storedNearQuota, accounts);
    bool mayForget = shard.followed == m_context.name && now - m_beganAt > m_context.rule.window + kForgetAfter;
    bool isDue = isNew || (mayForget && accounts != shard.keeper.storedNearQuota);
    if (!isDue || shard.isWriting || now - shard.writtenAt < kWriteInterval)
        return;
    shard.isWriting = true;
    shard.writtenAt = now;
    m_context.write(index, accounts, [this, index, accounts](bool isDone) {
        m_shards[index].isWriting = false;
        if (isDone)
            takeWritten(index, accounts);
    });
}

void QuotaExchange::takeState(const std::string& keeper, const peer::QuotaState& state)
{
    auto now = Clock::now();
    auto index = state.shard() % kShards;
    auto& shard = m_shards[index];
    auto known = shard.links.find(keeper);
    if (known == shard.links.end())
        return;
    auto& link = known->second;
    if (link.incarnation != state.incarnation()) { // another process: it knows only what it was told since
        link.incarnation = state.incarnation();
        link.grantsTaken.clear();
    }
    link.needsWhole = link.needsWhole || state.needs_whole();
    if (state.number() == link.sent)
        link.unansweredSince = {};
    if (keeper == shard.followed) {
        shard.host.strictAccounts = { state.strict().begin(), state.strict().end() };
        if (state.number() == link.sent)
            shard.host.leaseStartedAt = std::max(shard.host.leaseStartedAt, link.sentAt);
    }
    noteLease(index, now);
}

void QuotaExchange::noteLease(size_t index, TimePoint now)
{
    auto& shard = m_shards[index];
    bool hasLease = decisions::hasLease(shard.host, now);
    if (hasLease == shard.hasLease)
        return;
    shard.hasLease = hasLease;
    base::logEvent(LogClass::State, hasLease ? "quota-lease" : "quota-lease-lost", { { "shard", static_cast<int64_t>(index) }, { "keeper", std::string_view(shard.followed) } });
}

void QuotaExchange::takeAnswer(const std::string& keeper, const peer::QuotaAnswer& answer)
{
    auto it = m_asks.find(answer.call());
    if (it == m_asks.end()) // decided without it; the keeper goes on counting what it gave
        return;
    auto ask = std::move(it->second);
    m_asks.erase(it);
    takeGrant(ask.shard, keeper, ask.account, { answer.is_granted(), answer.grant(), milliseconds(answer.closed_ms()) }, ask.done);
}

void QuotaExchange::endLateAsks(TimePoint now)
{
    std::vector<Ask> late;
    std::erase_if(m_asks, [&](auto& it) {
        bool isLate = now > it.second.limit;
        if (isLate)
            late.push_back(std::move(it.second));
        return isLate;
    });
    for (auto& it : late)
        decideAlone(it.shard, it.account, it.done);
}

void QuotaExchange::sweep(TimePoint now)
{
    auto& accounts = m_context.view.configuration.accounts;
    if (!accounts)
        return;
    endLateAsks(now);
    for (size_t i = 0; i < m_shards.size(); ++i) {
        auto passed = now - m_shards[i].reportedAt;
        auto interval = m_shards[i].isChanged ? decisions::kQuotaReportInterval : decisions::kQuotaIdleReportInterval;
        auto keeper = findKeeper(i, now);
        if (passed >= interval || keeper != m_shards[i].followed)
            report(i, keeper, now);
    }
    if (now - m_sweptAt < kSweepKeeperInterval)
        return;
    m_sweptAt = now;
    for (size_t i = 0; i < m_shards.size(); ++i) {
        auto& shard = m_shards[i];
        decisions::pruneUsage(shard.host, m_context.rule, now);
        std::erase_if(shard.links, [&](auto& it) { return now - it.second.sentAt > decisions::kQuotaSilentHostTimeout; });
        noteLease(i, now);
        if (decisions::sweepQuotaServer(shard.keeper, makeView(), now))
            tellStrict(i);
        writeNear(i, now);
    }
}

}
