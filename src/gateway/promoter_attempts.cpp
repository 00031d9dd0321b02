// One attempt to replace a primary: evidence, choice of the successor, and the order to the platform.
#include "base/event_log.h"
#include "base/families.h"
#include "base/metrics.h"
#include "decisions/suspension.h"
#include "gateway/promoter_evidence.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using decisions::MemberFinding;
using links::PromotionResult;

static constexpr milliseconds kOrderTimeout { 800 }; // then the member itself is asked whether it is primary; the platform usually answers within tens of ms
static constexpr milliseconds kOrderRetryDelay { 150 };
static constexpr std::string_view kSupersededReason = "this host is no coordinator any more, or another member may be promoted";
static constexpr std::string_view kUnguardedReason = "the successor may lack commits that are acknowledged";
static constexpr int kMaxOrderAttempts = 8; // with one fencing token, while the result is unknown or busy

// Logs the status of each member, one line each.
static void logEvidence(const std::string& group, const std::vector<MemberFinding>& findings)
{
    for (auto& it : findings) {
        auto received = fmt::format("{}.{}", it.received.term, it.received.position);
        base::logEvent(LogClass::State, "promotion-evidence", { { "group", std::string_view(group) }, { "member", std::string_view(it.member) }, { "reached", it.wasReached }, { "primary", it.saysPrimary }, { "term", static_cast<int64_t>(it.term) }, { "received", std::string_view(received) }, { "may_lead", it.isPromotable } });
    }
}

asio::awaitable<void> Promoter::replacePrimary(std::string group, bool isPlanned, std::string cause)
{
    PromotionAttempt attempt { m_context.view.groups[group].primary, isPlanned, Clock::now() };
    auto& primary = attempt.primary;
    base::logEvent(LogClass::State, "promotion-considered", { { "group", std::string_view(group) }, { "primary", std::string_view(primary.member) }, { "term", static_cast<int64_t>(primary.term) }, { "cause", std::string_view(cause) }, { "planned", isPlanned } });
    if (mustChooseAnew(group)) // the next member may have to catch up first
        co_await resumeAllReplicas(group, primary.member);
    if (isPlanned && !isBoundToSuccessor(group))
        co_await waitForReplicaCatchUp(group, primary.member);
    auto replicas = std::make_shared<ReplicaQuery>(m_context.context.get_executor());
    queryReplicas(group, primary.member, isPlanned, replicas);
    bool wasOrdered = false;
    bool isDue = co_await isReplacementDue(group, attempt, replicas);
    if (isDue)
        wasOrdered = co_await actOnEvidence(group, replicas->findings, attempt);
    endAttempt(group, attempt, wasOrdered);
}

// Examines the primary while the replicas are asked, and waits for their answers.
asio::awaitable<bool> Promoter::isReplacementDue(std::string group, PromotionAttempt attempt, std::shared_ptr<ReplicaQuery> replicas)
{
    auto member = m_context.view.members.find(attempt.primary.member);
    if (member != m_context.view.members.end() && !attempt.isPlanned) {
        auto target = member->second.getTarget();
        bool isDead = co_await isPrimaryDead(group, target);
        if (!isDead)
            co_return false;
    }
    // Counted after the examination: a network partition shows up in the connections to other hosts only after their timeouts.
    auto reachability = m_context.peers.getReachability();
    if (!attempt.isPlanned && !decisions::canJudgePrimary(reachability)) {
        base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("most other hosts are unreachable") }, { "hosts_answering", static_cast<int64_t>(reachability.answering) }, { "hosts_lost", static_cast<int64_t>(reachability.lost) } });
        co_return false;
    }
    co_await replicas->latch.wait();
    auto holdBackReason = findHoldBackReason(group, attempt);
    if (!holdBackReason.empty()) {
        auto& primary = m_context.view.groups[group].primary;
        logHoldBack(group, holdBackReason, primary.member, primary.term);
    }
    co_return holdBackReason.empty();
}

void Promoter::endAttempt(const std::string& group, const PromotionAttempt& attempt, bool wasOrdered)
{
    std::chrono::duration<double, std::milli> took = Clock::now() - attempt.startedAt;
    base::logEvent(LogClass::State, "promotion-ended", { { "group", std::string_view(group) }, { "ms", took.count() } });
    releaseSuspensions(group);
    auto& state = m_groups[group];
    state.isPromoting = false;
    state.alarmedAt = {};
    state.nextAttemptAt = Clock::now() + (wasOrdered ? kPromotionGracePeriod : kAttemptCooldown);
}

void Promoter::logHoldBack(const std::string& group, std::string_view reason, std::string_view member, uint64_t term) const
{
    base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", reason }, { "member", member }, { "term", static_cast<int64_t>(term) } });
}

// Applies a primary or a term that the members report, or has a successor promoted. Returns whether one was.
asio::awaitable<bool> Promoter::actOnEvidence(std::string group, std::vector<MemberFinding> findings, PromotionAttempt attempt)
{
    auto& groupView = m_context.view.groups[group];
    logEvidence(group, findings);
    m_context.view.isForwardingUpdateDue = true;
    auto before = groupView.primary;
    auto newestSeen = std::max(groupView.provenTerm, decisions::findNewerTerm(findings, 0).value_or(0));
    if (settleIfPromoted(group, findings, newestSeen)) {
        logHoldBack(group, "the member of an earlier order is primary", {}, newestSeen);
        co_return false;
    }
    auto confirmed = std::ranges::find_if(findings, [&](const MemberFinding& it) { return it.wasReached && it.saysPrimary && it.term >= newestSeen && it.member != attempt.primary.member; });
    if (confirmed != findings.end() && confirmed->term < getMinTerm(groupView, attempt.startedAt)) {
        logHoldBack(group, "a member reports that it is primary while an earlier promotion may still take effect", confirmed->member, confirmed->term);
        co_return false;
    }
    if (confirmed != findings.end()) {
        applyProvenPrimary(groupView, confirmed->member, confirmed->term, attempt.startedAt, ProofRecipient::ThisHost);
        m_context.notifyPrimaryChange(group, before, "proof");
        co_return false;
    }
    if (auto newerTerm = decisions::findNewerTerm(findings, attempt.primary.term)) {
        applyProvenTerm(groupView, *newerTerm);
        m_context.notifyPrimaryChange(group, before, "members");
        logHoldBack(group, "members report a newer term", attempt.primary.member, *newerTerm);
        co_return false;
    }
    uint64_t term = attempt.primary.term; // even if assumed: hosts that believe it must accept the next term
    for (auto& it : findings)
        term = std::max({ term, it.term, it.received.term });
    auto successor = chooseSuccessor(group, findings, newestSeen);
    if (!successor) {
        giveUpMemberWithoutLog(group);
        base::logEvent(LogClass::State, "promotion-held-back", { { "group", std::string_view(group) }, { "reason", std::string_view("no member can be promoted safely") }, { "members_asked", static_cast<int64_t>(findings.size()) } });
        co_return false;
    }
    attempt.shownTerm = newestSeen;
    co_return co_await promoteSuccessor(group, *successor, std::move(findings), term, attempt);
}

// Rechecked after each wait. A primary that is no longer leaving, or has confirmed its role since the attempt began, must stay:
// replacing it would lose writes that it acknowledged meanwhile and that replicas lack.
std::string_view Promoter::findHoldBackReason(const std::string& group, const PromotionAttempt& attempt) const
{
    auto& groupView = m_context.view.groups[group];
    if (decisions::isSuperseded(attempt.primary, groupView.primary))
        return "another primary became known during the attempt";
    if (hasOrderInForce(group)) // it may be carried out in any case
        return "";
    if (attempt.isPlanned) {
        bool isSamePrimary = groupView.primary.member == attempt.primary.member; // otherwise no primary is known any more, and a promotion is still due
        return !isSamePrimary || mustHandOver(groupView) ? "" : "the primary is no longer leaving";
    }
    auto& floors = groupView.floors.floors;
    bool isConfirmed = !floors.empty() && floors.back().coveredUntil > attempt.startedAt && floors.back().mark.term == groupView.primary.term;
    return isConfirmed && !groupView.primary.member.empty() ? "the primary confirmed its role during the attempt" : "";
}

void Promoter::applyPromotion(const std::string& group, const std::string& member, uint64_t term)
{
    auto& groupView = m_context.view.groups[group];
    auto before = groupView.primary;
    applyOrderedPrimary(groupView, member, term, Clock::now());
    m_context.notifyPrimaryChange(group, before, "ordered");
    m_context.peers.announcePrimary(group, member, term);
}

asio::awaitable<bool> Promoter::promoteSuccessor(std::string group, std::string successor, std::vector<MemberFinding> findings, uint64_t previousTerm, PromotionAttempt attempt)
{
    if (getSynchronousReplicas(group) > 0)
        co_return co_await promoteGuarded(group, successor, std::move(findings), previousTerm, attempt);
    auto token = takeFencingToken(group);
    if (!token)
        co_return false;
    co_return co_await orderPromotion(group, successor, previousTerm, attempt, *token);
}

// In groups with synchronous replicas: only if the order cannot lose a commit that a caller was told of, whenever it is carried out.
asio::awaitable<bool> Promoter::promoteGuarded(std::string group, std::string successor, std::vector<MemberFinding> findings, uint64_t previousTerm, PromotionAttempt attempt)
{
    PendingPromotion pending { successor, false, attempt.shownTerm, m_context.self, hasOrderInForce(group), Clock::now() };
    auto before = m_groups[group].pending;
    setPending(group, pending, "announced");
    bool isRecorded = co_await recordOrder(group, successor, attempt.shownTerm);
    // Taken before the waits: meanwhile another host may renew the record. The platform takes this token until it has seen a newer one.
    auto token = isRecorded ? takeFencingToken(group) : std::nullopt;
    std::string_view reason = token ? std::string_view() : kSupersededReason;
    if (token) {
        // Known to all hosts before logs are compared: what is acknowledged from then on is held by the successor.
        co_await announceToAllHosts(group, successor, attempt.shownTerm);
        attempt.guard = co_await guardCommits(group, attempt.primary.member, successor, std::move(findings), attempt.shownTerm);
        bool isSuperseded = m_groups[group].pending && m_groups[group].pending->member != successor; // this host was told of another order meanwhile
        if (attempt.guard == CommitGuard::Failed)
            reason = kUnguardedReason;
        else
            reason = isSuperseded ? kSupersededReason : findHoldBackReason(group, attempt);
    }
    if (!reason.empty()) {
        logHoldBack(group, reason, successor, attempt.shownTerm);
        withdrawAnnouncedOrder(group, successor, before);
        giveUpMemberWithoutLog(group);
        co_return false;
    }
    bool isPromoted = co_await orderPromotion(group, successor, previousTerm, attempt, *token);
    if (!isPromoted)
        withdrawUnsentOrder(group, successor);
    co_return isPromoted;
}

// Empty: this host is not a coordinator of the group, or has used all of its tokens.
std::optional<Promoter::OrderToken> Promoter::takeFencingToken(const std::string& group)
{
    auto& state = m_groups[group];
    auto rank = decisions::findRank(state.record, m_context.self);
    auto token = rank ? decisions::getFencingToken(state.record, *rank, state.orderCount) : std::nullopt;
    if (!token)
        return std::nullopt;
    ++state.orderCount;
    base::checkInvariant(*token > state.lastFencingToken, "a fencing token was not above the previous one", group);
    state.lastFencingToken = *token;
    return OrderToken { *rank, *token };
}

// Uses one fencing token for one member. An unanswered order may still be carried out, so it is repeated unchanged.
asio::awaitable<bool> Promoter::orderPromotion(std::string group, std::string member, uint64_t previousTerm, PromotionAttempt attempt, OrderToken token)
{
    for (int i = 0; i < kMaxOrderAttempts; ++i) {
        auto askedAt = Clock::now();
        auto result = co_await sendOrder(group, member, token);
        auto newTerm = result == PromotionResult::Done ? previousTerm + 1 : uint64_t { 0 };
        if (result == PromotionResult::Unknown)
            newTerm = co_await findPromotedTerm(member, previousTerm);
        noteOrderInForce(group, member, result);
        if (newTerm != 0) {
            applyPromotion(group, member, newTerm);
            co_return true;
        }
        auto& state = m_groups[group];
        if (result == PromotionResult::Outranked) // a higher token was used: renew the record
            state.firstUsableRank = std::max(state.firstUsableRank, token.rank + 1);
        if (result == PromotionResult::Outranked || result == PromotionResult::NotRunning)
            co_return false;
        co_await base::sleepFor(kOrderRetryDelay);
        // Another coordinator may have taken over, in particular if this process was suspended.
        bool isOutdated = Clock::now() - askedAt > kOrderTimeout + kOrderRetryDelay + kAttemptCooldown || token.rank < state.firstUsableRank;
        if (isOutdated || m_context.isDraining)
            co_return false;
        std::string_view reason = co_await findReasonNotToRepeat(group, member, attempt);
        if (!reason.empty()) {
            logHoldBack(group, reason, member, attempt.shownTerm);
            co_return false;
        }
    }
    co_return false;
}

asio::awaitable<PromotionResult> Promoter::sendOrder(std::string group, std::string member, OrderToken token)
{
    static constexpr std::array names { "done", "outranked", "not-running", "busy", "unknown" };
    auto askedAt = Clock::now();
    // A named variable, as g++ 12 destroys aggregates created within a co_await expression twice.
    links::PromotionOrder request { group, member, m_context.self.host, token.token };
    auto result = co_await m_context.platform.promote(request, askedAt + kOrderTimeout);
    std::string_view name = names[static_cast<size_t>(result)];
    std::chrono::duration<double, std::milli> took = Clock::now() - askedAt;
    base::logEvent(LogClass::State, "promotion-ordered", { { "group", std::string_view(group) }, { "member", std::string_view(member) }, { "token", static_cast<int64_t>(token.token) }, { "result", name }, { "ms", took.count() } });
    base::incrementCounter(base::MetricFamily::PromotionOrders, { { "group", group }, { "result", name } });
    // Set for rejected orders only: an unanswered one may still be carried out, unless a standby uses a higher token first.
    m_orderRejectedAt = result == PromotionResult::Busy ? Clock::now() : TimePoint {};
    co_return result;
}

// The term that the member of an unanswered order leads by now; 0: none.
asio::awaitable<uint64_t> Promoter::findPromotedTerm(std::string member, uint64_t previousTerm)
{
    auto it = m_context.view.members.find(member);
    if (it == m_context.view.members.end())
        co_return 0;
    auto target = it->second.getTarget();
    auto report = co_await queryStatus(m_context.self.host, target);
    bool isPromoted = report.wasReached && report.status.isPrimary && report.status.term > previousTerm;
    co_return isPromoted ? report.status.term : 0;
}

void Promoter::noteOrderInForce(const std::string& group, const std::string& member, PromotionResult result)
{
    auto& state = m_groups[group];
    bool mayBeCarriedOut = result == PromotionResult::Done || result == PromotionResult::Unknown;
    if (!state.pending || !mayBeCarriedOut)
        return;
    state.pending->isInForce = true;
    state.sentMembers.insert(member);
    state.resumable.clear();
}

// Empty: the order is repeated.
asio::awaitable<std::string_view> Promoter::findReasonNotToRepeat(std::string group, std::string member, PromotionAttempt attempt)
{
    auto reason = findHoldBackReason(group, attempt);
    if (!reason.empty() || attempt.guard == CommitGuard::NotNeeded)
        co_return reason;
    auto& state = m_groups[group];
    if (state.pending && state.pending->hasLostLog)
        co_return "the member of the order has lost its log";
    bool isGuarded = co_await renewGuard(group, attempt.primary.member, member, attempt.shownTerm);
    co_return isGuarded ? std::string_view() : kUnguardedReason;
}

}
