// Choice of watchers, pauses between watches and retries, detection of a failed watch.
#include "decisions/watching.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::decisions;

static TimePoint at(int ms) { return TimePoint(milliseconds(1'000'000 + ms)); }

BOOST_AUTO_TEST_SUITE(watching)

BOOST_AUTO_TEST_CASE(the_first_reachable_hosts_of_a_data_centre_are_watchers)
{
    std::vector<WatcherHost> all { { "a" }, { "b" }, { "c" } };
    std::vector<WatcherHost> one { { "a" } };
    BOOST_TEST(isWatcher("a", one));
    BOOST_TEST(isWatcher("b", all));
    BOOST_TEST(!isWatcher("c", all));
    all.erase(all.begin()); // the first one failed
    BOOST_TEST(isWatcher("c", all));
    BOOST_TEST(!isWatcher("x", one));
}

// Guards against a data centre whose watchers still answer other hosts but have lost the store.
BOOST_AUTO_TEST_CASE(hosts_that_have_lost_the_store_are_watchers_only_as_a_last_resort)
{
    std::vector<WatcherHost> ranked { { "a", false }, { "b", false }, { "c", true }, { "d", true } };
    BOOST_TEST(!isWatcher("a", ranked));
    BOOST_TEST(!isWatcher("b", ranked));
    BOOST_TEST(isWatcher("c", ranked));
    BOOST_TEST(isWatcher("d", ranked));
    ranked[3].hasStore = false; // one host has the store; the best-ranked of the others is the second watcher
    BOOST_TEST(isWatcher("a", ranked));
    BOOST_TEST(!isWatcher("b", ranked));
    BOOST_TEST(!isWatcher("d", ranked));
}

BOOST_AUTO_TEST_CASE(the_pause_doubles_while_changes_are_pending)
{
    auto pause = getWatchPause(milliseconds(0), false);
    BOOST_TEST(pause.count() == 250);
    pause = getWatchPause(pause, true);
    BOOST_TEST(pause.count() == 500);
    pause = getWatchPause(getWatchPause(pause, true), true);
    BOOST_TEST(pause.count() == 1000);
    BOOST_TEST(getWatchPause(pause, false).count() == 250);
    BOOST_TEST(getWatchPause(milliseconds(-5), true).count() == 250);
}

BOOST_AUTO_TEST_CASE(retries_back_off_exponentially_with_jitter)
{
    BOOST_TEST(getRetryPause(0, 0.5).count() == 225);
    BOOST_TEST(getRetryPause(1, 0.5).count() == 225);
    BOOST_TEST(getRetryPause(2, 0.5).count() == 450);
    BOOST_TEST(getRetryPause(1'000'000, 0.999).count() <= 1500);
    BOOST_TEST(getRetryPause(1'000'000, 0).count() >= 500);
}

BOOST_AUTO_TEST_CASE(a_watch_is_silent_if_a_change_known_to_others_does_not_arrive)
{
    auto reported = applyReportedChange({}, 10, 9, at(0));
    BOOST_TEST(!isWatchSilent(reported, 9, at(1000)));
    reported = applyReportedChange(reported, 12, 9, at(1000)); // a later change does not restart the time
    BOOST_TEST(isWatchSilent(reported, 9, at(1500)));
    BOOST_TEST(!isWatchSilent(reported, 10, at(1500))); // it arrived
    reported = applyReportedChange(reported, 12, 10, at(1600));
    BOOST_TEST(!isWatchSilent(reported, 10, at(2000)));
    BOOST_TEST(isWatchSilent(reported, 10, at(3100)));
    BOOST_TEST((applyReportedChange(reported, 12, 12, at(3200)) == ReportedChange {}));
    BOOST_TEST((applyReportedChange({}, 0, 0, at(0)) == ReportedChange {}));
}

BOOST_AUTO_TEST_SUITE_END()
