// A member crashes and starts again under its id while callers rest inside transactions. Checks that no statement runs in the transaction of another
// caller.
#include "review/record.h"
#include <map>
#include <thread>

using namespace harness;
using review::Record;

namespace {

constexpr unsigned kHosts = 3;
constexpr unsigned kCallersPerHost = 1; // of each kind
constexpr int kReadsPerHost = 30; // before the crash
constexpr milliseconds kStatementTime { 14 }; // at the members
constexpr milliseconds kPromotionTime { 300 }; // "some hundred ms": from an order until its member leads
constexpr milliseconds kDownTime { 600 }; // of the member
constexpr milliseconds kNoticeTime { 1000 }; // until the hosts know that the member runs again

struct Client {
    std::string name;
    std::unique_ptr<LineCaller> caller;
    bool wasAcknowledged { false }; // its commit
};

class Case {
public:
    explicit Case(Record& record)
        : m_record(record)
        , m_rig({ .hosts = kHosts, .groups = 1, .slots = 2, .connections = 16, .graceMs = 6000 })
    {
    }

    int run()
    {
        m_rig.startHosts();
        m_rig.call([&] {
            for (auto& id : m_rig.getGroup().getIds())
                m_rig.getGroup().getFaults(id).statementTime = kStatementTime;
            m_rig.getStore().faults.promotionDelay = kPromotionTime;
        });
        if (!fillDatabase())
            return review::NotRun;
        openClients("writer", "db0-primary", m_writers);
        if (!beginAll(m_writers, "BEGIN", "WRITE"))
            return review::NotRun;
        if (review::hasTrouble() && !restartPrimary())
            return review::NotRun;
        std::this_thread::sleep_for(kNoticeTime);
        openClients("reader", "db0-bounded", m_readers);
        beginAll(m_readers, "BEGIN READ", "READ");
        for (auto& it : m_writers)
            it.wasAcknowledged = ask(it, "COMMIT").isOk();
        for (auto& it : m_readers) {
            ask(it, "READ " + it.name);
            ask(it, "COMMIT");
        }
        return check();
    }

private:
    LineAnswer ask(Client& client, const std::string& text)
    {
        auto answer = client.caller->ask(text);
        m_senders[client.caller->getLastId()] = client.name;
        m_record.add(fmt::format("{} sends {} {}: {} {}, state {}", client.name, client.caller->getLastId(), text, answer.result.empty() ? "no answer" : answer.result, answer.rows.empty() ? "" : "row " + answer.rows.front(), answer.state));
        return answer;
    }

    bool fillDatabase()
    {
        Client client { "loader", std::make_unique<LineCaller>(m_rig.getCallerAddress(0), "db0-primary") };
        for (int i = 0; i < 10; ++i) {
            if (!ask(client, fmt::format("WRITE loan-{} sanctioned", i)).isOk())
                return false;
        }
        for (unsigned host = 0; host < kHosts; ++host) {
            Client viewer { fmt::format("viewer-h{}", host), std::make_unique<LineCaller>(m_rig.getCallerAddress(host), "db0-bounded") };
            for (int i = 0; i < kReadsPerHost; ++i) {
                if (!ask(viewer, fmt::format("READ loan-{}", i % 10)).isOk())
                    return false;
            }
        }
        return true;
    }

    void openClients(const std::string& kind, const std::string& database, std::vector<Client>& clients)
    {
        for (unsigned host = 0; host < kHosts; ++host) {
            for (unsigned i = 0; i < kCallersPerHost; ++i)
                clients.push_back({ fmt::format("{}-h{}-{}", kind, host, i), std::make_unique<LineCaller>(m_rig.getCallerAddress(host), database) });
        }
    }

    bool beginAll(std::vector<Client>& clients, const std::string& begin, const std::string& statement)
    {
        bool isOk = true;
        for (auto& it : clients) {
            auto isBegun = ask(it, begin).isOk();
            isOk = ask(it, fmt::format("{} {}{}", statement, it.name, statement == "WRITE" ? " sanctioned" : "")).isOk() && isBegun && isOk;
        }
        return isOk;
    }

    // The primary crashes; another member is promoted; the crashed one starts again under its id as a replica without data.
    bool restartPrimary()
    {
        auto member = m_rig.call([&] { return m_rig.getGroup().getPrimary(); });
        m_record.add("the primary " + member + " crashes");
        m_rig.call([&] { m_rig.getGroup().kill(member); });
        std::this_thread::sleep_for(kDownTime);
        bool isReplaced = waitUntil(milliseconds(1000), [&] { return m_rig.call([&] { return m_rig.getGroup().getPrimary(); }) != member; });
        m_record.add(fmt::format("{} starts again under its id, without data; the primary is {}", member, m_rig.call([&] { return m_rig.getGroup().getPrimary(); })));
        m_rig.call([&] {
            m_rig.getGroup().restartEmpty(member);
            m_rig.getStore().registerMembers();
        });
        return isReplaced;
    }

    std::string findSender(const std::string& id) const
    {
        auto it = m_senders.find(id);
        return it == m_senders.end() ? "the rig" : it->second; // its warm-up reads
    }

    int check()
    {
        auto runs = m_rig.call([&] { return m_rig.getGroup().getExecutedStatements(); });
        auto items = m_rig.call([&] { return m_rig.getGroup().getItems(); });
        unsigned foreign = 0;
        for (auto& it : runs) {
            auto sender = findSender(it.id);
            auto owner = it.transaction.empty() ? std::string() : findSender(it.transaction);
            bool isForeign = !it.transaction.empty() && owner != sender;
            foreign += isForeign ? 1 : 0;
            m_record.add(fmt::format("{} ran {} {} of {}{}{}", it.member, it.id, it.text, sender, owner.empty() ? "" : " in the transaction of " + owner, isForeign ? "  <-- PINNED" : ""));
        }
        unsigned lost = 0;
        for (auto& it : m_writers) {
            if (it.wasAcknowledged && !items.contains(it.name)) {
                ++lost;
                m_record.add(fmt::format("the commit of {} was acknowledged, and the primary does not hold its write", it.name));
            }
        }
        m_record.add(fmt::format("statements run in the transaction of another caller: {}; acknowledged commits whose writes are missing: {}", foreign, lost));
        return foreign > 0 ? review::Broken : review::Held;
    }

    Record& m_record;
    GatewayRig m_rig;
    std::map<std::string, std::string> m_senders; // client by statement id
    std::vector<Client> m_writers;
    std::vector<Client> m_readers;
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
