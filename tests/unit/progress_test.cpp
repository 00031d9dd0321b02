// Estimates of a replica's log position.
#include "decisions/progress.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::decisions;

static TimePoint at(int ms) { return TimePoint(milliseconds(1'000'000 + ms)); }

BOOST_AUTO_TEST_SUITE(progress)

BOOST_AUTO_TEST_CASE(position_is_extrapolated_by_the_rate)
{
    auto seen = applyPosition({}, { 1, 100 }, at(0));
    BOOST_TEST((estimatePosition(seen, at(500)) == Mark { 1, 100 })); // no rate yet
    seen = applyPosition(seen, { 1, 110 }, at(100)); // too close for a rate
    BOOST_TEST((estimatePosition(seen, at(500)) == Mark { 1, 110 }));
    seen = applyPosition(seen, { 1, 150 }, at(500)); // 100 per second
    BOOST_TEST((estimatePosition(seen, at(700)) == Mark { 1, 170 }));
    BOOST_TEST((estimatePosition(seen, at(60000)) == Mark { 1, 250 })); // for one second at most
    BOOST_TEST((estimatePosition(seen, at(0)) == Mark { 1, 150 })); // never below the observed position
}

BOOST_AUTO_TEST_CASE(older_observation_is_ignored)
{
    auto seen = applyPosition({}, { 1, 100 }, at(100));
    BOOST_TEST((applyPosition(seen, { 1, 90 }, at(50)) == seen));
}

BOOST_AUTO_TEST_CASE(lower_position_or_new_term_resets_the_rate)
{
    auto seen = applyPosition(applyPosition({}, { 1, 100 }, at(0)), { 1, 200 }, at(500));
    BOOST_TEST(seen.positionsPerSecond == 200);
    auto back = applyPosition(seen, { 1, 150 }, at(600));
    BOOST_TEST((estimatePosition(back, at(1600)) == Mark { 1, 150 }));
    auto term = applyPosition(seen, { 2, 201 }, at(600));
    BOOST_TEST((estimatePosition(term, at(1600)) == Mark { 2, 201 }));
}

BOOST_AUTO_TEST_CASE(unchanged_position_resets_the_rate_to_zero)
{
    auto seen = applyPosition(applyPosition({}, { 1, 100 }, at(0)), { 1, 200 }, at(500));
    seen = applyPosition(seen, { 1, 200 }, at(800));
    BOOST_TEST((estimatePosition(seen, at(1800)) == Mark { 1, 200 }));
}

// Guards against refusals that hide earlier observations: every read would then be sent to a replica that lags behind.
BOOST_AUTO_TEST_CASE(refusal_does_not_hide_a_position_observed_before_it)
{
    auto refused = applyRefusal({}, at(1000));
    auto updated = applyPosition(refused, { 1, 40 }, at(900));
    BOOST_TEST((updated.position == Mark { 1, 40 }));
    BOOST_TEST((updated.lastRefusalAt == at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
