// How long new operations may be sent to leaving members.
#include "decisions/leaving.h"
#include <boost/test/unit_test.hpp>

using namespace alderward::decisions;

namespace {

constexpr milliseconds kDrainTime { 7000 };
const TimePoint kStart = TimePoint() + milliseconds(100000);

}

BOOST_AUTO_TEST_SUITE(leaving_members)

BOOST_AUTO_TEST_CASE(member_that_is_not_leaving_accepts_new_operations_at_any_time)
{
    BOOST_TEST(acceptsNewOperations(std::nullopt, kDrainTime, kStart));
    BOOST_TEST(acceptsNewOperations(std::nullopt, milliseconds(0), kStart));
}

BOOST_AUTO_TEST_CASE(leaving_member_accepts_new_operations_until_the_drain_time_less_the_margin)
{
    BOOST_TEST(acceptsNewOperations(kStart, kDrainTime, kStart));
    BOOST_TEST(acceptsNewOperations(kStart, kDrainTime, kStart + milliseconds(5499)));
    BOOST_TEST(!acceptsNewOperations(kStart, kDrainTime, kStart + milliseconds(5500)));
    BOOST_TEST(!acceptsNewOperations(kStart, kDrainTime, kStart + milliseconds(3600000)));
}

BOOST_AUTO_TEST_CASE(margin_takes_at_most_half_of_a_short_drain_time)
{
    BOOST_TEST(acceptsNewOperations(kStart, milliseconds(1000), kStart + milliseconds(499)));
    BOOST_TEST(!acceptsNewOperations(kStart, milliseconds(1000), kStart + milliseconds(500)));
    BOOST_TEST(!acceptsNewOperations(kStart, milliseconds(0), kStart));
}

BOOST_AUTO_TEST_CASE(half_of_the_drain_time_counts_as_over_for_a_member_first_seen_leaving)
{
    auto since = estimateLeavingSince(kDrainTime, kStart);
    BOOST_TEST(acceptsNewOperations(since, kDrainTime, kStart + milliseconds(1999)));
    BOOST_TEST(!acceptsNewOperations(since, kDrainTime, kStart + milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()
