#include "links/target.h"
#include "links/json_fields.h"

namespace alderward::links {

namespace json = boost::json;
using decisions::FenceAnswer;
using decisions::MemberStatus;

static constexpr unsigned kRefusalHttpStatus = 409;

static RefusalKind parseRefusal(std::string_view text)
{
    if (text == "connections")
        return RefusalKind::Connections;
    if (text == "term")
        return RefusalKind::Term;
    if (text == "role")
        return RefusalKind::Role;
    if (text == "behind")
        return RefusalKind::Behind;
    if (text == "key-closed")
        return RefusalKind::KeyClosed;
    if (text == "transaction")
        return RefusalKind::Transaction;
    return RefusalKind::Statement;
}

static tl::unexpected<TargetFailure> failLink(HttpConnection& link, bool mayHaveArrived, std::string reason)
{
    link.close();
    return tl::make_unexpected(TargetFailure { {}, { mayHaveArrived, false, std::move(reason) } });
}

// Runs one operation with JSON bodies. A response with a status other than 200 and 409, or without a JSON object, closes the
// connection and fails with `mayHaveArrived`.
static AsyncTargetResult<json::object> call(HttpConnection& link, const std::string& from, const char* operation, const json::object& body, base::TimePoint deadline)
{
    HttpRequest request;
    request.path = std::string("/member/") + operation;
    request.body = json::serialize(body);
    request.from = from;
    auto answer = co_await link.exchange(std::move(request), deadline);
    if (!answer)
        co_return tl::make_unexpected(TargetFailure { {}, answer.error() });
    auto object = parseObject(answer->body);
    if (!object || (answer->status != 200 && answer->status != kRefusalHttpStatus))
        co_return failLink(link, true, "malformed response from the member");
    if (answer->status == kRefusalHttpStatus)
        co_return tl::make_unexpected(TargetFailure { Refusal { parseRefusal(getString(*object, "refused")), getString(*object, "message") }, {} });
    co_return std::move(*object);
}

static TargetResult<void> discardBody(const TargetResult<json::object>& answer)
{
    if (!answer)
        return tl::make_unexpected(answer.error());
    return {};
}

static json::object formatMark(const Mark& mark)
{
    return { { "term", mark.term }, { "position", mark.position } };
}

static decisions::LogState parseLog(const json::object& object)
{
    decisions::LogState log { getNumber(object, "logTerm"), getNumber(object, "position"), {} };
    if (auto* history = object.if_contains("history"); history && history->is_array()) {
        for (auto& it : history->get_array()) {
            if (it.is_object())
                log.history.push_back({ getNumber(it.get_object(), "term"), getNumber(it.get_object(), "position") });
        }
    }
    return log;
}

static TargetResult<ExecuteResult> parseExecute(const TargetResult<json::object>& object)
{
    if (!object)
        return tl::make_unexpected(object.error());
    ExecuteResult answer;
    if (auto* result = object->if_contains("result"))
        answer.result = json::serialize(*result);
    answer.mark = { getNumber(*object, "term"), getNumber(*object, "position") };
    answer.wasReplayed = getBool(*object, "replayed");
    answer.didRun = getBool(*object, "ran", true);
    answer.piggybackedStatus = { getNumber(*object, "memberTerm"), getNumber(*object, "fencedTerm"), answer.mark };
    return answer;
}

AsyncTargetResult<void> sendHello(HttpConnection& link, const std::string& from, Purpose purpose, base::TimePoint deadline)
{
    json::object body { { "purpose", purpose == Purpose::Work ? "work" : "control" } };
    co_return discardBody(co_await call(link, from, "hello", body, deadline));
}

AsyncTargetResult<MemberStatus> askStatus(HttpConnection& link, const std::string& from, base::TimePoint deadline)
{
    json::object body;
    auto object = co_await call(link, from, "status", body, deadline);
    if (!object)
        co_return tl::make_unexpected(object.error());
    MemberStatus status;
    status.member = getString(*object, "member");
    status.term = getNumber(*object, "term");
    status.fencedTerm = getNumber(*object, "fencedTerm");
    status.role = getString(*object, "role") == "primary" ? decisions::Role::Primary : decisions::Role::Replica;
    status.log = parseLog(*object);
    status.primary = getString(*object, "primary");
    status.primaryContactAge = base::milliseconds(getNumber(*object, "heardPrimaryAgoMs"));
    status.canFence = getBool(*object, "fence", true);
    co_return status;
}

AsyncTargetResult<ExecuteResult> execute(HttpConnection& link, const std::string& from, const ExecuteRequest& request, base::TimePoint deadline)
{
    json::object body { { "term", request.term }, { "kind", request.isWrite ? "write" : "read" }, { "statement", request.statement } };
    if (!request.parameters.empty())
        body["parameters"] = json::parse(request.parameters);
    if (!request.requestKey.empty())
        body["requestKey"] = request.requestKey;
    if (request.atLeast.term > 0) {
        body["atLeast"] = formatMark(request.atLeast);
        body["waitMs"] = request.waitLimit.count();
    }
    co_return parseExecute(co_await call(link, from, "execute", body, deadline));
}

AsyncTargetResult<void> beginTransaction(HttpConnection& link, const std::string& from, uint64_t term, base::TimePoint deadline)
{
    json::object body { { "term", term } };
    co_return discardBody(co_await call(link, from, "begin", body, deadline));
}

AsyncTargetResult<ExecuteResult> commitTransaction(HttpConnection& link, const std::string& from, const std::string& requestKey, base::TimePoint deadline)
{
    json::object body;
    if (!requestKey.empty())
        body["requestKey"] = requestKey;
    co_return parseExecute(co_await call(link, from, "commit", body, deadline));
}

AsyncTargetResult<void> rollbackTransaction(HttpConnection& link, const std::string& from, base::TimePoint deadline)
{
    json::object body;
    co_return discardBody(co_await call(link, from, "rollback", body, deadline));
}

AsyncTargetResult<ExecuteResult> settleKey(HttpConnection& link, const std::string& from, uint64_t term, const std::string& requestKey, base::TimePoint deadline)
{
    json::object body { { "term", term }, { "requestKey", requestKey } };
    co_return parseExecute(co_await call(link, from, "settle", body, deadline));
}

AsyncTargetResult<AwaitPositionResult> awaitPosition(HttpConnection& link, const std::string& from, const Mark& mark, base::milliseconds limit, base::TimePoint deadline)
{
    json::object body { { "term", mark.term }, { "position", mark.position }, { "limitMs", limit.count() } };
    auto object = co_await call(link, from, "await", body, deadline);
    if (!object)
        co_return tl::make_unexpected(object.error());
    co_return AwaitPositionResult { getNumber(*object, "term"), getNumber(*object, "fencedTerm"), getNumber(*object, "logTerm"), getNumber(*object, "position") };
}

AsyncTargetResult<FenceAnswer> fence(HttpConnection& link, const std::string& from, uint64_t term, const std::string& proposer, base::TimePoint deadline)
{
    json::object body { { "term", term }, { "proposer", proposer } };
    auto object = co_await call(link, from, "fence", body, deadline);
    if (!object)
        co_return tl::make_unexpected(object.error());
    co_return FenceAnswer { getBool(*object, "granted"), getNumber(*object, "fencedTerm"), parseLog(*object) };
}

AsyncTargetResult<void> promote(HttpConnection& link, const std::string& from, uint64_t term, const std::string& proposer, base::TimePoint deadline)
{
    json::object body { { "term", term }, { "proposer", proposer } };
    co_return discardBody(co_await call(link, from, "promote", body, deadline));
}

AsyncTargetResult<void> follow(HttpConnection& link, const std::string& from, uint64_t term, const std::string& primary, const std::string& address, base::TimePoint deadline)
{
    json::object body { { "term", term }, { "primary", primary }, { "address", address } };
    co_return discardBody(co_await call(link, from, "follow", body, deadline));
}

}
