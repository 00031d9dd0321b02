// Background tasks: an exception must neither end the process nor stop the work silently.
#include "base/clock.h"
#include "base/families.h"
#include "base/tasks.h"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace alderward;
namespace asio = boost::asio;

namespace {

// Fails a number of times and then returns.
asio::awaitable<void> failUntil(int& runs, int lastRun)
{
    co_await base::sleepFor(base::milliseconds(1));
    if (++runs < lastRun)
        throw std::runtime_error("no such group");
}

bool hasCounted(const std::string& line)
{
    return base::formatMetricFamilies().find(line + "\n") != std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(tasks)

BOOST_AUTO_TEST_CASE(a_loop_that_fails_is_started_again_until_it_returns)
{
    asio::io_context context(1);
    int runs = 0;
    base::spawnLoop(context, "failing-loop", [&] { return failUntil(runs, 3); });
    context.run();
    BOOST_TEST(runs == 3);
    BOOST_TEST(hasCounted("alderward_task_failures_total{task=\"failing-loop\"} 2"));
}

BOOST_AUTO_TEST_CASE(a_task_that_fails_restores_what_it_would_have_restored)
{
    asio::io_context context(1);
    int runs = 0;
    bool isRunning = true;
    bool hasFailed = false;
    base::spawnTask(context, "failing-task", failUntil(runs, 2), [&] { isRunning = false; });
    int otherRuns = 0;
    base::spawnTask(context, "sound-task", failUntil(otherRuns, 1), [&] { hasFailed = true; });
    context.run();
    BOOST_TEST(!isRunning);
    BOOST_TEST(!hasFailed);
    BOOST_TEST(hasCounted("alderward_task_failures_total{task=\"failing-task\"} 1"));
    BOOST_TEST(!hasCounted("alderward_task_failures_total{task=\"sound-task\"} 1"));
}

BOOST_AUTO_TEST_SUITE_END()
