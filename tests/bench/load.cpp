#include "bench/load.h"
#include "links/http.h"
#include "links/json_fields.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace bench {

namespace asio = boost::asio;
using namespace alderward;
using Clock = std::chrono::steady_clock;

double LoadResult::getQuantile(double share) const
{
    if (latencies.empty())
        return 0;
    auto sorted = latencies;
    std::ranges::sort(sorted);
    return sorted[std::min(sorted.size() - 1, static_cast<size_t>(share * static_cast<double>(sorted.size())))];
}

uint64_t LoadResult::getFailures() const
{
    uint64_t n = 0;
    for (auto& [kind, count] : kinds)
        n += count;
    return n;
}

namespace {

asio::awaitable<std::unique_ptr<links::HttpConnection>> connect(asio::io_context& context, const LoadOptions& options, std::string address)
{
    auto link = links::makeHttpConnection(context.get_executor(), address);
    auto deadline = Clock::now() + milliseconds(5000);
    if (!co_await link->open(deadline))
        co_return nullptr;
    if (!options.firstPath.empty()) {
        links::HttpRequest request;
        request.path = options.firstPath;
        request.body = json::serialize(options.firstBody);
        co_await link->exchange(std::move(request), deadline);
    }
    co_return link;
}

milliseconds getRetryAfter(const json::object& body)
{
    auto* error = body.if_contains("error");
    return milliseconds(error && error->is_object() ? links::getNumber(error->get_object(), "retryAfterMs") : 0);
}

asio::awaitable<void> runCaller(asio::io_context& context, const LoadOptions& options, unsigned index, Clock::time_point end, LoadResult& result)
{
    auto address = options.addresses[index % options.addresses.size()];
    auto link = co_await connect(context, options, address);
    std::string session;
    for (uint64_t n = 0; Clock::now() < end; ++n) {
        if (!link || !link->isOpen()) {
            link = co_await connect(context, options, address);
            if (!link) {
                ++result.kinds["connect"];
                co_await base::sleepFor(milliseconds(20));
                continue;
            }
        }
        auto body = options.makeBody(index, n);
        bool isInSession = options.keepsSession && !body.contains("session");
        if (isInSession)
            body["session"] = session;
        links::HttpRequest request;
        request.path = options.path;
        request.body = json::serialize(body);
        auto began = Clock::now();
        auto answer = co_await link->exchange(std::move(request), began + milliseconds(10000));
        if (!answer) {
            ++result.kinds["connection"];
            continue;
        }
        auto parsed = links::parseObject(answer->body).value_or(json::object());
        if (answer->status == 200) {
            result.latencies.push_back(std::chrono::duration<double, std::milli>(Clock::now() - began).count());
            if (isInSession)
                session = links::getString(parsed, "session");
        } else
            ++result.kinds[harness::getErrorKind({ answer->status, true, parsed })];
        auto wait = options.pause;
        if (options.obeysRetryAfter)
            wait = std::max(wait, getRetryAfter(parsed));
        if (wait.count() > 0)
            co_await base::sleepFor(wait);
    }
}

}

LoadResult runLoad(const LoadOptions& options)
{
    asio::io_context context(1);
    LoadResult result;
    auto began = Clock::now();
    for (unsigned i = 0; i < options.callers; ++i)
        asio::co_spawn(context, runCaller(context, options, i, began + options.time, result), asio::detached);
    context.run();
    result.seconds = std::chrono::duration<double>(Clock::now() - began).count();
    return result;
}

std::shared_ptr<void> openIdleConnections(const std::string& address, unsigned count, const std::function<json::object(unsigned)>& makeBody)
{
    struct IdleConnections {
        asio::io_context context { 1 };
        std::vector<std::unique_ptr<links::HttpConnection>> links;
    };
    auto idle = std::make_shared<IdleConnections>();
    LoadOptions options { { address } };
    auto open = [&]() -> asio::awaitable<void> {
        for (unsigned i = 0; i < count; ++i) {
            auto link = co_await connect(idle->context, options, address);
            if (!link)
                continue;
            links::HttpRequest request;
            request.path = options.path;
            request.body = json::serialize(makeBody(i));
            co_await link->exchange(std::move(request), Clock::now() + milliseconds(5000));
            idle->links.push_back(std::move(link));
        }
    };
    asio::co_spawn(idle->context, open(), asio::detached);
    idle->context.run();
    return idle;
}

}
