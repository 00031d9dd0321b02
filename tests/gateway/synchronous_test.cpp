// Groups with a synchronous replica. Guards against the promotion of a member that lacks an acknowledged commit: the platform can carry out an order
// seconds after it was sent, and a primary can acknowledge commits to hosts that the coordinator does not reach.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <mutex>
#include <set>

using namespace harness;
using Clock = std::chrono::steady_clock;

namespace {

constexpr unsigned kHosts = 3;
constexpr unsigned kWritersPerHost = 2;
constexpr milliseconds kWriterPause { 5 }; // between two writes of a writer
constexpr milliseconds kOrderDelay { 3000 }; // until an unanswered order is carried out
constexpr milliseconds kPromotionTime { 300 }; // from the execution of an order until the member leads
constexpr milliseconds kSlowReplica { 400 }; // until it receives a commit; less than a coordinator waits for it
constexpr milliseconds kRecoveryLimit { 12000 }; // a change of primary is over within this
constexpr milliseconds kLongestRepetition { 950 }; // between two repetitions of an unanswered order
constexpr milliseconds kRelianceTime { 2500 }; // longer than a host relies on an answer to a ping
constexpr milliseconds kLongestHold { 1800 }; // of writes by a handover
constexpr milliseconds kRestartInterval { 150 }; // of a replica that goes down and up in a series
constexpr milliseconds kObservedTime { 1500 }; // in which an order is unanswered and writes are no longer held

RigOptions makeOptions(bool hasProxies = false)
{
    RigOptions options;
    options.hosts = kHosts;
    options.hasProxies = hasProxies;
    options.hasDirectOrders = true;
    options.synchronousReplicas = { 1 };
    return options;
}

class SynchronousGroup {
public:
    explicit SynchronousGroup(bool hasProxies = false)
        : rig(makeOptions(hasProxies))
    {
        rig.startHosts();
        rig.call([&] {
            rig.getGroup().getFaults("g0-b").lag = milliseconds(30);
            rig.getGroup().getFaults("g0-c").lag = milliseconds(10);
            rig.getStore().faults.promotionDelay = kPromotionTime;
        });
        for (unsigned i = 0; i < kHosts; ++i)
            BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return canWrite(i); }));
    }

    bool canWrite(unsigned host) { return LineCaller(rig.getCallerAddress(host), "db0-primary").ask("WRITE x 1").isOk(); }

    void startWriters()
    {
        for (unsigned i = 0; i < kHosts * kWritersPerHost; ++i)
            m_writers.emplace_back([this, i](std::stop_token stop) { write(i, stop); });
    }

    // Writes to a member itself, as a host does that the others do not reach.
    void startDirectWriter(const std::string& member)
    {
        m_writers.emplace_back([this, member](std::stop_token stop) {
            LineCaller caller(rig.call([&] { return rig.getGroup().getAddress(member); }), "g0");
            for (int n = 0; !stop.stop_requested(); ++n) {
                recordAnswer(caller, caller.ask(fmt::format("WRITE direct-{} 1", n), milliseconds(2000)));
                std::this_thread::sleep_for(kWriterPause);
            }
        });
    }

    void stopWriters() { m_writers.clear(); }

    std::string getPrimary()
    {
        return rig.call([&] { return rig.getGroup().getPrimary(); });
    }

    // Sends the command to a replica, as a host does.
    void suspend(const std::string& member, uint64_t term)
    {
        LineCaller caller(rig.call([&] { return rig.getGroup().getAddress(member); }), "g0");
        BOOST_REQUIRE(caller.ask(fmt::format("SUSPEND {}", term)).isOk());
    }

    size_t countSuspended()
    {
        return rig.call([&] { return static_cast<size_t>(std::ranges::count_if(rig.getGroup().getIds(), [&](auto& id) { return rig.getGroup().getSuspendedFor(id) != 0; })); });
    }

    // The promoted member holds what was acknowledged, all hosts are served, and no replica stays suspended.
    void checkRecovered(const std::string& previous)
    {
        checkServed(previous);
        checkNothingLost();
    }

    void checkServed(const std::string& previous)
    {
        BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return getPrimary() != previous; }));
        for (unsigned i = 0; i < kHosts; ++i)
            BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return rig.getHost(i).isRunning() && canWrite(i); }), "host " << i << " does not serve writes");
        BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return countSuspended() == 0; }));
    }

    // A replica that nobody could suspend in time has received commits alone: members acknowledged them, but no caller was told so.
    void checkNothingLostToCallers()
    {
        std::lock_guard lock(m_mutex);
        for (auto& it : rig.call([&] { return rig.getGroup().getLostCommits(); }))
            BOOST_TEST(!m_acknowledgedIds.contains(it.statement), it.statement << " was acknowledged to its caller, and the log of the promoted " << it.promoted << " lacks it");
        BOOST_TEST(acknowledged > 5);
    }

    void checkNothingLost()
    {
        for (auto& it : rig.call([&] { return rig.getGroup().getLostCommits(); }))
            BOOST_ERROR(it.statement << " was acknowledged, and the log of the promoted " << it.promoted << " lacks it");
        BOOST_TEST(acknowledged > 5);
    }

    void setOrdersLate(bool areLate)
    {
        rig.call([&] { rig.getStore().faults.unansweredOrderDelay = areLate ? kOrderDelay : milliseconds(0); });
    }

    void setLeaving(const std::string& member, bool isLeaving)
    {
        rig.call([&] { rig.getStore().setLeaving(member, isLeaving); });
    }

    // A replica that starts is the first to receive commits.
    void setSlowSuccessors()
    {
        rig.call([&] {
            rig.getGroup().getFaults("g0-b").lag = milliseconds(60);
            rig.getGroup().getFaults("g0-c").lag = milliseconds(60);
        });
    }

    // Takes the suspended replica down and up again in a series, with its log.
    void restartSuspendedReplica(milliseconds time)
    {
        auto suspended = rig.call([&] {
            auto id = rig.getGroup().getSuspendedFor("g0-b") != 0 ? "g0-b" : "g0-c";
            rig.getGroup().getFaults(id).lag = milliseconds(1);
            return id;
        });
        for (auto until = Clock::now() + time; Clock::now() < until; std::this_thread::sleep_for(kRestartInterval)) {
            rig.call([&] {
                rig.getGroup().kill(suspended);
                rig.getGroup().start(suspended);
                rig.getStore().registerMembers();
            });
        }
    }

    // Blocks the connections that other hosts open to the isolated ones.
    void isolateHosts(const std::function<bool(unsigned host)>& isIsolated)
    {
        rig.call([&] {
            for (unsigned i = 0; i < kHosts; ++i) {
                auto& proxy = *rig.getProxies()[3 * i + 2]; // before the address for other hosts
                proxy.faults.dropsUpstream = proxy.faults.dropsDownstream = isIsolated(i);
                proxy.resetAll();
            }
        });
    }

    bool waitForEvent(const std::string& event, milliseconds limit = milliseconds(6000))
    {
        return waitUntil(limit, [&] { return rig.countEvents(event) > 0; });
    }

    // Number of writes acknowledged within the time.
    int countAcknowledgedWithin(milliseconds time)
    {
        int before = acknowledged;
        std::this_thread::sleep_for(time);
        return acknowledged - before;
    }

    GatewayRig rig;
    std::atomic<int> acknowledged { 0 };

private:
    void recordAnswer(const LineCaller& caller, const LineAnswer& answer)
    {
        if (!answer.isOk())
            return;
        ++acknowledged;
        std::lock_guard lock(m_mutex);
        m_acknowledgedIds.insert(caller.getLastId());
    }

    void write(unsigned i, const std::stop_token& stop)
    {
        std::unique_ptr<LineCaller> caller;
        for (int n = 0; !stop.stop_requested(); ++n) {
            if (!caller)
                caller = std::make_unique<LineCaller>(rig.getCallerAddress(i % kHosts), "db0-primary");
            auto answer = caller->ask(fmt::format("WRITE item-{}-{} 1", i, n), milliseconds(2000));
            recordAnswer(*caller, answer);
            if (answer.state != "I")
                caller.reset();
            std::this_thread::sleep_for(kWriterPause);
        }
    }

    std::mutex m_mutex;
    std::set<std::string> m_acknowledgedIds; // of statements, as callers were told
    std::vector<std::jthread> m_writers;
};

}

BOOST_AUTO_TEST_SUITE(synchronous_replicas)

// Writes are served while the order is unanswered, as only the successor receives them.
BOOST_AUTO_TEST_CASE(a_handover_order_carried_out_late_loses_no_acknowledged_commit)
{
    SynchronousGroup group;
    group.startWriters();
    group.setOrdersLate(true);
    group.setLeaving("g0-a", true);
    BOOST_TEST(group.waitForEvent("promotion-ordered"));
    std::this_thread::sleep_for(milliseconds(1200)); // writes are held for the usual handover
    BOOST_TEST(group.countAcknowledgedWithin(milliseconds(500)) > 5);
    std::this_thread::sleep_for(kObservedTime);
    group.setOrdersLate(false);
    std::this_thread::sleep_for(kObservedTime);
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// Members that do not know the command: writes wait until the order has been carried out.
BOOST_AUTO_TEST_CASE(a_late_order_loses_no_acknowledged_commit_if_members_cannot_be_suspended)
{
    SynchronousGroup group;
    group.rig.call([&] {
        for (auto& id : group.rig.getGroup().getIds())
            group.rig.getGroup().getFaults(id).refusesSuspension = true;
    });
    group.startWriters();
    group.setOrdersLate(true);
    group.setLeaving("g0-a", true);
    BOOST_TEST(group.waitForEvent("promotion-ordered"));
    std::this_thread::sleep_for(kOrderDelay);
    group.setOrdersLate(false);
    std::this_thread::sleep_for(kObservedTime);
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// The next coordinator does not know how many orders were sent. It promotes the same member.
BOOST_AUTO_TEST_CASE(a_late_order_of_a_coordinator_that_died_loses_no_acknowledged_commit)
{
    for (bool canSuspend : { true, false }) {
        SynchronousGroup group;
        group.rig.call([&] {
            for (auto& id : group.rig.getGroup().getIds())
                group.rig.getGroup().getFaults(id).refusesSuspension = !canSuspend;
        });
        auto coordinator = group.rig.findFirstCoordinator();
        group.startWriters();
        group.setOrdersLate(true);
        group.setLeaving("g0-a", true);
        BOOST_TEST(group.waitForEvent("promotion-ordered"));
        group.rig.getHost(coordinator).kill();
        std::this_thread::sleep_for(kObservedTime);
        group.rig.startHost(coordinator);
        std::this_thread::sleep_for(kOrderDelay);
        group.setOrdersLate(false);
        std::this_thread::sleep_for(kObservedTime);
        group.stopWriters();
        group.checkRecovered("g0-a");
    }
}

// No host remembers the order. The suspended replica shows that there may be one, and for which member.
BOOST_AUTO_TEST_CASE(a_late_order_loses_no_acknowledged_commit_after_all_hosts_were_killed)
{
    SynchronousGroup group;
    group.startWriters();
    group.setOrdersLate(true);
    group.setLeaving("g0-a", true);
    BOOST_TEST(group.waitForEvent("promotion-ordered"));
    for (unsigned i = 0; i < kHosts; ++i)
        group.rig.getHost(i).kill();
    group.setLeaving("g0-a", false);
    for (unsigned i = 0; i < kHosts; ++i)
        group.rig.startHost(i);
    std::this_thread::sleep_for(kOrderDelay + kObservedTime);
    group.setOrdersLate(false);
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// No host remembers the order, and the replica that was suspended for it has restarted. Only the coordinator record still tells of it.
BOOST_AUTO_TEST_CASE(a_late_order_is_known_after_all_hosts_and_the_suspended_replica_have_restarted)
{
    SynchronousGroup group;
    group.startWriters();
    group.setSlowSuccessors();
    group.rig.call([&] { group.rig.getStore().faults.unansweredOrderDelay = 2 * kOrderDelay; });
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    for (unsigned i = 0; i < kHosts; ++i)
        group.rig.getHost(i).kill();
    group.setLeaving("g0-a", false);
    group.restartSuspendedReplica(kRestartInterval);
    for (unsigned i = 0; i < kHosts; ++i)
        group.rig.startHost(i);
    std::this_thread::sleep_for(2 * kOrderDelay);
    group.setOrdersLate(false);
    std::this_thread::sleep_for(kObservedTime);
    group.stopWriters();
    group.checkServed("g0-a");
    group.checkNothingLostToCallers();
}

// A host that has ended is listed until its lease is over, but relies on no answer any more. The order waited 3.2 s for it, and writes were not held so long.
BOOST_AUTO_TEST_CASE(an_order_does_not_wait_for_a_host_that_ended_before)
{
    SynchronousGroup group;
    auto coordinator = group.rig.findFirstCoordinator();
    group.rig.getHost((coordinator + 1) % kHosts).kill();
    std::this_thread::sleep_for(kRelianceTime);
    group.setLeaving("g0-a", true);
    BOOST_TEST(waitUntil(kLongestHold + kPromotionTime, [&] { return group.getPrimary() != "g0-a"; }));
}

// The order cannot be taken back, so the handover is completed.
BOOST_AUTO_TEST_CASE(a_late_order_loses_no_acknowledged_commit_if_the_primary_stops_leaving)
{
    SynchronousGroup group;
    group.startWriters();
    group.setOrdersLate(true);
    group.setLeaving("g0-a", true);
    BOOST_TEST(group.waitForEvent("promotion-ordered"));
    group.setLeaving("g0-a", false);
    std::this_thread::sleep_for(kOrderDelay + kObservedTime);
    group.setOrdersLate(false);
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// The order is not repeated for the member, which holds nothing any more. Another one is promoted once it holds what the primary has.
BOOST_AUTO_TEST_CASE(a_member_that_lost_its_log_after_an_unanswered_order_is_not_promoted)
{
    SynchronousGroup group;
    group.startWriters();
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts = { "h0", "h1", "h2" }; });
    group.setLeaving("g0-a", true);
    BOOST_TEST(group.waitForEvent("promotion-ordered"));
    std::this_thread::sleep_for(kObservedTime); // writes are no longer held
    group.rig.call([&] {
        auto& members = group.rig.getGroup();
        auto successor = members.getSuspendedFor("g0-b") == 0 ? "g0-b" : "g0-c";
        members.restartEmpty(successor);
        members.getFaults(successor).isReplicationStopped = true;
        group.rig.getStore().registerMembers();
    });
    std::this_thread::sleep_for(kObservedTime);
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts.clear(); });
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return group.getPrimary() != "g0-a"; }));
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// Hosts learn of the restart from the store, later than the order is repeated. Lost the whole log.
BOOST_AUTO_TEST_CASE(an_order_is_not_repeated_for_a_member_whose_lost_log_is_not_known_yet)
{
    SynchronousGroup group;
    group.startWriters();
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts = { "h0", "h1", "h2" }; });
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    group.rig.call([&] {
        auto& members = group.rig.getGroup();
        auto successor = members.getSuspendedFor("g0-b") == 0 ? "g0-b" : "g0-c";
        members.restartEmpty(successor);
        members.getFaults(successor).isReplicationStopped = true;
        group.rig.getStore().faults.ignoredHosts.clear();
    });
    std::this_thread::sleep_for(kObservedTime);
    BOOST_TEST(group.getPrimary() == "g0-a");
    group.rig.call([&] {
        for (auto& id : group.rig.getGroup().getIds())
            group.rig.getGroup().getFaults(id).isReplicationStopped = false;
        group.rig.getStore().registerMembers();
    });
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return group.getPrimary() != "g0-a"; }));
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// As left behind by a host that died before it had sent an order, and of which no other host knows. The successor holds what the suspended replica has, so
// an order for it may have been sent.
BOOST_AUTO_TEST_CASE(a_suspension_that_no_host_knows_of_is_ended)
{
    SynchronousGroup group;
    group.startWriters();
    std::this_thread::sleep_for(kObservedTime); // the coordinator has begun to act before
    group.suspend("g0-c", 2);
    BOOST_TEST(group.countSuspended() == 1u);
    BOOST_TEST(waitUntil(2 * kRecoveryLimit, [&] { return group.countSuspended() == 0; }));
    std::this_thread::sleep_for(milliseconds(500));
    group.stopWriters();
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(group.canWrite(i));
    group.checkNothingLost();
}

// The other replica restarts, receives commits again and acknowledges them long before the successor has them.
BOOST_AUTO_TEST_CASE(an_order_is_not_repeated_before_the_successor_holds_what_a_restarted_replica_has)
{
    SynchronousGroup group;
    group.startWriters();
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts = { "h0", "h1", "h2" }; });
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    std::this_thread::sleep_for(kObservedTime); // writes are no longer held
    group.rig.call([&] {
        auto& members = group.rig.getGroup();
        bool isFirst = members.getSuspendedFor("g0-b") == 0;
        members.getFaults(isFirst ? "g0-b" : "g0-c").lag = kSlowReplica;
        members.restartEmpty(isFirst ? "g0-c" : "g0-b");
        group.rig.getStore().registerMembers();
    });
    std::this_thread::sleep_for(milliseconds(100));
    group.rig.call([&] {
        group.rig.getStore().faults.promotionDelay = milliseconds(0);
        group.rig.getStore().faults.ignoredHosts.clear();
    });
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return group.getPrimary() != "g0-a"; }));
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// Nobody can suspend it before it has received its first commit, and it acknowledges that before the successor has it. Lost two to five commits.
BOOST_AUTO_TEST_CASE(a_new_replica_acknowledges_nothing_that_a_late_order_loses)
{
    SynchronousGroup group;
    group.startWriters();
    group.setSlowSuccessors();
    group.setOrdersLate(true);
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    std::this_thread::sleep_for(kOrderDelay - kLongestRepetition);
    group.rig.call([&] { group.rig.addMember(0); });
    std::this_thread::sleep_for(kLongestRepetition + kObservedTime);
    group.setOrdersLate(false);
    std::this_thread::sleep_for(kObservedTime);
    group.stopWriters();
    group.checkServed("g0-a");
    group.checkNothingLostToCallers();
}

// The same for a suspended replica that is back with its log, and receives commits again until it is suspended anew.
BOOST_AUTO_TEST_CASE(a_suspended_replica_that_restarts_acknowledges_nothing_that_a_late_order_loses)
{
    SynchronousGroup group;
    group.startWriters();
    group.setSlowSuccessors();
    group.setOrdersLate(true);
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    group.restartSuspendedReplica(kOrderDelay);
    group.setOrdersLate(false);
    std::this_thread::sleep_for(kObservedTime);
    group.stopWriters();
    group.checkServed("g0-a");
    group.checkNothingLostToCallers();
}

// Its answer shows a position of the new term, which the new primary reaches without the commit.
BOOST_AUTO_TEST_CASE(a_commit_is_in_doubt_if_its_primary_acknowledges_it_after_it_has_lost_its_lead)
{
    SynchronousGroup group;
    group.startWriters();
    group.setSlowSuccessors();
    group.rig.call([&] { group.rig.getGroup().setAcknowledgesLate(true); });
    group.setOrdersLate(true);
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    std::this_thread::sleep_for(kOrderDelay + kObservedTime);
    group.setOrdersLate(false);
    std::this_thread::sleep_for(kObservedTime);
    group.stopWriters();
    group.checkServed("g0-a");
    group.checkNothingLostToCallers();
}

// Giving up a status query to it ends the wait of some commits, while others are being looked at.
BOOST_AUTO_TEST_CASE(hosts_survive_a_member_of_an_order_that_stops_answering)
{
    SynchronousGroup group;
    group.startWriters();
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts = { "h0", "h1", "h2" }; });
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    std::this_thread::sleep_for(kObservedTime);
    auto successor = group.rig.call([&] { return std::string(group.rig.getGroup().getSuspendedFor("g0-b") == 0 ? "g0-b" : "g0-c"); });
    for (int i = 0; i < 3; ++i) {
        group.rig.call([&] { group.rig.getGroup().getFaults(successor).isUnresponsive = true; });
        std::this_thread::sleep_for(kObservedTime);
        group.rig.call([&] { group.rig.getGroup().getFaults(successor).isUnresponsive = false; });
        std::this_thread::sleep_for(milliseconds(200));
    }
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(group.rig.getHost(i).isRunning());
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts.clear(); });
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return group.getPrimary() != "g0-a"; }));
    group.stopWriters();
    group.checkServed("g0-a");
    group.checkNothingLostToCallers();
}

// Hosts that are cut off from some or all others still reach the primary. One that the coordinator cannot connect to learns of the order from the answers
// to its pings; one that reaches nobody cannot know that there is none.
BOOST_AUTO_TEST_CASE(hosts_that_were_not_told_of_a_late_order_acknowledge_nothing_that_it_loses)
{
    for (bool areAllIsolated : { false, true }) {
        SynchronousGroup group(true);
        auto coordinator = group.rig.findFirstCoordinator();
        group.startWriters();
        group.setSlowSuccessors();
        group.setOrdersLate(true);
        group.isolateHosts([&](unsigned host) { return areAllIsolated || host != coordinator; });
        group.setLeaving("g0-a", true);
        BOOST_REQUIRE(group.waitForEvent("promotion-ordered", kRecoveryLimit));
        group.restartSuspendedReplica(kOrderDelay);
        group.isolateHosts([](unsigned) { return false; });
        group.setOrdersLate(false);
        std::this_thread::sleep_for(kObservedTime);
        group.stopWriters();
        group.checkServed("g0-a");
        group.checkNothingLostToCallers();
    }
}

// Resumed too early, it would acknowledge commits that the member of the order has not received yet.
BOOST_AUTO_TEST_CASE(the_other_replica_stays_suspended_while_the_member_of_an_unanswered_order_catches_up)
{
    SynchronousGroup group;
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts = { "h0", "h1", "h2" }; });
    group.setLeaving("g0-a", true);
    BOOST_REQUIRE(group.waitForEvent("promotion-ordered"));
    group.rig.call([&] {
        group.rig.getGroup().restartEmpty(group.rig.getGroup().getSuspendedFor("g0-b") == 0 ? "g0-b" : "g0-c");
        group.rig.getStore().registerMembers();
    });
    auto until = Clock::now() + kOrderDelay;
    size_t resumed = 0;
    while (Clock::now() < until) {
        resumed += group.countSuspended() == 0 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(2));
    }
    BOOST_TEST(resumed == 0u);
    group.startWriters();
    group.rig.call([&] { group.rig.getStore().faults.ignoredHosts.clear(); });
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return group.getPrimary() != "g0-a"; }));
    std::this_thread::sleep_for(milliseconds(500));
    group.stopWriters();
    group.checkRecovered("g0-a");
}

// A refused order is not carried out later, so the replicas receive commits again.
BOOST_AUTO_TEST_CASE(replicas_are_resumed_after_a_refused_order)
{
    SynchronousGroup group;
    group.startWriters();
    group.rig.call([&] { group.rig.getStore().faults.refusesPromotions = true; });
    group.setLeaving("g0-a", true);
    BOOST_TEST(group.waitForEvent("promotion-ordered"));
    group.setLeaving("g0-a", false);
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return group.countSuspended() == 0; }));
    group.rig.call([&] { group.rig.getStore().faults.refusesPromotions = false; });
    std::this_thread::sleep_for(kObservedTime);
    group.stopWriters();
    BOOST_TEST(group.getPrimary() == "g0-a");
    BOOST_TEST(group.countSuspended() == 0u);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(group.canWrite(i));
    group.checkNothingLost();
}

// No host of the rig reaches the primary, which still acknowledges commits to another one until the promoted member leads. Both replicas hold the
// same when they are compared; the one that is not promoted is the first to receive later commits.
BOOST_AUTO_TEST_CASE(a_failover_loses_no_commit_that_a_live_primary_acknowledges)
{
    for (bool areOrdersLate : { false, true }) {
        SynchronousGroup group(true);
        group.setOrdersLate(areOrdersLate);
        auto& proxies = group.rig.getProxies();
        auto& primary = *proxies[proxies.size() - 3]; // the proxies of the members are the last ones
        group.rig.call([&] {
            primary.faults.dropsUpstream = primary.faults.dropsDownstream = true;
            primary.resetAll();
        });
        BOOST_TEST(group.waitForEvent("promotion-evidence", kRecoveryLimit));
        group.startDirectWriter("g0-a");
        if (areOrdersLate)
            std::this_thread::sleep_for(kOrderDelay + kObservedTime);
        group.setOrdersLate(false);
        group.checkRecovered("g0-a");
        group.stopWriters();
        group.checkNothingLost();
    }
}

// Groups without synchronous replicas are served as before.
BOOST_AUTO_TEST_CASE(replicas_of_an_asynchronous_group_are_never_suspended)
{
    GatewayRig rig;
    rig.startHosts();
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a"; }));
    BOOST_TEST(rig.countEvents("replication") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
