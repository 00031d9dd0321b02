// What a host exchanges with other hosts and learns from the platform's store.
#include "base/event_log.h"
#include "base/families.h"
#include "decisions/relaying.h"
#include "gateway/configuration_report.h"
#include "gateway/gateway.h"
#include "gateway/member_exchange.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using std::chrono::microseconds;

static constexpr milliseconds kRelistTime { 2500 }; // expired entries of hosts are written again within this
static constexpr milliseconds kPartnersInterval { 500 }; // between choices of partners while the set of hosts does not change
static constexpr milliseconds kRelayRequestLifetime { 2000 }; // a host remains a relay for this long after the last request

LocalHost Gateway::getLocalHost() const
{
    return { m_self.name, m_settings.dataCentre, m_isDraining, m_directory.isReachable(), Clock::now() - m_relayRequestedAt < kRelayRequestLifetime };
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
    callbacks.onPendingPromotion = [this](const peer::PendingPromotion& pending) { m_promoter.onPendingPromotion(pending); };
    callbacks.onPendingPromotionAcknowledged = [this](const std::string& host, uint64_t number) { m_promoter.onPendingPromotionAcknowledged(host, number); };
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
        m_promoter.writeOrders(pong);
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
    callbacks.onPong = [this](const std::string& host, const peer::Pong& pong, TimePoint sentAt) {
        m_promoter.readOrders(host, pong, sentAt);
        handlePong(pong, sentAt);
    };
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
        logConfigurationProblems(configuration);
        m_configurationReportedAt = Clock::now();
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
    auto role = m_promoter.getCoordinatorRole();
    for (auto& group : m_commitGate.getActiveGroups(now)) { // it must learn of promotion orders
        for (auto& name : m_promoter.getCoordinators(group))
            role.coordinators.insert(name);
    }
    auto partners = choosePartners(m_view, m_peers, getLocalHost(), role, m_basePingInterval);
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

}
