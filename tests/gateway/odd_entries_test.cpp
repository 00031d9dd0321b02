// Entries of another writer among those of the members: odd in any way, large, many. No process may end, a change made after them must be in force everywhere in
// time, and members whose entries are sound must be served.
#include "harness/gateway_rig.h"
#include "standins/odd_entries.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace harness;

namespace {

constexpr milliseconds kApplyLimit { 3000 }; // from the write of a version until it is in force everywhere
constexpr unsigned kRelayHosts = 21; // seven in each data centre: the minimum for relays
constexpr size_t kLargestValue = 1048576; // bytes, the platform's limit of a value
constexpr milliseconds kNarrowLinkDelay { 13 }; // for each 16 KiB: 10 Mbit/s
constexpr milliseconds kNarrowApplyLimit { 5000 }; // with such a link, which takes 1.1 s for the largest value
constexpr size_t kMaxMemoryKb = 112 * 1024; // of the smallest host

const std::string kSoundMember = R"({"Service":"g0","Address":"127.0.0.1:1","Zone":"dc-a","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"DbRole":"replica","Sequence":7,"born":1788999999000})";
const std::string kSoundHost = R"({"address":"127.0.0.1:1","dataCentre":"dc-a","incarnation":7})";
const std::string kSoundRecord = R"({"orderers":[{"host":"h0","incarnation":7}],"firstToken":3001})";

void put(GatewayRig& rig, const std::string& key, const std::string& value)
{
    rig.call([&] { rig.getStore().put(key, value); });
}

// Writes `count` odd values under keys of members, hosts and coordinator records.
void putOddEntries(GatewayRig& rig, std::mt19937& random, unsigned count)
{
    for (unsigned i = 0; i < count; ++i) {
        auto number = random() % 40; // some keys are written again
        auto kind = random() % 8;
        if (kind < 6)
            put(rig, fmt::format("servers/odd-{}", number), standins::makeOddValue(random, kSoundMember));
        else if (kind == 6)
            put(rig, fmt::format("alderward/hosts/odd-{}", number), standins::makeOddValue(random, kSoundHost));
        else
            put(rig, fmt::format("alderward/succession/odd-{}", number), standins::makeOddValue(random, kSoundRecord));
    }
}

// Writes a new version and checks that it is in force on all hosts in time, and that they serve writes and reads.
void checkThatHostsFollow(GatewayRig& rig, unsigned hosts, uint64_t version, milliseconds limit = kApplyLimit)
{
    auto database = fmt::format("added-{}", version);
    rig.configure(version, 1500, database);
    auto until = std::chrono::steady_clock::now() + limit;
    for (unsigned i = 0; i < hosts; ++i) {
        auto left = std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
        BOOST_TEST(rig.waitUntilConfigured(i, version, std::max(left, milliseconds(1))), "host " << i << " has not version " << version << " in force in time");
    }
    for (unsigned i = 0; i < hosts; ++i) {
        BOOST_TEST(LineCaller(rig.getCallerAddress(i), database).ask("WRITE x 1").isOk(), "host " << i);
        BOOST_TEST(LineCaller(rig.getCallerAddress(i), "db0-bounded").ask("READ x").isOk(), "host " << i);
        BOOST_TEST(rig.getHost(i).isRunning(), "host " << i);
    }
    BOOST_TEST(rig.countEvents("task-failed") == 0u);
}

}

BOOST_AUTO_TEST_SUITE(odd_entries)

BOOST_AUTO_TEST_CASE(hosts_follow_after_each_of_many_odd_entries)
{
    GatewayRig rig;
    rig.startHosts();
    std::mt19937 random(58);
    for (uint64_t version = 10; version < 18; ++version) {
        putOddEntries(rig, random, 30);
        checkThatHostsFollow(rig, 3, version);
    }
}

// Guards against a member that runs what an entry says: the entry's texts are fields of the first message on a connection.
BOOST_AUTO_TEST_CASE(no_text_of_an_entry_is_run_by_a_member)
{
    GatewayRig rig;
    rig.startHosts();
    auto address = rig.call([&] { return rig.getGroup().getAddress("g0-a"); });
    const std::string smuggled = "QUERY smuggled WRITE x 666";
    auto format = [&](const std::string& group) { return fmt::format(R"({{"Service":"{}","Address":"{}","Zone":"dc-a","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"DbRole":"primary","Sequence":7,"born":7}})", group, address); };
    put(rig, "servers/odd-1", format("g0 h0\\r\\n" + smuggled + "\\r\\n"));
    put(rig, "servers/odd-2\r\n" + smuggled + "\r\n", format("g0"));
    put(rig, "servers/odd-3\r\n" + smuggled, format("g0"));
    checkThatHostsFollow(rig, 3, 10);
    std::this_thread::sleep_for(milliseconds(1500)); // a claim to be the primary is verified meanwhile
    auto ran = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
    BOOST_TEST(std::ranges::count(ran, "smuggled", &standins::ExecutedStatement::id) == 0);
}

BOOST_AUTO_TEST_CASE(hosts_that_start_among_odd_entries_serve)
{
    GatewayRig rig;
    std::mt19937 random(59);
    putOddEntries(rig, random, 200);
    rig.startHosts();
    checkThatHostsFollow(rig, 3, 10);
}

BOOST_AUTO_TEST_CASE(odd_entries_in_the_place_of_a_member_stop_only_that_member)
{
    GatewayRig rig;
    rig.startHosts();
    std::mt19937 random(60);
    for (uint64_t version = 10; version < 14; ++version) {
        for (int i = 0; i < 10; ++i)
            put(rig, "servers/g0-c", standins::makeOddValue(random, kSoundMember));
        checkThatHostsFollow(rig, 3, version);
        rig.call([&] { rig.getStore().registerMembers(); });
        checkThatHostsFollow(rig, 3, version + 10);
        version += 10;
    }
}

BOOST_AUTO_TEST_CASE(hosts_that_receive_odd_entries_through_relays_follow)
{
    RigOptions options;
    options.hosts = kRelayHosts;
    GatewayRig rig(options);
    rig.startHosts();
    std::this_thread::sleep_for(milliseconds(1500)); // hosts follow their relays by then
    std::mt19937 random(61);
    for (uint64_t version = 10; version < 13; ++version) {
        putOddEntries(rig, random, 40);
        checkThatHostsFollow(rig, kRelayHosts, version, milliseconds(5000));
    }
}

// Guards against a group that waits for the word of a member that does not exist: its members have started again, and the entry says that it started before them.
BOOST_AUTO_TEST_CASE(an_entry_of_sound_shape_at_no_members_address_does_not_stop_its_group)
{
    GatewayRig rig;
    rig.call([&] {
        for (auto* id : { "g0-a", "g0-b", "g0-c", "g0-b", "g0-c" }) // the primary first, so that the others cannot tell what it held
            rig.getGroup().restartEmpty(id);
        rig.getStore().registerMembers();
    });
    put(rig, "servers/odd", kSoundMember);
    for (unsigned i = 0; i < 3; ++i)
        rig.startHost(i);
    for (unsigned i = 0; i < 3; ++i) {
        BOOST_TEST(rig.waitReady(i));
        BOOST_TEST(waitUntil(milliseconds(5000), [&] { return LineCaller(rig.getCallerAddress(i), "db0-primary").ask("WRITE x 1").isOk(); }), "host " << i);
    }
}

// Guards against an answer to a watch that is larger than a host reads at once: it would ask for the same changes again, and for more.
BOOST_AUTO_TEST_CASE(large_entries_in_quick_succession_keep_no_change_away)
{
    GatewayRig rig;
    rig.startHosts();
    auto large = std::string(kLargestValue, 'x');
    rig.call([&] {
        for (int i = 0; i < 12; ++i)
            rig.getStore().put("servers/large", large);
    });
    checkThatHostsFollow(rig, 3, 10);
    std::jthread writer([&](std::stop_token stop) {
        while (!stop.stop_requested()) {
            put(rig, "servers/large", large);
            std::this_thread::sleep_for(milliseconds(200));
        }
    });
    for (uint64_t version = 11; version < 14; ++version)
        checkThatHostsFollow(rig, 3, version);
    for (unsigned i = 0; i < 3; ++i) {
        BOOST_TEST(getResidentKb(rig.getHost(i).getId()) < kMaxMemoryKb);
        BOOST_TEST(rig.getLog(i).find("\"event\":\"store-lost\"") == std::string::npos);
    }
}

// Guards against each host reading what another writer's large entry holds, or the whole store, whenever it changes.
BOOST_AUTO_TEST_CASE(hosts_on_relays_read_nothing_when_a_large_entry_changes)
{
    RigOptions options;
    options.hosts = kRelayHosts;
    GatewayRig rig(options);
    rig.startHosts();
    std::this_thread::sleep_for(milliseconds(1500));
    auto sound = kSoundMember;
    sound.insert(1, "\"Added\":\"" + std::string(kLargestValue / 2, 'x') + "\","); // a member that can be used
    constexpr uint64_t kRounds = 4;
    constexpr uint64_t kRelays = 6; // two in each data centre
    constexpr uint64_t kRoundBytes = (4 * kLargestValue + kLargestValue / 2) * 4 / 3; // as Base64
    auto before = rig.call([&] { return rig.getStore().getReadBytes(); });
    for (uint64_t i = 0; i < kRounds; ++i) {
        put(rig, "servers/large", std::string(kLargestValue, 'x'));
        put(rig, "servers/odd-member", sound);
        put(rig, "alderward/hosts/large", std::string(kLargestValue, '['));
        put(rig, "alderward/succession/large", std::string(kLargestValue, '{'));
        put(rig, "another/key", std::string(kLargestValue, 'x'));
        std::this_thread::sleep_for(milliseconds(1200)); // longer than the pause between two watches, so that each brings the changes of one round
    }
    checkThatHostsFollow(rig, kRelayHosts, 10, milliseconds(5000));
    auto bytes = rig.call([&] { return rig.getStore().getReadBytes(); }) - before;
    BOOST_TEST(bytes < (kRelays + 1) * kRounds * kRoundBytes, bytes << " bytes read from the store");
    BOOST_TEST_MESSAGE(bytes << " bytes read from the store");
    for (unsigned i = 0; i < kRelayHosts; ++i)
        BOOST_TEST(rig.getLog(i).find("\"event\":\"member\",\"member\":\"odd-member\"") != std::string::npos, "host " << i);
}

// Guards against calls that take longer than their time limit because of what another writer has put there: the host would ask again from the start, for good.
BOOST_AUTO_TEST_CASE(hosts_on_narrow_links_start_and_follow_beside_a_large_entry)
{
    RigOptions options;
    options.hasProxies = true;
    GatewayRig rig(options);
    put(rig, "servers/large", std::string(kLargestValue, 'x'));
    rig.call([&] {
        for (unsigned i = 0; i < 3; ++i)
            rig.getStoreProxy(i).faults.delay = kNarrowLinkDelay;
    });
    for (unsigned i = 0; i < 3; ++i)
        rig.startHost(i);
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(rig.waitReady(i, milliseconds(8000)));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(8000), [&] { return LineCaller(rig.getCallerAddress(i), "db0-bounded").ask("READ x").isOk(); }));
    for (uint64_t version = 10; version < 13; ++version) {
        put(rig, "servers/large", std::string(kLargestValue, 'y'));
        checkThatHostsFollow(rig, 3, version, kNarrowApplyLimit);
    }
}

BOOST_AUTO_TEST_SUITE_END()
