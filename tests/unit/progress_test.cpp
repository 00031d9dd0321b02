// Where a replica's log is expected to stand.
#include "decisions/progress.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::decisions;

static TimePoint at(int ms) { return TimePoint(milliseconds(1'000'000 + ms)); }

BOOST_AUTO_TEST_SUITE(progress)

BOOST_AUTO_TEST_CASE(a_log_that_moves_is_expected_to_go_on)
{
    auto seen = applyPosition({}, { 1, 100 }, at(0));
    BOOST_TEST((estimatePosition(seen, at(500)) == Mark { 1, 100 })); // no speed yet
    seen = applyPosition(seen, { 1, 110 }, at(100)); // too close for a speed
    BOOST_TEST((estimatePosition(seen, at(500)) == Mark { 1, 110 }));
    seen = applyPosition(seen, { 1, 150 }, at(500)); // 100 a second
    BOOST_TEST((estimatePosition(seen, at(700)) == Mark { 1, 170 }));
    BOOST_TEST((estimatePosition(seen, at(60000)) == Mark { 1, 250 })); // no further than a second
    BOOST_TEST((estimatePosition(seen, at(0)) == Mark { 1, 150 })); // never less than what was seen
}

BOOST_AUTO_TEST_CASE(what_is_older_changes_nothing)
{
    auto seen = applyPosition({}, { 1, 100 }, at(100));
    BOOST_TEST((applyPosition(seen, { 1, 90 }, at(50)) == seen));
}

BOOST_AUTO_TEST_CASE(a_log_that_goes_back_or_begins_a_term_is_followed_without_a_speed)
{
    auto seen = applyPosition(applyPosition({}, { 1, 100 }, at(0)), { 1, 200 }, at(500));
    BOOST_TEST(seen.positionsPerSecond == 200);
    auto back = applyPosition(seen, { 1, 150 }, at(600));
    BOOST_TEST((estimatePosition(back, at(1600)) == Mark { 1, 150 }));
    auto term = applyPosition(seen, { 2, 201 }, at(600));
    BOOST_TEST((estimatePosition(term, at(1600)) == Mark { 2, 201 }));
}

BOOST_AUTO_TEST_CASE(a_log_that_stands_still_loses_its_speed)
{
    auto seen = applyPosition(applyPosition({}, { 1, 100 }, at(0)), { 1, 200 }, at(500));
    seen = applyPosition(seen, { 1, 200 }, at(800));
    BOOST_TEST((estimatePosition(seen, at(1800)) == Mark { 1, 200 }));
}

// Found by path/replicas_that_are_far_behind_*, once in four runs: refusals were noted as positions heard just now, so what a carrier had heard a
// little earlier never counted, and a replica of which nothing was known was asked by each read.
BOOST_AUTO_TEST_CASE(a_refusal_hides_no_position_that_was_heard_before_it)
{
    auto refused = applyRefusal({}, at(1000));
    auto told = applyPosition(refused, { 1, 40 }, at(900));
    BOOST_TEST((told.position == Mark { 1, 40 }));
    BOOST_TEST((told.lastRefusalAt == at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
