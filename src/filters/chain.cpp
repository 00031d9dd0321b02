#include "base/metrics.h"
#include "base/random.h"
#include "base/timeline.h"
#include "decisions/attempts.h"
#include "filters/request.h"
#include "links/json_fields.h"
#include <fmt/format.h>

namespace alderward::filters {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Clock;
using base::milliseconds;
using controllers::Operation;
using controllers::Outcome;
using decisions::Error;
using decisions::ErrorKind;

static constexpr unsigned kMaxHops = 2; // to a home, and from there to a home that reaches the primary
static constexpr int kRelayRounds = 12; // maximum number of passes over all homes while none is reachable
static constexpr milliseconds kRelayPause { 60 }; // between two rounds
static constexpr milliseconds kRelayMargin { 10 }; // part of the deadline reserved at each relay
static constexpr milliseconds kRetryAfter { 500 };

// ---- replies ----

// Adds jitter to the retry-after time, except for Overloaded, which has it already. Relays return replies unchanged.
static milliseconds getRetryAfter(const Error& error)
{
    return error.kind == ErrorKind::Overloaded ? error.retryAfter : decisions::jitterRetryAfter(error.retryAfter, base::getRandom());
}

Reply replyWithError(const Error& error, const std::string& session)
{
    auto& row = decisions::getErrorRow(error.kind);
    auto retryAfter = getRetryAfter(error);
    base::count(row.ran == decisions::Ran::Unknown ? base::Counter::RequestsUnknown : base::Counter::RequestsRefused);
    json::object body { { "kind", row.name }, { "ran", decisions::getRanName(row.ran) }, { "retryAfterMs", retryAfter.count() }, { "message", error.message } };
    json::object answer { { "error", std::move(body) }, { "session", session } };
    return { row.status, json::serialize(answer), retryAfter };
}

// After the error that reports lost writes, the session continues from the promotion that lost them. Without a mark, a lagging
// replica could serve its next read without the session's acknowledged writes.
static Reply makeErrorReply(const Services& services, RequestContext& context, const Error& error)
{
    if (error.kind == ErrorKind::SessionWritesLost)
        context.marks[context.group] = error.markAfterLoss;
    return replyWithError(error, decisions::encodeToken(context.marks, services.node.settings.sessionKey));
}

static Reply replyWithOutcome(const Services& services, RequestContext& context, const Outcome& outcome)
{
    if (outcome.mark.term > 0)
        decisions::raiseMark(context.marks, context.group, outcome.mark);
    json::object servedBy { { "host", services.node.settings.name }, { "member", outcome.member }, { "role", outcome.role == decisions::Role::Primary ? "primary" : "replica" } };
    servedBy["ageMs"] = outcome.age ? json::value(outcome.age->count()) : json::value(nullptr);
    json::object answer;
    answer["result"] = json::parse(outcome.result.empty() ? "null" : outcome.result);
    answer["session"] = decisions::encodeToken(context.marks, services.node.settings.sessionKey);
    answer["position"] = { { "term", outcome.mark.term }, { "position", outcome.mark.position } };
    answer["servedBy"] = std::move(servedBy);
    if (!outcome.transaction.empty())
        answer["transaction"] = outcome.transaction;
    if (outcome.wasReplayed)
        answer["replayed"] = true;
    if (context.request.operation == Operation::Settle)
        answer["ran"] = outcome.didRun ? "yes" : "no";
    return { 200, json::serialize(answer), {} };
}

// ---- filters ----

static asio::awaitable<std::optional<Reply>> decode(const Services& services, RequestContext& context)
{
    auto decoded = decodeRequest(context, services.node.settings.sessionKey);
    if (!decoded)
        co_return replyWithError(decoded.error(), "");
    co_return std::nullopt;
}

static asio::awaitable<std::optional<Reply>> setDeadline(const Services& services, RequestContext& context)
{
    auto& settings = services.node.settings;
    auto requested = context.deadline.value_or(milliseconds(std::min(settings.defaultDeadlineMs, settings.maxDeadlineMs)));
    if (requested.count() <= 0 || requested.count() > settings.maxDeadlineMs)
        co_return makeErrorReply(services, context, { ErrorKind::BadDeadline, fmt::format("deadlineMs must be from 1 to {}", settings.maxDeadlineMs) });
    context.request.deadline = context.receivedAt + std::min(requested, context.remaining.value_or(requested));
    co_return std::nullopt;
}

static asio::awaitable<std::optional<Reply>> checkConfigured(const Services& services, RequestContext& context)
{
    auto configuration = services.configuration.getSnapshot().read();
    if (!configuration->isLoaded)
        co_return makeErrorReply(services, context, { ErrorKind::NotConfigured, "this host has no records yet", kRetryAfter });
    co_return std::nullopt;
}

static asio::awaitable<std::optional<Reply>> route(const Services& services, RequestContext& context)
{
    auto table = services.groups.getTable().read();
    auto it = table->find(context.group);
    if (it == table->end() || it->second.record->isRetired)
        co_return makeErrorReply(services, context, { ErrorKind::UnknownGroup, "no active record names the group " + context.group });
    context.entry = it->second;
    if (context.readKind) {
        auto& kinds = context.entry.record->readKinds;
        auto kind = kinds.find(*context.readKind);
        if (kind == kinds.end())
            co_return makeErrorReply(services, context, { ErrorKind::BadRequest, "the group's record does not define the read kind " + *context.readKind });
        if (!context.request.maximumAge)
            context.request.maximumAge = kind->second;
    }
    co_return std::nullopt;
}

// ---- relays ----

struct RelayResult {
    std::optional<Reply> reply {}; // the reply of the remote host
    bool mayHaveArrived { false }; // without a reply: whether the request may have run
};

// Returns whether the remote host declined the relay because it is not a home. If so, starts an exchange to reconcile the
// differing views of the two hosts.
static bool handleDecline(const Services& services, const peer::RelayReply& reply, const std::string& name)
{
    if (!reply.not_home())
        return false;
    base::count(base::Counter::RelaysDeclined);
    services.hosts.exchangeNow(name);
    return true;
}

static asio::awaitable<RelayResult> relayTo(const Services& services, const RequestContext& context, const std::string& name)
{
    auto membership = services.hosts.getSnapshot().read();
    auto* host = decisions::findHost(*membership, name);
    auto remainingTime = std::chrono::duration_cast<milliseconds>(context.request.deadline - Clock::now()) - kRelayMargin;
    if (!host || remainingTime.count() <= 0)
        co_return RelayResult {};
    peer::RelayRequest request;
    request.set_from(services.node.settings.name);
    request.set_operation(context.path);
    request.set_body(context.body);
    request.set_remaining_ms(static_cast<uint32_t>(remainingTime.count()));
    request.set_hops(context.hops + 1);
    base::count(base::Counter::RequestsRelayed);
    auto address = host->peerAddress;
    auto reply = co_await services.node.peers.relay(name, address, std::move(request), remainingTime + kRelayMargin / 2);
    if (!reply) {
        services.hosts.exchangeNow(name);
        co_return RelayResult { std::nullopt, reply.error().mayHaveArrived };
    }
    if (handleDecline(services, *reply, name))
        co_return RelayResult {};
    co_return RelayResult { Reply { reply->status(), reply->body(), milliseconds(reply->retry_after_ms()) }, true };
}

// A transaction belongs to the host that began it, whose name is the prefix of the transaction's name.
static std::string getTransactionOwner(const std::string& transaction)
{
    auto dot = transaction.rfind('.');
    return dot == std::string::npos ? std::string() : transaction.substr(0, dot);
}

static asio::awaitable<std::optional<Reply>> sendToOwner(const Services& services, RequestContext& context)
{
    auto owner = getTransactionOwner(context.request.transaction);
    if (context.request.transaction.empty() || owner == services.node.settings.name)
        co_return std::nullopt;
    if (context.hops >= kMaxHops)
        co_return makeErrorReply(services, context, { ErrorKind::TransactionUnknown, "no host knows this transaction" });
    // A channel whose last connect failed rejects requests until its backoff ends, so the owner counts as lost only after
    // several attempts.
    auto result = co_await relayTo(services, context, owner);
    for (int round = 1; round < kRelayRounds && !result.reply && !result.mayHaveArrived; ++round) {
        if (Clock::now() + kRelayPause >= context.request.deadline - kRelayMargin)
            break;
        co_await base::sleepFor(kRelayPause);
        result = co_await relayTo(services, context, owner);
    }
    if (result.reply)
        co_return result.reply;
    if (!result.mayHaveArrived)
        co_return makeErrorReply(services, context, { ErrorKind::TransactionUnknown, "the host of the transaction is unreachable, so this request has not run; the transaction is rolled back unless that host still runs and gets another request for it in time" });
    co_return makeErrorReply(services, context, { ErrorKind::OutcomeUnknown, "the host that holds the transaction did not answer", kRetryAfter });
}

// Whether this host is a home that cannot reach the primary while another home may reach it.
static bool mustForward(const RequestContext& context)
{
    if (!context.entry.isHome || !context.entry.controller)
        return false;
    bool needsPrimary = context.request.isWrite || context.request.operation != Operation::Execute;
    bool canRelay = context.hops < kMaxHops && !context.entry.relayOrder.empty();
    return needsPrimary && canRelay && context.entry.controller->getStatus().read()->isPathFault;
}

static bool isServedHere(const RequestContext& context)
{
    return context.entry.isHome && context.entry.controller && !mustForward(context);
}

static asio::awaitable<std::optional<Reply>> executeHere(const Services& services, RequestContext& context)
{
    bool isOwned = !context.request.transaction.empty();
    if (!isOwned && !isServedHere(context))
        co_return std::nullopt;
    if (!context.entry.controller)
        co_return makeErrorReply(services, context, { ErrorKind::TransactionUnknown, "this host holds no such transaction" });
    auto outcome = co_await context.entry.controller->run(context.request);
    if (outcome)
        co_return replyWithOutcome(services, context, *outcome);
    // This host is no longer a home of the group. Nothing ran, so the request can be relayed.
    if (outcome.error().kind == ErrorKind::Draining && !isOwned)
        co_return std::nullopt;
    co_return makeErrorReply(services, context, outcome.error());
}

// Returns a relayed request to its sender if this host is not a home. Relaying it again could loop between two hosts with
// differing views until its hops are used up.
static asio::awaitable<std::optional<Reply>> declineRelay(const Services&, RequestContext& context)
{
    if (context.hops == 0 || mustForward(context))
        co_return std::nullopt;
    Reply reply { 503, {}, kRetryAfter };
    reply.isNotHome = true;
    co_return reply;
}

// Replaces a reply that says "not run" if the request may have run at a home that was asked before.
static Reply combineWithEarlierHome(const Services& services, RequestContext& context, const Reply& reply)
{
    boost::system::error_code ec;
    auto body = json::parse(reply.body, ec);
    auto* error = !ec && body.is_object() ? body.get_object().if_contains("error") : nullptr;
    auto kind = error && error->is_object() ? decisions::parseErrorKind(links::getString(error->get_object(), "kind")) : std::nullopt;
    if (!kind)
        return reply;
    auto combined = decisions::combineWithEarlierAttempt({ *kind, links::getString(error->get_object(), "message"), reply.retryAfter });
    return combined.kind == *kind ? reply : makeErrorReply(services, context, combined);
}

static bool isRead(const RequestContext& context)
{
    return !context.request.isWrite && context.request.operation == Operation::Execute;
}

// Tries the homes in order. Continues after a home that may have run the request only if the request can be repeated, and then
// sets `mayHaveRun`.
static asio::awaitable<std::optional<Reply>> tryHomes(const Services& services, RequestContext& context, bool canRepeat, bool& mayHaveRun)
{
    auto homes = context.entry.relayOrder;
    for (auto& home : homes) {
        auto result = co_await relayTo(services, context, home);
        if (result.reply)
            co_return result.reply;
        if (result.mayHaveArrived && !canRepeat)
            co_return makeErrorReply(services, context, { ErrorKind::OutcomeUnknown, "a home of the group did not answer and may have received the request", kRetryAfter });
        if (result.mayHaveArrived) {
            mayHaveRun = true;
            base::count(base::Counter::Retries);
        }
    }
    co_return std::nullopt;
}

// Relays the request in several rounds, because all known homes may be unreachable while homes change. Each round reads the
// group table again, as this host may have become a home.
static asio::awaitable<Reply> relayInRounds(const Services& services, RequestContext& context, bool& mayHaveRun)
{
    bool canRepeat = context.request.isRepeatable || isRead(context);
    for (int round = 0; round < kRelayRounds && context.hops < kMaxHops; ++round) {
        if (auto reply = co_await tryHomes(services, context, canRepeat, mayHaveRun))
            co_return *reply;
        if (Clock::now() + kRelayPause >= context.request.deadline - kRelayMargin)
            break;
        co_await base::sleepFor(kRelayPause);
        if (auto reply = co_await route(services, context))
            co_return *reply;
        if (auto reply = co_await executeHere(services, context))
            co_return *reply;
    }
    if (Clock::now() >= context.request.deadline - kRelayMargin)
        co_return makeErrorReply(services, context, { canRepeat ? ErrorKind::OutcomeUnknown : ErrorKind::DeadlineExceeded, "no home of the group answered in time", kRetryAfter });
    co_return makeErrorReply(services, context, { ErrorKind::NoPrimary, "no home of the group is reachable from here", kRetryAfter });
}

static asio::awaitable<std::optional<Reply>> relayToHome(const Services& services, RequestContext& context)
{
    bool mayHaveRun = false;
    auto reply = co_await relayInRounds(services, context, mayHaveRun);
    // A read changes nothing, so its last error tells the caller more.
    if (mayHaveRun && !isRead(context))
        co_return combineWithEarlierHome(services, context, reply);
    co_return reply;
}

const std::vector<Filter>& getChain()
{
    static const std::vector<Filter> chain { decode, setDeadline, checkConfigured, route, sendToOwner, executeHere, declineRelay, relayToHome };
    return chain;
}

static asio::awaitable<Reply> runFilters(const Services& services, RequestContext& context)
{
    for (auto& filter : getChain()) {
        if (auto reply = co_await filter(services, context))
            co_return *reply;
    }
    co_return makeErrorReply(services, context, { ErrorKind::Internal, "no filter answered the request" });
}

// An internal error must not end the process. The caller gets an error with an unknown outcome.
asio::awaitable<Reply> runChain(const Services& services, RequestContext context)
{
    base::count(base::Counter::Requests);
    auto began = Clock::now();
    context.receivedAt = began;
    Reply reply;
    try {
        reply = co_await runFilters(services, context);
    } catch (const std::exception& error) {
        base::getTimeline().add("internal-error", context.group, error.what());
        reply = makeErrorReply(services, context, { ErrorKind::Internal, "internal error in alderward; please report it" });
    }
    base::record(base::Latency::Request, Clock::now() - began);
    co_return reply;
}

}
