// Coroutines in the background. An exception in one is logged and counted: it neither ends the process nor stops the work silently.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>

namespace alderward::base {

// Runs `task` once, which must not be a lambda with captures: they end with the lambda, before the coroutine. After an exception `onFailure` restores what the task would have restored, such as a flag that it is running.
void spawnTask(boost::asio::io_context& context, std::string_view name, boost::asio::awaitable<void> task, std::function<void()> onFailure = {});
// Runs the loop made by `makeLoop` until it returns; after an exception a new one is made, with a pause between. `name` must outlive the loop.
void spawnLoop(boost::asio::io_context& context, std::string_view name, std::function<boost::asio::awaitable<void>()> makeLoop);

}
