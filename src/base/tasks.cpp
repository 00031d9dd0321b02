#include "base/tasks.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/families.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>
#include <string>

namespace alderward::base {

namespace asio = boost::asio;

static constexpr milliseconds kRestartPause { 200 }; // bounds the load of a loop that fails each time

static void reportFailure(std::string_view name, const std::exception_ptr& error)
{
    std::string reason = "unknown exception";
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& it) {
        reason = it.what();
    } catch (...) { // the reason stays unknown
    }
    incrementCounter(MetricFamily::TaskFailures, { { "task", name } });
    logEvent(LogClass::State, "task-failed", { { "task", name }, { "reason", std::string_view(reason) } });
}

void spawnTask(asio::io_context& context, std::string_view name, asio::awaitable<void> task, std::function<void()> onFailure)
{
    asio::co_spawn(context, std::move(task), [name = std::string(name), onFailure = std::move(onFailure)](const std::exception_ptr& error) {
        if (!error)
            return;
        reportFailure(name, error);
        if (onFailure)
            onFailure();
    });
}

static asio::awaitable<void> superviseLoop(std::string_view name, std::function<asio::awaitable<void>()> makeLoop)
{
    for (;;) {
        std::exception_ptr error;
        try {
            co_await makeLoop();
        } catch (...) {
            error = std::current_exception();
        }
        if (!error)
            co_return;
        reportFailure(name, error);
        co_await sleepFor(kRestartPause);
    }
}

void spawnLoop(asio::io_context& context, std::string_view name, std::function<asio::awaitable<void>()> makeLoop)
{
    asio::co_spawn(context, superviseLoop(name, std::move(makeLoop)), asio::detached);
}

}
