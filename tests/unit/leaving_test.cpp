// How long members that leave are used.
#include "decisions/leaving.h"
#include <boost/test/unit_test.hpp>

using namespace alderward::decisions;

namespace {

constexpr milliseconds kDrainTime { 7000 };
const TimePoint kStart = TimePoint() + milliseconds(100000);

}

BOOST_AUTO_TEST_SUITE(leaving_members)

BOOST_AUTO_TEST_CASE(a_member_that_does_not_leave_is_used_whatever_the_time)
{
    BOOST_TEST(acceptsNewOperations(std::nullopt, kDrainTime, kStart));
    BOOST_TEST(acceptsNewOperations(std::nullopt, milliseconds(0), kStart));
}

BOOST_AUTO_TEST_CASE(a_leaving_member_is_used_until_its_time_less_the_reserve_is_over)
{
    BOOST_TEST(acceptsNewOperations(kStart, kDrainTime, kStart));
    BOOST_TEST(acceptsNewOperations(kStart, kDrainTime, kStart + milliseconds(5499)));
    BOOST_TEST(!acceptsNewOperations(kStart, kDrainTime, kStart + milliseconds(5500)));
    BOOST_TEST(!acceptsNewOperations(kStart, kDrainTime, kStart + milliseconds(3600000)));
}

BOOST_AUTO_TEST_CASE(a_short_drain_time_leaves_some_of_it)
{
    BOOST_TEST(acceptsNewOperations(kStart, milliseconds(1000), kStart + milliseconds(499)));
    BOOST_TEST(!acceptsNewOperations(kStart, milliseconds(1000), kStart + milliseconds(500)));
    BOOST_TEST(!acceptsNewOperations(kStart, milliseconds(0), kStart));
}

BOOST_AUTO_TEST_CASE(of_a_member_that_was_found_leaving_half_of_the_time_is_taken_to_be_over)
{
    auto since = estimateLeavingSince(kDrainTime, kStart);
    BOOST_TEST(acceptsNewOperations(since, kDrainTime, kStart + milliseconds(1999)));
    BOOST_TEST(!acceptsNewOperations(since, kDrainTime, kStart + milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()
