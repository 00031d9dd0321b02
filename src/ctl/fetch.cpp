#include "ctl/fetch.h"
#include "ctl/commands.h"
#include "links/http.h"
#include "links/json_fields.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <memory>

namespace alderward::ctl {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Clock;
using base::milliseconds;

static constexpr milliseconds kHostTimeout { 1500 }; // so that a command ends within 2 s whatever the number of hosts

asio::awaitable<std::optional<json::object>> fetchJson(std::string address, std::string path, base::TimePoint deadline)
{
    auto connection = links::makeHttpConnection(co_await asio::this_coro::executor, address);
    if (!co_await connection->open(deadline))
        co_return std::nullopt;
    links::HttpRequest request;
    request.method = "GET";
    request.path = std::move(path);
    request.from = "alderctl";
    auto answer = co_await connection->exchange(std::move(request), deadline);
    if (!answer)
        co_return std::nullopt;
    co_return links::parseObject(answer->body);
}

asio::awaitable<Documents> fetchDocuments(std::vector<std::string> addresses, std::string path)
{
    struct Pending {
        Documents documents {};
        size_t count { 0 };
    };
    auto executor = co_await asio::this_coro::executor;
    auto pending = std::make_shared<Pending>();
    auto allDone = std::make_shared<asio::steady_timer>(executor, asio::steady_timer::time_point::max());
    for (auto& it : addresses)
        pending->documents[it] = std::nullopt;
    pending->count = pending->documents.size();
    auto deadline = Clock::now() + kHostTimeout;
    for (auto& [address, document] : pending->documents) {
        asio::co_spawn(executor, fetchJson(address, path, deadline), [pending, allDone, address](std::exception_ptr error, std::optional<json::object> result) {
            if (!error)
                pending->documents[address] = std::move(result);
            if (--pending->count == 0)
                allDone->cancel();
        });
    }
    boost::system::error_code ec;
    if (pending->count > 0)
        co_await allDone->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return std::move(pending->documents);
}

int printAnswered(const Documents& documents)
{
    auto answered = std::ranges::count_if(documents, [](auto& it) { return it.second.has_value(); });
    fmt::print("{} of {} hosts answered\n", answered, documents.size());
    for (auto& [address, document] : documents) {
        if (!document)
            fmt::print("host at {} does not answer\n", address);
    }
    return static_cast<size_t>(answered) == documents.size() ? kExitSuccess : kExitFailed;
}

}
