// A gateway is stopped as planned while clients run transactions whose statements follow each other without a pause.
#include "rig_2.h"
#include <csignal>

using namespace rig;

namespace {

constexpr unsigned kClients = 12;
constexpr int kReads = 10; // with BEGIN and COMMIT: the 12 statements that a transaction may have
constexpr milliseconds kWork { 400 }; // of a read; the site file has up to 410 ms for this kind of request
constexpr milliseconds kTimeout { 3000 }; // of the route
constexpr milliseconds kGrace { 6000 };
constexpr milliseconds kSentLate { 3000 }; // after the SIGTERM; a request sent before then may be cut in the last sixth of the grace period
constexpr milliseconds kFirstStop { 6200 }; // from the start of the clients to the SIGTERM

struct Cut {
    std::string id;
    Clock::time_point sentAt;
    Clock::time_point endedAt;
};

struct Clients {
    std::mutex mutex;
    std::vector<Cut> cuts;
    unsigned served { 0 };
    std::atomic<bool> isOver { false };
};

// Runs transactions on one session until it is closed, with a pause only between transactions.
void runClient(Deployment& deployment, Clients& clients, unsigned number)
{
    sleepFor(milliseconds(340) * number);
    Client client(*deployment.hosts[0], "db-portal", deployment.record, "client-" + std::to_string(number));
    while (client.isOpen() && !clients.isOver) {
        for (int i = 0; i < kReads + 2 && client.isOpen(); ++i) {
            auto text = i == 0 ? "BEGIN READ" : i > kReads ? "COMMIT"
                                                           : "READ item" + std::to_string(i);
            auto sentAt = Clock::now();
            auto answer = client.ask(text);
            std::lock_guard lock(clients.mutex);
            clients.served += answer.isOk() ? 1 : 0;
            if (!answer.isComplete())
                clients.cuts.push_back({ client.getLastId(), sentAt, Clock::now() });
            if (!answer.isOk())
                break;
        }
        sleepFor(milliseconds(100));
    }
}

bool hasRun(Group& group, const std::string& id)
{
    for (auto& it : group.getRun()) {
        if (it.id == id)
            return true;
    }
    return false;
}

int play(const std::string& recordPath)
{
    GroupOptions group;
    group.work = kWork;
    Deployment deployment(group, { { "db-portal", "bounded_staleness", static_cast<int>(kTimeout.count()), 1500 } }, 3, recordPath);
    auto& record = deployment.record;
    if (!deployment.start())
        return 2;
    sleepFor(milliseconds(2000));
    Clients clients;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < kClients; ++i)
        threads.emplace_back([&, i] { runClient(deployment, clients, i); });
    sleepFor(kFirstStop);
    auto stoppedAt = Clock::now();
    if (hasTrouble()) {
        record.add("SIGTERM to " + deployment.hosts[0]->getName());
        deployment.hosts[0]->signal(SIGTERM);
    }
    waitUntil(kGrace + milliseconds(1000), [&] { return !deployment.hosts[0]->isRunning(); });
    record.add(deployment.hosts[0]->getName() + (deployment.hosts[0]->isRunning() ? " runs" : " has ended"));
    clients.isOver = true;
    for (auto& it : threads)
        it.join();
    sleepFor(kWork + milliseconds(500)); // until the members have run what was passed on to them
    unsigned broken = 0;
    for (auto& it : clients.cuts) {
        auto sentMs = std::chrono::duration_cast<milliseconds>(it.sentAt - stoppedAt);
        auto waited = std::chrono::duration_cast<milliseconds>(it.endedAt - it.sentAt);
        bool wasPassedOn = hasRun(deployment.group, it.id);
        bool isExcused = sentMs <= kSentLate || waited >= kTimeout || !wasPassedOn;
        record.add((isExcused ? "excused: " : "RULE BROKEN: ") + it.id + ", sent " + std::to_string(sentMs.count()) + " ms after the SIGTERM, was " + (wasPassedOn ? "run by a member" : "not passed on") + ", and its connection ended without an answer after " + std::to_string(waited.count()) + " ms");
        broken += isExcused ? 0 : 1;
    }
    record.add("statements served: " + std::to_string(clients.served) + ", lost: " + std::to_string(broken));
    if (clients.served == 0)
        return 2;
    return broken > 0 ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    return argc == 2 ? play(argv[1]) : 2;
}
