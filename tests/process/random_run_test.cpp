// Random faults under load, by seed; afterwards the callers' histories and the members' logs must be consistent. Response times
// are not checked. ALDERWARD_SEED and ALDERWARD_SECONDS select other runs, as scripts/long-run does.
#include "harness/harness.h"
#include "links/json_fields.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace harness;
using alderward::links::getString;

namespace {

// A write of a caller, which appends a unique marker to the caller's key.
struct Attempt {
    std::string marker;
    bool wasAcknowledged { false };
    bool isKnownNotRun { false }; // settled as not run, or answered so at its only attempt
};

// What a caller observed of its key. Only this caller appends, so the value is the list of its markers in order.
struct History {
    std::string group;
    std::string key;
    std::vector<Attempt> attempts;
    std::vector<std::string> violations;
};

std::string getMarker(const std::string& value, size_t index)
{
    return value.substr(index * 6, 6);
}

// Each acknowledged marker must be in the value exactly once; a marker that was answered as not run must not be in it.
void checkValue(History& history, const std::string& value, const std::string& when)
{
    std::set<std::string> seen;
    for (size_t i = 0; i * 6 < value.size(); ++i) {
        if (!seen.insert(getMarker(value, i)).second)
            history.violations.push_back(fmt::format("{}: {} ran twice", when, getMarker(value, i)));
    }
    for (auto& it : history.attempts) {
        if (it.wasAcknowledged && !seen.contains(it.marker))
            history.violations.push_back(fmt::format("{}: {} was acknowledged but is missing", when, it.marker));
        if (it.isKnownNotRun && seen.contains(it.marker))
            history.violations.push_back(fmt::format("{}: {} was answered as not run but ran", when, it.marker));
    }
}

class CallerLoop {
public:
    CallerLoop(Cluster& cluster, History& history, unsigned seed)
        : m_cluster(cluster)
        , m_history(history)
        , m_random(seed)
        , m_caller(cluster.getCallerAddress(m_random() % cluster.getOptions().hosts))
    {
    }

    void step(size_t index)
    {
        if (m_random() % 4 == 0)
            switchHost();
        if (m_random() % 3 == 0)
            read();
        else
            write(index);
    }

private:
    void switchHost() { m_caller.switchHost(m_cluster.getCallerAddress(m_random() % m_cluster.getOptions().hosts)); }

    void read()
    {
        auto answer = m_caller.read(m_history.group, "GET " + m_history.key, std::nullopt, 1500);
        if (answer.status == 200)
            checkValue(m_history, getResult(answer), "read");
        else if (answer.status == 0)
            switchHost();
    }

    void write(size_t index)
    {
        Attempt attempt { fmt::format("{:06}", index) };
        auto requestKey = m_history.key + attempt.marker;
        bool wasUnknownBefore = false;
        for (int n = 0; n < 6; ++n) {
            auto answer = m_caller.write(m_history.group, "APPEND " + m_history.key + " " + attempt.marker, requestKey, 1500);
            if (answer.status == 200) {
                attempt.wasAcknowledged = true;
                auto value = getResult(answer);
                // A replayed answer ends with this marker too.
                if (value.size() < 6 || value.substr(value.size() - 6) != attempt.marker)
                    m_history.violations.push_back(fmt::format("{} was answered with the result of another write: {}", attempt.marker, value));
                break;
            }
            bool isNotRun = getRanField(answer) == "no" || (answer.status == 0 && !answer.mayHaveArrived);
            wasUnknownBefore = wasUnknownBefore || !isNotRun;
            if (isNotRun && !wasUnknownBefore && m_random() % 4 == 0) {
                attempt.isKnownNotRun = true;
                break;
            }
            if (m_random() % 5 == 0 && settle(attempt, requestKey))
                break;
            switchHost();
        }
        m_history.attempts.push_back(attempt);
    }

    bool settle(Attempt& attempt, const std::string& requestKey)
    {
        auto answer = m_caller.send("/v1/settle", { { "group", m_history.group }, { "requestKey", requestKey }, { "deadlineMs", 1500 } });
        if (answer.status != 200)
            return false;
        auto ran = getString(answer.body, "ran");
        attempt.wasAcknowledged = ran == "yes";
        attempt.isKnownNotRun = ran == "no";
        return true;
    }

    Cluster& m_cluster;
    History& m_history;
    std::mt19937 m_random;
    Caller m_caller;
};

// Injects random faults and ends each after a while.
class FaultLoop {
public:
    FaultLoop(Cluster& cluster, unsigned seed)
        : m_cluster(cluster)
        , m_random(seed)
    {
    }

    void step()
    {
        auto hosts = m_cluster.getOptions().hosts;
        auto& group = m_cluster.getOptions().groups[m_random() % m_cluster.getOptions().groups.size()];
        auto member = group.members[m_random() % group.members.size()];
        auto host = m_random() % hosts;
        switch (m_random() % 8) {
        case 0:
            m_cluster.getMember(member).signal(SIGSTOP);
            pause(1200);
            m_cluster.getMember(member).signal(SIGCONT);
            break;
        case 1:
            isolateMember(group, member);
            pause(1500);
            for (auto& it : group.members)
                m_cluster.setMember(it, { { "cut", json::array() } });
            break;
        case 2:
            m_cluster.getHost(host).kill();
            pause(500);
            m_cluster.startHost(host);
            break;
        case 3:
            m_cluster.getHost(host).signal(SIGSTOP);
            pause(1500);
            m_cluster.getHost(host).signal(SIGCONT);
            break;
        case 4:
            m_cluster.setPlatform({ { "down", true } });
            pause(800);
            m_cluster.setPlatform({ { "down", false } });
            break;
        case 5:
            m_cluster.setMember(member, { { "loseAnswers", 2 } });
            break;
        case 6:
            m_cluster.setMember(member, { { "lagMs", m_random() % 300 } });
            break;
        default: // two at once: a member freezes while a host is killed
            m_cluster.getMember(member).signal(SIGSTOP);
            m_cluster.getHost(host).kill();
            pause(1000);
            m_cluster.getMember(member).signal(SIGCONT);
            m_cluster.startHost(host);
            break;
        }
        pause(200);
    }

private:
    void pause(int meanMs) { std::this_thread::sleep_for(milliseconds(meanMs / 2 + static_cast<int>(m_random() % static_cast<unsigned>(meanMs)))); }

    void isolateMember(const GroupOptions& group, const std::string& member)
    {
        json::array all;
        for (unsigned i = 0; i < m_cluster.getOptions().hosts; ++i) {
            if (m_random() % 3 != 0) // some hosts can still reach the member
                all.emplace_back(m_cluster.getHostName(i));
        }
        for (auto& it : group.members) {
            if (it == member)
                continue;
            all.emplace_back(it);
            m_cluster.setMember(it, { { "cut", json::array { json::string(member) } } });
        }
        m_cluster.setMember(member, { { "cut", all } });
    }

    Cluster& m_cluster;
    std::mt19937 m_random;
};

std::string readAfterRecovery(Cluster& cluster, const History& history)
{
    std::string value;
    bool isRead = waitUntil(milliseconds(30000), [&] {
        auto answer = Caller(cluster.getCallerAddress(0)).read(history.group, "GET " + history.key, 0, 2000);
        value = getResult(answer);
        return answer.status == 200;
    });
    BOOST_TEST(isRead, "the group did not recover: " + history.group);
    return value;
}

// The primary's log must contain each request key at most once, with terms that never decrease.
void checkLog(Cluster& cluster, const GroupOptions& group)
{
    std::string primary;
    BOOST_TEST(waitUntil(milliseconds(20000), [&] {
        auto homes = cluster.getHomes(group.name);
        primary = homes.empty() ? std::string() : cluster.getPrimary(group.name, homes.front());
        return !primary.empty();
    }));
    auto answer = Client(cluster.getMemberAddress(primary)).post("/admin/log", {});
    BOOST_REQUIRE_MESSAGE(answer.body.contains("entries"), fmt::format("{} answered {} {}", primary, answer.status, json::serialize(answer.body).substr(0, 200)));
    std::set<std::string> keys;
    uint64_t term = 0;
    for (auto& it : answer.body.at("entries").get_array()) {
        auto& entry = it.get_object();
        auto key = getString(entry, "k");
        if (!key.empty())
            BOOST_TEST(keys.insert(key).second, key + " appears twice in the log of " + primary);
        auto entryTerm = alderward::links::getNumber(entry, "t");
        BOOST_TEST(entryTerm >= term);
        term = entryTerm;
    }
}

void runRandomly(ClusterOptions options, unsigned seed, int seconds)
{
    options.extraSettings += "[limits]\ndeadline_default_ms = 1500\n";
    Cluster cluster(options);
    cluster.startAll();
    std::atomic<bool> mustStop { false };
    std::vector<History> histories(12);
    std::vector<std::thread> callers;
    for (size_t n = 0; n < histories.size(); ++n) {
        histories[n].group = options.groups[n % options.groups.size()].name;
        histories[n].key = fmt::format("k{}", n);
        callers.emplace_back([&, n] {
            CallerLoop loop(cluster, histories[n], seed * 100 + static_cast<unsigned>(n));
            for (size_t i = 0; !mustStop; ++i) {
                loop.step(i);
                std::this_thread::sleep_for(milliseconds(2));
            }
        });
    }
    FaultLoop faults(cluster, seed);
    auto until = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    int count = 0;
    for (; std::chrono::steady_clock::now() < until; ++count)
        faults.step();
    mustStop = true;
    for (auto& it : callers)
        it.join();
    size_t acknowledged = 0;
    for (auto& it : histories) {
        checkValue(it, readAfterRecovery(cluster, it), "end");
        for (auto& attempt : it.attempts)
            acknowledged += attempt.wasAcknowledged ? 1 : 0;
        BOOST_TEST(it.violations.empty(), (it.violations.empty() ? "" : it.violations.front()));
    }
    for (auto& it : options.groups)
        checkLog(cluster, it);
    BOOST_TEST(cluster.sumMetric("invariant_violations") == 0u);
    BOOST_TEST(acknowledged > 0u);
    BOOST_TEST_MESSAGE(fmt::format("seed {}: {} s, {} faults, {} writes acknowledged, {} promotions counted by running hosts", seed, seconds, count, acknowledged, cluster.sumMetric("promotions")));
}

}

BOOST_AUTO_TEST_SUITE(random_run)

BOOST_AUTO_TEST_CASE(sahyog)
{
    runRandomly(makeSahyogOptions(7), static_cast<unsigned>(getEnvironmentNumber("ALDERWARD_SEED", 1)), getEnvironmentNumber("ALDERWARD_SECONDS", 20));
}

BOOST_AUTO_TEST_CASE(batbayar)
{
    runRandomly(makeBatbayarOptions(9), static_cast<unsigned>(getEnvironmentNumber("ALDERWARD_SEED", 2)), getEnvironmentNumber("ALDERWARD_SECONDS", 20));
}

BOOST_AUTO_TEST_SUITE_END()
