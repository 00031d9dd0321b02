// Failover: performs the actions that decisions/failover.h chooses, and applies the answers as events.
#include "base/metrics.h"
#include "base/timeline.h"
#include "controllers/group.h"
#include "links/json_fields.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace alderward::controllers {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Clock;
using base::milliseconds;
using base::TimePoint;

static constexpr milliseconds kControlTimeout { 300 }; // for fence, promote and follow requests
static constexpr milliseconds kMinFollowInterval { 300 }; // between two follow requests to one member
static constexpr milliseconds kDeferredClaimPause { 1000 };
static constexpr unsigned kMaxDeferredClaimAttempts = 600; // the claim of the next promotion replaces one that is given up

void GroupController::performAction(const decisions::FailoverAction& action)
{
    if (auto* claim = std::get_if<decisions::WriteClaim>(&action))
        asio::co_spawn(m_strand, writeClaim(claim->term), asio::detached);
    else if (auto* fence = std::get_if<decisions::SendFence>(&action))
        asio::co_spawn(m_strand, sendFence(*fence), asio::detached);
    else if (auto* promote = std::get_if<decisions::SendPromote>(&action))
        asio::co_spawn(m_strand, sendPromote(*promote), asio::detached);
    else if (auto* follow = std::get_if<decisions::SendFollow>(&action))
        asio::co_spawn(m_strand, sendFollow(*follow), asio::detached);
    else if (auto* news = std::get_if<decisions::AnnouncePrimary>(&action))
        announcePrimary(*news);
    else if (auto* note = std::get_if<decisions::AddTimelineEntry>(&action)) {
        if (note->kind == "promotion-held-back")
            base::count(base::Counter::PromotionsHeldBack);
        base::getTimeline().add(note->kind, m_name, note->cause);
    }
}

// ---- requests to members, each on its own connection so that none waits for a probe ----

static asio::awaitable<std::unique_ptr<links::HttpConnection>> openControlConnection(asio::any_io_executor executor, std::string address, TimePoint deadline)
{
    auto link = links::makeHttpConnection(executor, address);
    if (!co_await link->open(deadline))
        link.reset();
    co_return link;
}

asio::awaitable<void> GroupController::sendFence(decisions::SendFence action)
{
    auto self = shared_from_this();
    auto epoch = m_epoch;
    auto deadline = Clock::now() + kControlTimeout;
    decisions::FenceAnswered event { action.term, action.member, {} };
    auto link = co_await openControlConnection(m_strand, m_members[action.member].record.address, deadline);
    if (link) {
        auto answer = co_await links::fence(*link, m_node.settings.name, action.term, m_node.settings.name, deadline);
        if (answer)
            event.answer = *answer;
    }
    if (epoch == m_epoch)
        applyEvent(decisions::FailoverEvent { event });
}

asio::awaitable<void> GroupController::sendPromote(decisions::SendPromote action)
{
    auto self = shared_from_this();
    auto epoch = m_epoch;
    auto deadline = Clock::now() + kControlTimeout;
    decisions::PromoteAnswered event { action.term, false };
    auto link = co_await openControlConnection(m_strand, m_members[action.member].record.address, deadline);
    if (link)
        event.isDone = (co_await links::promote(*link, m_node.settings.name, action.term, m_node.settings.name, deadline)).has_value();
    if (event.isDone)
        base::count(base::Counter::Promotions);
    if (epoch == m_epoch)
        applyEvent(decisions::FailoverEvent { event });
}

asio::awaitable<void> GroupController::sendFollow(decisions::SendFollow action)
{
    auto self = shared_from_this();
    auto epoch = m_epoch;
    auto deadline = Clock::now() + kControlTimeout;
    auto primary = m_members[action.primary].record;
    auto link = co_await openControlConnection(m_strand, m_members[action.member].record.address, deadline);
    if (!link)
        co_return;
    auto answer = co_await links::follow(*link, m_node.settings.name, action.term, primary.name, primary.address, deadline);
    if (epoch == m_epoch && answer)
        m_members[action.member].probeTimer->cancel();
}

// Completes a promotion for members that were unreachable during it.
void GroupController::resendFollows()
{
    if (m_state.failover.phase != decisions::FailoverPhase::Idle)
        return;
    auto now = Clock::now();
    for (auto& it : decisions::getPendingFollows(*m_configuration.record, m_state.health)) {
        auto& member = m_members[it.member];
        if (now - member.followSentAt < kMinFollowInterval)
            continue;
        member.followSentAt = now;
        base::getTimeline().add("follow-sent", m_name, fmt::format("{} was not following {} in term {}", member.record.name, m_members[it.primary].record.name, it.term));
        asio::co_spawn(m_strand, sendFollow(it), asio::detached);
    }
}

void GroupController::announcePrimary(const decisions::AnnouncePrimary& action)
{
    peer::GroupNews news;
    news.set_group(m_name);
    news.set_term(action.term);
    news.set_primary(m_members[action.primary].record.name);
    if (m_onPrimaryAnnounced)
        m_onPrimaryAnnounced(news);
    probeNow();
    asio::co_spawn(m_strand, writeDeferredClaim(action.term), asio::detached);
}

// ---- the claim in the platform's store ----

static std::string formatClaim(uint64_t term, const std::string& host)
{
    auto wall = base::getWallMs(base::getHybridClock().tick());
    return json::serialize(json::object { { "term", term }, { "host", host }, { "atMs", wall } });
}

asio::awaitable<void> GroupController::writeClaim(uint64_t term)
{
    auto self = shared_from_this();
    auto epoch = m_epoch;
    auto deadline = Clock::now() + decisions::FailoverTimings {}.claimTimeout;
    auto answer = co_await tryClaim(term, deadline);
    if (epoch == m_epoch)
        applyEvent(decisions::FailoverEvent { answer });
}

// Reads before it writes, so that a retry detects a swap whose answer was lost.
asio::awaitable<decisions::ClaimAnswered> GroupController::tryClaim(uint64_t term, TimePoint deadline)
{
    decisions::ClaimAnswered event { term, decisions::ClaimOutcome::Unavailable, 0 };
    auto key = std::string(decisions::kClaimPrefix) + m_name;
    auto stored = co_await links::getValue(m_node.platform, key, deadline);
    if (!stored)
        co_return event;
    auto claim = links::parseObject(stored->value).value_or(json::object());
    event.storedTerm = links::getNumber(claim, "term");
    if (event.storedTerm >= term) {
        bool isOwnClaim = event.storedTerm == term && links::getString(claim, "host") == m_node.settings.name;
        event.outcome = isOwnClaim ? decisions::ClaimOutcome::Taken : decisions::ClaimOutcome::Lost;
        co_return event;
    }
    auto swap = co_await links::compareAndSwap(m_node.platform, key, stored->revision, formatClaim(term, m_node.settings.name), deadline);
    if (!swap)
        co_return event;
    event.outcome = swap->wasSwapped ? decisions::ClaimOutcome::Taken : decisions::ClaimOutcome::Lost;
    if (!swap->wasSwapped)
        event.storedTerm = links::getNumber(links::parseObject(swap->current.value).value_or(json::object()), "term");
    co_return event;
}

// Writes the claim of a promotion that was decided by fencing alone during an outage of the store. Writes nothing if the claim
// or one of a newer term is stored already.
asio::awaitable<void> GroupController::writeDeferredClaim(uint64_t term)
{
    auto self = shared_from_this();
    for (unsigned i = 0; i < kMaxDeferredClaimAttempts && m_state.health.term <= term; ++i) {
        auto answer = co_await tryClaim(term, Clock::now() + kDeferredClaimPause);
        if (answer.outcome != decisions::ClaimOutcome::Unavailable)
            co_return;
        co_await base::sleepFor(kDeferredClaimPause);
    }
}

}
