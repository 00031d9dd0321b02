// Confirmation: a write is acknowledged only after a majority, queried after it ran, is still in its term (and, with
// acknowledge = replicated, holds its log entry). One reply of a member may confirm several writes.
#include "base/metrics.h"
#include "base/timeline.h"
#include "controllers/group.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace alderward::controllers {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;
using base::TimePoint;
using decisions::Confirmation;

static constexpr milliseconds kMaxPositionWait { 50 }; // how long a member may wait for the position before it replies
static constexpr milliseconds kPositionReplyTimeout { 350 }; // then the query has failed
static constexpr milliseconds kRetryPause { 20 };
static constexpr auto kUseAwaitable = asio::as_tuple(asio::use_awaitable);

asio::awaitable<Confirmation> GroupController::confirm(decisions::PendingWrite write, std::string primary, TimePoint deadline)
{
    auto began = Clock::now();
    PendingConfirmation pending { write, std::move(primary), Confirmation::Pending, std::make_shared<asio::steady_timer>(m_strand) };
    pending.timer->expires_at(deadline);
    m_pendingConfirmations.push_back(&pending);
    resolveConfirmations();
    for (auto& it : m_members)
        it.confirmTimer->cancel();
    if (pending.answer == Confirmation::Pending)
        co_await pending.timer->async_wait(kUseAwaitable);
    m_pendingConfirmations.remove(&pending);
    base::count(base::Counter::Confirmations);
    base::record(base::Latency::Confirmation, Clock::now() - began);
    co_return pending.answer;
}

static bool hasConclusiveReply(const decisions::PendingWrite& write, const decisions::ConfirmationReply& it)
{
    if (std::max(it.term, it.fencedTerm) > write.mark.term)
        return true;
    bool isInTerm = it.term == write.mark.term && it.fencedTerm <= write.mark.term;
    return isInTerm && (it.position >= write.mark.position || (!write.needsPosition && it.askedAt >= write.ranAt));
}

// The lowest position that a write still needs from this member. The member reaches it first, and its reply often covers
// higher positions as well.
std::optional<decisions::Mark> GroupController::getAwaitedMark(size_t index) const
{
    std::optional<decisions::Mark> awaited;
    for (auto* it : m_pendingConfirmations) {
        if (it->primary == m_members[index].record.name || hasConclusiveReply(it->write, m_members[index].confirmationReply))
            continue;
        decisions::Mark mark { it->write.mark.term, it->write.needsPosition ? it->write.mark.position : 0 };
        if (!awaited || mark < *awaited)
            awaited = mark;
    }
    return awaited;
}

asio::awaitable<void> GroupController::confirmForever(size_t index, uint64_t epoch)
{
    auto self = shared_from_this();
    std::unique_ptr<links::HttpConnection> link;
    while (epoch == m_epoch) {
        auto awaited = getAwaitedMark(index);
        if (!awaited) {
            auto timer = m_members[index].confirmTimer;
            timer->expires_after(std::chrono::seconds(1));
            co_await timer->async_wait(kUseAwaitable);
            continue;
        }
        if (!co_await confirmOnce(link, index, *awaited))
            co_await base::sleepFor(kRetryPause);
    }
}

asio::awaitable<bool> GroupController::confirmOnce(std::unique_ptr<links::HttpConnection>& link, size_t index, decisions::Mark awaited)
{
    auto epoch = m_epoch;
    auto deadline = Clock::now() + kPositionReplyTimeout;
    if (!link || !link->isOpen()) {
        link = links::makeHttpConnection(m_strand, m_members[index].record.address);
        auto opened = co_await link->open(deadline);
        if (!opened) {
            link.reset();
            co_return false;
        }
    }
    auto askedAt = Clock::now();
    auto before = link->getTransferredBytes();
    auto answer = co_await links::awaitPosition(*link, m_node.settings.name, awaited, kMaxPositionWait, deadline);
    base::count(base::Counter::ConfirmationBytes, link->getTransferredBytes() - before);
    if (!answer || epoch != m_epoch)
        co_return false;
    applyConfirmationReply(index, *answer, askedAt);
    co_return true;
}

void GroupController::applyConfirmationReply(size_t index, const links::AwaitPositionResult& answer, TimePoint askedAt)
{
    bool isInSameTerm = answer.logTerm == answer.term;
    m_members[index].confirmationReply = { answer.term, answer.fencedTerm, isInSameTerm ? answer.position : 0, askedAt };
    if (isInSameTerm)
        updateKnownPosition(index, { answer.logTerm, answer.position });
    if (std::max(answer.term, answer.fencedTerm) > m_state.health.term)
        probeNow();
    resolveConfirmations();
    handlePiggybackedStatus(index, { answer.term, answer.fencedTerm, { answer.logTerm, answer.position } }, askedAt);
}

void GroupController::resolveConfirmations()
{
    for (auto* it : m_pendingConfirmations) {
        if (it->answer != Confirmation::Pending)
            continue;
        std::vector<decisions::ConfirmationReply> replies;
        for (auto& member : m_members) {
            if (member.record.name != it->primary)
                replies.push_back(member.confirmationReply);
        }
        it->answer = decisions::confirmWrite(it->write, replies, m_members.size());
        if (it->answer != Confirmation::Pending)
            it->timer->cancel();
    }
}

void GroupController::updateKnownPosition(size_t member, const decisions::Mark& mark)
{
    auto& it = m_members[member];
    bool isNewer = mark > decisions::Mark { it.knownTerm, it.knownPosition };
    if (isNewer) {
        it.knownTerm = mark.term;
        it.knownPosition = mark.position;
    }
}

}
