// A primary crashes and starts again under its id, holding nothing of before. Checks that reads on a route of kind `primary` see each acknowledged
// commit.
#include "review/deployment.h"

using namespace harness;
using review::Deployment;
using review::Record;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kItems = 30;
constexpr milliseconds kQuietTime { 1000 }; // before the crash
constexpr milliseconds kDownTime { 100 };
constexpr milliseconds kReadingTime { 6000 }; // after the crash
constexpr milliseconds kReadPause { 50 };

class Case {
public:
    explicit Case(Record& record)
        : m_deployment(record, {})
    {
    }

    int run()
    {
        if (!m_deployment.start() || !writeItems())
            return review::NotRun;
        readItems(milliseconds(500));
        if (m_staleReads > 0)
            return review::NotRun;
        std::this_thread::sleep_for(kQuietTime);
        if (review::hasTrouble())
            restartPrimary();
        readItems(kReadingTime);
        auto primary = m_deployment.call([this] { return fmt::format("{} in term {}", m_deployment.getGroup().getPrimary(), m_deployment.getGroup().getTerm()); });
        m_deployment.add(fmt::format("primary: {}; reads with the acknowledged value: {}; refused: {}; stale: {}", primary, m_goodReads, m_refusedReads, m_staleReads));
        if (m_goodReads == 0)
            return review::NotRun;
        return m_staleReads > 0 ? review::Broken : review::Held;
    }

private:
    bool writeItems()
    {
        LineCaller caller(m_deployment.getCallerAddress(0), "loan-decision");
        for (int i = 0; i < kItems; ++i) {
            auto text = fmt::format("WRITE loan-{} sanctioned-{}", i, i);
            auto answer = caller.ask(text);
            m_deployment.add(fmt::format("writer sent {} {}: {}", caller.getLastId(), text, answer.result));
            if (!answer.isOk())
                return false;
        }
        return true;
    }

    void restartPrimary()
    {
        m_deployment.add("the primary uw-a crashes");
        m_deployment.call([this] {
            m_deployment.getGroup().crash("uw-a");
            return 0;
        });
        std::this_thread::sleep_for(kDownTime);
        m_deployment.add("uw-a starts again under its id, holding nothing of before");
        m_deployment.call([this] {
            m_deployment.getGroup().startAgain("uw-a");
            m_deployment.registerMembers();
            return 0;
        });
    }

    void readItems(milliseconds time)
    {
        auto until = Clock::now() + time;
        for (int n = 0; Clock::now() < until; ++n) {
            auto host = static_cast<unsigned>(n) % m_deployment.getHostCount();
            auto i = n % kItems;
            LineCaller caller(m_deployment.getCallerAddress(host), "loan-decision");
            auto answer = caller.ask(fmt::format("READ loan-{}", i));
            auto row = answer.rows.empty() ? std::string() : answer.rows.front();
            bool isStale = answer.isOk() && row != fmt::format("sanctioned-{}", i);
            m_goodReads += answer.isOk() && !isStale ? 1 : 0;
            m_staleReads += isStale ? 1 : 0;
            m_refusedReads += answer.isOk() ? 0 : 1;
            m_deployment.add(fmt::format("reader sent {} READ loan-{} to h{}: row '{}', {}{}", caller.getLastId(), i, host, row, answer.result.empty() ? "no answer" : answer.result, isStale ? "  <-- STALE" : ""));
            std::this_thread::sleep_for(kReadPause);
        }
    }

    Deployment m_deployment;
    unsigned m_goodReads { 0 };
    unsigned m_staleReads { 0 };
    unsigned m_refusedReads { 0 };
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
