// The members of a service with a synchronous replica are replaced one after the other. With trouble, the order to replace the primary gets no answer and is
// carried out late. Just before, the next new member starts, or with "restart" as second argument a replica that was suspended for the order is back from a
// crash.
#include "rig_2.h"
#include <algorithm>

using namespace rig;

namespace {

constexpr unsigned kWriters = 30;
constexpr milliseconds kWriterPause { 20 };
constexpr milliseconds kLength { 85000 }; // no round begins later
constexpr milliseconds kOrderLimit { 15000 };
constexpr milliseconds kOrderDelay { 2750 }; // from an order until it is carried out; the pages have 2 to 12 s
constexpr milliseconds kStartBefore { 300 }; // the member starts this long before the order is carried out
constexpr milliseconds kDownTime { 700 }; // of a replica that crashes; half of the period of members that go down and up by turns
constexpr milliseconds kBetweenNewAndOld { 1000 }; // from the start of a new member until the one that it replaces reports draining
constexpr milliseconds kDrain { 7500 }; // a member ends this long after it has reported draining; DrainMs is 7 s
constexpr milliseconds kBetweenRounds { 2500 };

struct Writers {
    std::mutex mutex;
    std::set<std::string> acknowledged;
    std::atomic<bool> isOver { false };
};

void runWriter(Deployment& deployment, Writers& writers, unsigned number)
{
    auto& host = *deployment.hosts[number % deployment.hosts.size()];
    for (unsigned i = 0; !writers.isOver;) {
        Client client(host, "db-orders", deployment.record, "writer-" + std::to_string(number));
        while (client.isOpen() && !writers.isOver) {
            auto answer = client.ask("WRITE w" + std::to_string(number) + " v" + std::to_string(++i));
            if (answer.isOk()) {
                std::lock_guard lock(writers.mutex);
                writers.acknowledged.insert(client.getLastId());
            } else
                sleepFor(milliseconds(50));
            sleepFor(kWriterPause);
        }
    }
}

// Starts a new member and, a while later, has the one that it replaces report draining and end at the end of its drain time.
class Release {
public:
    explicit Release(Deployment& deployment)
        : m_deployment(deployment)
    {
    }
    ~Release()
    {
        for (auto& it : m_ends)
            it.join();
    }

    void startNew() { m_deployment.group.add("i-new" + std::to_string(++m_count)); }

    void drain(const std::string& member)
    {
        m_deployment.platform.setDraining(member);
        m_leaving.insert(member);
        m_ends.emplace_back([this, member, endsAt = Clock::now() + kDrain] {
            while (Clock::now() < endsAt && !m_isOver)
                sleepFor(milliseconds(50));
            m_deployment.group.remove(member);
        });
    }

    // A replica that is not leaving.
    std::string findReplica()
    {
        auto primary = m_deployment.group.getPrimary();
        for (auto& id : m_deployment.group.getMembers()) {
            if (id != primary && !m_leaving.contains(id))
                return id;
        }
        return {};
    }

    void stop() { m_isOver = true; }

private:
    Deployment& m_deployment;
    std::set<std::string> m_leaving;
    std::vector<std::thread> m_ends;
    std::atomic<bool> m_isOver { false };
    unsigned m_count { 0 };
};

std::string findSuspended(Group& group)
{
    for (auto& id : group.getMembers()) {
        if (group.getSuspendedFor(id) != 0)
            return id;
    }
    return {};
}

// A suspended replica crashes, and is back with its log at the given time.
void restartReplica(Group& group, Clock::time_point backAt)
{
    std::this_thread::sleep_until(backAt - kDownTime);
    auto replica = findSuspended(group);
    if (!hasTrouble() || replica.empty())
        return;
    group.kill(replica);
    std::this_thread::sleep_until(backAt);
    group.start(replica);
}

// Replaces the primary, and then a replica if `restarts` is false. Returns false if no order was sent.
bool playRound(Deployment& deployment, Release& release, bool restarts)
{
    auto& group = deployment.group;
    auto& platform = deployment.platform;
    auto primary = group.getPrimary();
    release.startNew();
    sleepFor(kBetweenNewAndOld);
    platform.resetFirstOrder();
    platform.setLateOrders(hasTrouble() ? kOrderDelay : milliseconds(0));
    release.drain(primary);
    if (!waitUntil(kOrderLimit, [&] { return platform.getFirstOrderAt() != Clock::time_point {}; }))
        return false;
    auto startsAt = platform.getFirstOrderAt() + kOrderDelay - kStartBefore;
    if (restarts)
        restartReplica(group, startsAt);
    std::this_thread::sleep_until(startsAt);
    if (!restarts)
        release.startNew();
    waitUntil(milliseconds(5000), [&] { return group.getPrimary() != primary; });
    platform.setLateOrders(milliseconds(0));
    sleepFor(kBetweenNewAndOld);
    if (!restarts)
        release.drain(release.findReplica());
    sleepFor(kBetweenRounds);
    return true;
}

int play(const std::string& recordPath, bool restarts)
{
    GroupOptions options;
    options.synchronousReplicas = 1;
    options.lag = milliseconds(20);
    options.slots = 5;
    options.maxConnections = 55;
    options.promoteTime = milliseconds(600);
    Deployment deployment(options, { { "db-orders", "primary", 1000 } }, 3, recordPath, { .drainMs = 7000 });
    auto& record = deployment.record;
    if (!deployment.start())
        return 2;
    Writers writers;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < kWriters; ++i)
        threads.emplace_back([&, i] { runWriter(deployment, writers, i); });
    sleepFor(milliseconds(3000));
    Release release(deployment);
    unsigned rounds = 0;
    for (auto until = Clock::now() + kLength; Clock::now() < until;)
        rounds += playRound(deployment, release, restarts) ? 1 : 0;
    writers.isOver = true;
    release.stop();
    for (auto& it : threads)
        it.join();
    if (rounds == 0)
        return 2;
    unsigned broken = 0;
    for (auto& it : deployment.group.getLost()) {
        if (!writers.acknowledged.contains(it.id))
            continue;
        ++broken;
        record.add("RULE BROKEN: the commit " + it.id + " was acknowledged to its client, and the member that was promoted lacks it");
    }
    record.add("writes acknowledged: " + std::to_string(writers.acknowledged.size()) + ", lost: " + std::to_string(broken));
    return broken > 0 ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    return argc >= 2 ? play(argv[1], argc == 3 && std::string(argv[2]) == "restart") : 2;
}
