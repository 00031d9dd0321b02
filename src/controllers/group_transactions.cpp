// Transactions of callers, on the group's strand. Each holds a connection until it ends.
#include "base/metrics.h"
#include "controllers/group.h"
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <random>

namespace alderward::controllers {

namespace asio = boost::asio;
using base::Clock;
using base::Counter;
using base::milliseconds;
using decisions::ErrorKind;
using decisions::fail;
using decisions::Result;

static std::string makeTransactionName(const std::string& host)
{
    thread_local std::mt19937_64 engine { std::random_device {}() };
    return fmt::format("{}.{:016x}{:08x}", host, engine(), static_cast<uint32_t>(engine()));
}

asio::awaitable<Result<Outcome>> GroupController::runBegin(GroupRequest request)
{
    for (;;) {
        auto primary = co_await findPrimary(request);
        if (!primary)
            co_return tl::make_unexpected(primary.error());
        auto term = m_state.health.term;
        auto member = m_members[*primary].record.name;
        auto pool = m_members[*primary].pool;
        auto lease = co_await pool->acquire(Lane::Write, request.deadline, true);
        if (!lease)
            co_return tl::make_unexpected(lease.error());
        auto answer = co_await links::beginTransaction(lease->getLink(), m_node.settings.name, term, request.deadline);
        if (!answer) {
            lease->discard();
            auto failure = handleTargetFailure(answer.error(), pool);
            // Closing the connection rolls back a transaction whose begin was not answered, so begin can be repeated.
            if (isDue(request.deadline))
                co_return fail(ErrorKind::NoPrimary, failure.error().message, kRetryAfter);
            co_await waitForHealthChange(std::min(request.deadline, Clock::now() + milliseconds(10)));
            continue;
        }
        if (!findMember(pool)) { // removed from the record meanwhile; closing the connection rolls back
            lease->discard();
            continue;
        }
        lease->releaseSlot();
        auto name = makeTransactionName(m_node.settings.name);
        auto transaction = std::make_shared<Transaction>();
        transaction->lease = std::move(*lease);
        transaction->term = term;
        transaction->pool = pool;
        transaction->member = member;
        transaction->lastUsedAt = Clock::now();
        m_transactions[name] = std::move(transaction);
        ++m_openTransactions;
        base::count(Counter::Transactions);
        Outcome outcome;
        outcome.transaction = name;
        outcome.member = member;
        outcome.mark = request.mark;
        co_return outcome;
    }
}

asio::awaitable<links::TargetResult<links::ExecuteResult>> GroupController::sendInTransaction(const GroupRequest& request, Transaction& transaction)
{
    auto& link = transaction.lease.getLink();
    auto& from = m_node.settings.name;
    if (request.operation == Operation::Commit)
        co_return co_await links::commitTransaction(link, from, request.requestKey, request.deadline);
    if (request.operation == Operation::Rollback) {
        auto answer = co_await links::rollbackTransaction(link, from, request.deadline);
        if (!answer)
            co_return tl::make_unexpected(answer.error());
        co_return links::ExecuteResult {};
    }
    links::ExecuteRequest message { transaction.term, request.isWrite, request.statement, request.parameters, {}, {}, {} };
    co_return co_await links::execute(link, from, message, request.deadline);
}

asio::awaitable<Result<Outcome>> GroupController::runInTransaction(GroupRequest request)
{
    auto it = m_transactions.find(request.transaction);
    if (it == m_transactions.end())
        co_return fail(ErrorKind::TransactionUnknown, "the transaction has ended, or it was rolled back because its host stopped");
    auto transaction = it->second;
    if (transaction->isBusy)
        co_return fail(ErrorKind::TransactionUnknown, "another statement of this transaction is running");
    transaction->isBusy = true;
    transaction->lease.acquireSlot();
    auto answer = co_await sendInTransaction(request, *transaction);
    auto ranAt = Clock::now();
    transaction->isBusy = false;
    transaction->lastUsedAt = ranAt;
    transaction->lease.releaseSlot();
    bool isLast = request.operation == Operation::Commit || request.operation == Operation::Rollback;
    bool isLost = !answer && !answer.error().refusal;
    if (isLast || isLost)
        endTransaction(request.transaction, !isLost);
    if (!answer) {
        auto failure = handleTargetFailure(answer.error(), transaction->pool);
        // A lost connection rolls back a transaction that has not been committed.
        if (request.operation != Operation::Commit && isLost)
            co_return fail(ErrorKind::TransactionUnknown, "the transaction was rolled back because its connection was lost");
        if (failure.error().kind == ErrorKind::NoPrimary)
            co_return fail(ErrorKind::TransactionUnknown, "the transaction was rolled back because its primary was superseded");
        co_return failure;
    }
    Outcome outcome;
    outcome.result = std::move(answer->result);
    outcome.member = transaction->member;
    outcome.mark = request.mark;
    outcome.wasReplayed = answer->wasReplayed;
    if (request.operation != Operation::Commit)
        co_return outcome;
    outcome.mark = answer->mark;
    co_return co_await acknowledge(request, std::move(outcome), ranAt);
}

void GroupController::endTransaction(const std::string& name, bool canReuseConnection)
{
    auto it = m_transactions.find(name);
    if (it == m_transactions.end())
        return;
    if (canReuseConnection)
        it->second->lease.release();
    else
        it->second->lease.discard();
    m_transactions.erase(it);
    --m_openTransactions;
}

// Closes the connections of idle transactions, which rolls them back at the member.
void GroupController::expireTransactions()
{
    auto limit = milliseconds(m_node.settings.transactionIdleMs);
    std::vector<std::string> expired;
    for (auto& [name, transaction] : m_transactions) {
        if (!transaction->isBusy && Clock::now() - transaction->lastUsedAt > limit)
            expired.push_back(name);
    }
    for (auto& it : expired)
        endTransaction(it, false);
}

}
