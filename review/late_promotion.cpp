// A primary with a synchronous replica is to be replaced while the platform leaves promotion orders unanswered and carries the first one out late.
// Checks that the promoted member holds every acknowledged commit.
#include "review/deployment.h"
#include <atomic>

using namespace harness;
using review::Deployment;
using review::Record;

namespace {

constexpr unsigned kWritersPerHost = 2;
constexpr milliseconds kWriterPause { 5 }; // between two writes of a writer
constexpr milliseconds kSilentTime { 4500 }; // of the platform
constexpr milliseconds kRunTime { 7000 }; // from the report that the primary leaves

class Case {
public:
    explicit Case(Record& record)
        : m_deployment(record, { .synchronousReplicas = 1, .lags = { milliseconds(0), milliseconds(30), milliseconds(10) } })
    {
    }

    int run()
    {
        if (!m_deployment.start())
            return review::NotRun;
        std::vector<std::thread> writers;
        for (unsigned i = 0; i < m_deployment.getHostCount() * kWritersPerHost; ++i)
            writers.emplace_back([this, i] { runWriter(i); });
        std::this_thread::sleep_for(milliseconds(2000)); // the hosts have chosen who may order promotions
        m_deployment.add("uw-a reports that it leaves");
        setSilent(review::hasTrouble(), "uw-a");
        std::this_thread::sleep_for(kSilentTime);
        setSilent(false, "uw-a");
        std::this_thread::sleep_for(kRunTime - kSilentTime);
        m_isOver = true;
        for (auto& it : writers)
            it.join();
        return check();
    }

private:
    void setSilent(bool isSilent, const std::string& leavingMember)
    {
        m_deployment.call([this, isSilent, leavingMember] {
            m_deployment.getOrders().isSilent = isSilent;
            m_deployment.leavingMember = leavingMember;
            m_deployment.registerMembers();
        });
    }

    void runWriter(unsigned i)
    {
        auto host = i % m_deployment.getHostCount();
        auto open = [&] { return std::make_unique<LineCaller>(m_deployment.getCallerAddress(host), "loan-decision"); };
        auto caller = open();
        for (int n = 0; !m_isOver; ++n) {
            auto text = fmt::format("WRITE sanction-{}-{} granted", i, n);
            auto answer = caller->ask(text, milliseconds(2000));
            m_deployment.add(fmt::format("writer {} sent {} {} to h{}: {}", i, caller->getLastId(), text, host, answer.result.empty() ? "no answer" : answer.result));
            if (answer.isOk()) {
                std::lock_guard lock(m_mutex);
                m_confirmed.insert(caller->getLastId());
            }
            if (answer.state != "I")
                caller = open();
            std::this_thread::sleep_for(kWriterPause);
        }
    }

    int check()
    {
        auto rolledBack = m_deployment.call([this] { return m_deployment.getGroup().getLostCommits(); });
        unsigned lost = 0;
        for (auto& it : rolledBack) {
            bool isLost = it.wasAcknowledged && m_confirmed.contains(it.statement);
            lost += isLost ? 1 : 0;
            if (isLost)
                m_deployment.add(fmt::format("{}: its client has the success, and the log of the promoted {} lacks it", it.statement, it.promoted));
        }
        auto primary = m_deployment.call([this] { return fmt::format("{} in term {}", m_deployment.getGroup().getPrimary(), m_deployment.getGroup().getTerm()); });
        m_deployment.add(fmt::format("primary: {}; acknowledged writes: {}; acknowledged and lost: {}", primary, m_confirmed.size(), lost));
        if (m_confirmed.empty())
            return review::NotRun;
        return lost > 0 ? review::Broken : review::Held;
    }

    Deployment m_deployment;
    std::mutex m_mutex;
    std::set<std::string> m_confirmed; // ids of writes whose clients have a success
    std::atomic<bool> m_isOver { false };
};

}

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    if (!record.isOpen())
        return review::NotRun;
    int code = Case(record).run();
    record.add(fmt::format("exit status {}", code));
    return code;
}
