#include "links/platform.h"
#include "base/metrics.h"
#include "links/json_fields.h"
#include <boost/asio/this_coro.hpp>

namespace alderward::links {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr base::milliseconds kWatchResponseTimeout { 1000 }; // beyond the wait, for the response to arrive

static AsyncPlatformResult<json::object> callOverConnection(HttpConnection& link, const PlatformClient& client, std::string path, json::object body, base::TimePoint deadline)
{
    base::count(base::Counter::PlatformCalls);
    HttpRequest request;
    request.path = std::move(path);
    request.body = json::serialize(body);
    request.from = client.from;
    auto before = link.getTransferredBytes();
    auto answer = co_await link.exchange(std::move(request), deadline);
    base::count(base::Counter::PlatformBytes, link.getTransferredBytes() - before);
    if (!answer)
        co_return tl::make_unexpected(answer.error());
    auto object = parseObject(answer->body);
    if (answer->status != 200 || !object)
        co_return tl::make_unexpected(LinkFailure { true, false, "the store responded with HTTP status " + std::to_string(answer->status) });
    co_return std::move(*object);
}

static AsyncPlatformResult<json::object> call(const PlatformClient& client, std::string path, json::object body, base::TimePoint deadline)
{
    auto link = makeHttpConnection(co_await asio::this_coro::executor, client.address);
    auto opened = co_await link->open(deadline);
    if (!opened)
        co_return tl::make_unexpected(opened.error());
    co_return co_await callOverConnection(*link, client, std::move(path), std::move(body), deadline);
}

static StoredValue parseStored(const json::object& object)
{
    return { getString(object, "key"), getString(object, "value"), getNumber(object, "revision"), getBool(object, "deleted") };
}

static StoredList parseList(const json::object& object, const char* field)
{
    StoredList list;
    list.revision = getNumber(object, "revision");
    list.wasCompacted = getBool(object, "compacted");
    if (auto* values = object.if_contains(field); values && values->is_array()) {
        for (auto& it : values->get_array()) {
            if (it.is_object())
                list.values.push_back(parseStored(it.get_object()));
        }
    }
    return list;
}

static json::array toArray(const std::vector<std::string>& prefixes)
{
    json::array array;
    for (auto& it : prefixes)
        array.emplace_back(it);
    return array;
}

AsyncPlatformResult<StoredValue> getValue(const PlatformClient& client, std::string key, base::TimePoint deadline)
{
    json::object body { { "key", key } };
    auto object = co_await call(client, "/kv/get", std::move(body), deadline);
    if (!object)
        co_return tl::make_unexpected(object.error());
    auto stored = parseStored(*object);
    stored.key = key;
    co_return stored;
}

AsyncPlatformResult<StoredList> listValues(const PlatformClient& client, std::vector<std::string> prefixes, base::TimePoint deadline)
{
    json::object body { { "prefixes", toArray(prefixes) } };
    auto object = co_await call(client, "/kv/list", std::move(body), deadline);
    if (!object)
        co_return tl::make_unexpected(object.error());
    co_return parseList(*object, "entries");
}

AsyncPlatformResult<SwapResult> compareAndSwap(const PlatformClient& client, std::string key, uint64_t expectRevision, std::string value, base::TimePoint deadline)
{
    json::object body { { "key", key }, { "expectRevision", expectRevision }, { "value", value } };
    auto object = co_await call(client, "/kv/cas", std::move(body), deadline);
    if (!object)
        co_return tl::make_unexpected(object.error());
    SwapResult answer { getBool(*object, "swapped"), parseStored(*object) };
    answer.current.key = key;
    co_return answer;
}

AsyncPlatformResult<StoredList> watchValues(const PlatformClient& client, HttpConnection& link, std::vector<std::string> prefixes, uint64_t afterRevision, base::milliseconds wait)
{
    json::object body { { "prefixes", toArray(prefixes) }, { "afterRevision", afterRevision }, { "waitMs", wait.count() } };
    auto object = co_await callOverConnection(link, client, "/kv/watch", std::move(body), base::Clock::now() + wait + kWatchResponseTimeout);
    if (!object)
        co_return tl::make_unexpected(object.error());
    co_return parseList(*object, "events");
}

}
