// Health from piggybacked statuses, and when a status probe is still needed.
#include "decisions/failover.h"
#include "decisions/health.h"
#include "fixtures.h"
#include <boost/test/unit_test.hpp>

using namespace alderward::decisions;
using fixtures::at;
using fixtures::makeRecord;
using std::chrono::milliseconds;

namespace {

MemberStatus makeStatus(Role role, uint64_t position, milliseconds contactAge)
{
    MemberStatus status;
    status.term = 1;
    status.role = role;
    status.log = { 1, position, { { 1, 1 } } };
    status.primaryContactAge = contactAge;
    return status;
}

// Makes a group of primary a and replicas b and c, all at position 100 and probed at `ms`.
GroupHealth makeGroup(int ms)
{
    auto health = makeHealth(makeRecord(), at(0));
    health = applyStatus(health, 0, makeStatus(Role::Primary, 100, milliseconds(0)), at(ms), at(ms));
    for (size_t i = 1; i < 3; ++i)
        health = applyStatus(health, i, makeStatus(Role::Replica, 100, milliseconds(5)), at(ms), at(ms));
    return health;
}

}

BOOST_AUTO_TEST_SUITE(health)

BOOST_AUTO_TEST_CASE(piggybacked_statuses_keep_staleness_bounds_low)
{
    auto health = makeGroup(0);
    health = applyPiggybackedStatus(health, 0, { 1, 0, { 1, 150 } }, at(200), at(201));
    BOOST_TEST(getStalenessBound(health, 1, 150, at(210))->count() == 210); // no majority was active in the term since
    health = applyPiggybackedStatus(health, 1, { 1, 0, { 1, 150 } }, at(205), at(206));
    BOOST_TEST(getStalenessBound(health, 1, 150, at(210))->count() == 10);
    BOOST_TEST(getStalenessBound(health, 1, 149, at(210))->count() == 210);
    BOOST_TEST(health.members[1].status.log.position == 150u);
}

BOOST_AUTO_TEST_CASE(piggybacked_status_with_changed_terms_is_ignored)
{
    auto health = makeGroup(0);
    for (auto& it : { PiggybackedStatus { 2, 2, { 1, 200 } }, PiggybackedStatus { 1, 2, { 1, 200 } }, PiggybackedStatus { 1, 0, { 2, 200 } } }) {
        BOOST_TEST(!matchesLastStatus(health.members[1], it));
        BOOST_TEST((applyPiggybackedStatus(health, 1, it, at(200), at(201)) == health));
    }
    auto failing = applyProbeFailure(health, 1, false, at(100));
    BOOST_TEST((applyPiggybackedStatus(failing, 1, { 1, 0, { 1, 200 } }, at(200), at(201)) == failing));
    BOOST_TEST((applyPiggybackedStatus(health, 1, { 1, 0, { 1, 200 } }, at(-1), at(201)) == health)); // sent before the last answered request
}

// Replies to statements do not report the contact with the primary, so they must not refresh its age.
BOOST_AUTO_TEST_CASE(piggybacked_status_does_not_refresh_contact_with_the_primary)
{
    auto health = makeGroup(0);
    for (int ms = 100; ms <= 900; ms += 100)
        health = applyProbeFailure(health, 0, false, at(ms));
    for (size_t i = 1; i < 3; ++i)
        health = applyPiggybackedStatus(health, i, { 1, 0, { 1, 100 } }, at(890), at(891));
    auto record = makeRecord();
    FailoverContext context { record, health, std::vector<bool>(3), 0, {} };
    BOOST_TEST(getPrimaryDownReason(context, at(900)).empty()); // contact is not known
    for (size_t i = 1; i < 3; ++i)
        health = applyStatus(health, i, makeStatus(Role::Replica, 100, milliseconds(880)), at(895), at(896));
    BOOST_TEST(!getPrimaryDownReason(context, at(900)).empty());
}

BOOST_AUTO_TEST_CASE(status_probe_is_due_when_other_replies_stop)
{
    ProbeTimings timings;
    auto health = makeGroup(0);
    BOOST_TEST((getNextProbeTime(health, 1, at(0), timings) == at(100)));
    health = applyPiggybackedStatus(health, 1, { 1, 0, { 1, 120 } }, at(80), at(81));
    BOOST_TEST((getNextProbeTime(health, 1, at(0), timings) == at(180)));
    BOOST_TEST((getNextProbeTime(health, 2, at(0), timings) == at(100)));
    health = applyPiggybackedStatus(health, 0, { 1, 0, { 1, 120 } }, at(80), at(81));
    BOOST_TEST((getNextProbeTime(health, 0, at(0), timings) == at(130))); // half an interval for the primary
    health = applyPiggybackedStatus(health, 1, { 1, 0, { 1, 130 } }, at(950), at(951));
    BOOST_TEST((getNextProbeTime(health, 1, at(0), timings) == at(1000))); // at least one status probe per full interval
}

BOOST_AUTO_TEST_CASE(first_home_alone_probes_an_idle_group_at_full_rate_while_it_is_healthy)
{
    ProbeTimings timings;
    timings.isIdle = true;
    auto health = makeGroup(0);
    BOOST_TEST((getNextProbeTime(health, 0, at(0), timings) == at(1000)));
    timings.isFirstHome = true;
    BOOST_TEST((getNextProbeTime(health, 0, at(0), timings) == at(100)));
    BOOST_TEST((getNextProbeTime(health, 1, at(0), timings) == at(1000)));
    auto failing = applyProbeFailure(health, 0, true, at(100));
    BOOST_TEST(!isGroupHealthy(failing));
    BOOST_TEST((getNextProbeTime(failing, 0, at(100), timings) == at(140)));
    BOOST_TEST((getNextProbeTime(failing, 1, at(0), timings) == at(100)));
}

BOOST_AUTO_TEST_CASE(frequent_replies_do_not_evict_checkpoints_that_lagging_replicas_need)
{
    auto health = makeGroup(0);
    for (int ms = 1; ms <= 5000; ++ms) {
        auto position = 100U + static_cast<unsigned>(ms);
        health = applyPiggybackedStatus(health, 0, { 1, 0, { 1, position } }, at(ms), at(ms));
        health = applyPiggybackedStatus(health, 1, { 1, 0, { 1, position } }, at(ms), at(ms));
    }
    // A replica that lags by 4 s still has a bound, precise to the checkpoint interval.
    auto age = getStalenessBound(health, 1, 1100, at(5000));
    BOOST_REQUIRE(age.has_value());
    BOOST_TEST(age->count() >= 4000);
    BOOST_TEST(age->count() <= 4000 + kFreshnessCheckpointInterval.count());
}

BOOST_AUTO_TEST_SUITE_END()
