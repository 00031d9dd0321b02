// Scheduling order of statements at a busy member, and its effect on a sustained overload simulated in virtual time.
#include "decisions/scheduling.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace alderward;
using namespace alderward::decisions;

namespace {

TimePoint at(double ms) { return TimePoint(std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(1e6 + ms))); }

struct LoadProfile {
    double workMs { 15 };
    unsigned slots { 3 };
    double load { 1.3 }; // arrival rate as a multiple of the member's capacity
    double objectiveMs { 500 };
    double deadlineMs { 800 };
};

struct Served {
    unsigned inTime { 0 };
    unsigned late { 0 };
    unsigned refused { 0 };
    double capacity { 0 }; // number of statements that the member can execute in the simulated time
};

// Simulates 20 seconds with exponential interarrival and execution times; a free slot takes the next statement in scheduling order.
Served simulate(const LoadProfile& profile)
{
    std::mt19937 random(7); // fixed seed, for a reproducible result
    std::exponential_distribution<double> gap(profile.load * profile.slots / profile.workMs);
    std::exponential_distribution<double> work(1 / profile.workMs);
    constexpr double kEndMs = 20000;
    Served served;
    served.capacity = kEndMs * profile.slots / profile.workMs;
    std::vector<double> freeAt(profile.slots, 0);
    std::vector<SchedulingParameters> waiting;
    double arrival = gap(random);
    for (double now = 0; now < kEndMs;) {
        auto slot = std::ranges::min_element(freeAt);
        if (arrival <= *slot || waiting.empty()) {
            now = arrival;
            waiting.push_back({ false, 0, at(now + profile.objectiveMs), at(now + profile.deadlineMs) });
            arrival += gap(random);
            continue;
        }
        now = std::max(now, *slot);
        auto next = std::ranges::min_element(waiting, [&](const SchedulingParameters& a, const SchedulingParameters& b) { return isScheduledBefore(a, b, at(now), profile.workMs); });
        auto statement = *next;
        waiting.erase(next);
        if (!isWorthSending(statement, at(now), profile.workMs)) {
            ++served.refused;
            continue;
        }
        *slot = now + work(random);
        ++(at(*slot) <= statement.objective ? served.inTime : served.late);
    }
    return served;
}

}

BOOST_AUTO_TEST_SUITE(scheduling)

BOOST_AUTO_TEST_CASE(order_is_continuation_then_feasibility_then_priority_then_objective)
{
    auto now = at(0);
    SchedulingParameters soon { false, 1, at(100), at(1000) };
    SchedulingParameters later { false, 1, at(200), at(1000) };
    SchedulingParameters urgent { false, 0, at(300), at(1000) };
    SchedulingParameters missed { false, 0, at(10), at(1000) };
    SchedulingParameters continuation { true, 5, at(10), at(1000) };
    BOOST_TEST(isScheduledBefore(soon, later, now, 10));
    BOOST_TEST(isScheduledBefore(urgent, soon, now, 10));
    BOOST_TEST(isScheduledBefore(later, missed, now, 10));
    BOOST_TEST(isScheduledBefore(continuation, urgent, now, 10));
    BOOST_TEST(!isScheduledBefore(soon, soon, now, 10));
}

BOOST_AUTO_TEST_CASE(a_statement_that_cannot_be_answered_in_time_is_rejected)
{
    SchedulingParameters statement { false, 0, at(500), at(1000) };
    BOOST_TEST(canStartInTime(statement, 100, 3, at(0), 15)); // 500 ms of waiting
    BOOST_TEST(!canStartInTime(statement, 200, 3, at(0), 15)); // 1000 ms
    statement.isContinuation = true;
    BOOST_TEST(canStartInTime(statement, 200, 3, at(0), 15));
    BOOST_TEST(isWorthSending(statement, at(900), 15));
    BOOST_TEST(!isWorthSending(statement, at(990), 15));
}

// Guards against an estimate that hanging statements raise so far that all other statements are refused.
BOOST_AUTO_TEST_CASE(typical_time_ignores_a_minority_of_hanging_statements)
{
    std::mt19937 random(7);
    std::exponential_distribution<double> work(1 / 15.0);
    double workMs = 10;
    for (int i = 0; i < 500; ++i)
        workMs = updateWorkTime(workMs, work(random));
    BOOST_TEST(workMs > 10);
    BOOST_TEST(workMs < 20);
    double highest = 0;
    for (int i = 0; i < 500; ++i) {
        workMs = updateWorkTime(workMs, i % 5 < 2 ? 800 : work(random));
        highest = std::max(highest, workMs);
    }
    BOOST_TEST(highest < 75);
    for (int i = 0; i < 100; ++i)
        workMs = updateWorkTime(workMs, 4 * work(random)); // all statements are slow
    BOOST_TEST(workMs > 40);
}

// Guards against a schedule that answers every statement just after its objective.
BOOST_AUTO_TEST_CASE(sustained_overload_still_meets_objectives_for_most_of_the_capacity)
{
    for (double load : { 1.15, 1.3, 2.0 }) {
        auto served = simulate({ .load = load });
        BOOST_TEST_CONTEXT("load " << load << ": " << served.inTime << " in time, " << served.late << " late, " << served.refused << " refused of " << served.capacity)
        BOOST_TEST(served.inTime > 0.85 * served.capacity);
    }
    BOOST_TEST(simulate({ .load = 0.7 }).late < 0.01 * simulate({ .load = 0.7 }).capacity);
}

// Guards against a new objective for each statement, which schedules a transaction that has used up its time behind one that has just begun.
BOOST_AUTO_TEST_CASE(the_objective_covers_all_statements_of_a_transaction)
{
    SchedulingParameters used { true, 0, getObjectiveEnd(at(500), milliseconds(600), milliseconds(400)), at(1300) };
    SchedulingParameters fresh { true, 0, getObjectiveEnd(at(490), milliseconds(600), milliseconds(0)), at(1290) };
    BOOST_TEST(isScheduledBefore(used, fresh, at(500), 10));
    BOOST_TEST((getObjectiveEnd(at(500), milliseconds(600), milliseconds(900)) == at(200))); // missed
}

BOOST_AUTO_TEST_SUITE_END()
