// A primary with a synchronous replica is to be replaced while the platform leaves promotion orders unanswered and carries the first one out late.
// Checks that the promoted member holds every acknowledged commit.
#include "review/2/sync_group.h"
#include "review/record.h"
#include "standins/kv_store.h"
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

using namespace harness;
using review::Record;
using review::SyncGroup;
namespace asio = boost::asio;
namespace json = boost::json;
using alderward::links::HttpRequest;
using alderward::links::HttpResponse;

namespace {

constexpr unsigned kHosts = 3;
constexpr unsigned kWritersPerHost = 2;
constexpr milliseconds kWriterPause { 5 }; // between two writes of a writer
constexpr milliseconds kPromotionTime { 300 }; // "some hundred ms": from the execution of an order until its member leads
constexpr milliseconds kLateBy { 3000 }; // until the first unanswered order is carried out
constexpr milliseconds kSilentTime { 4500 }; // of the platform
constexpr milliseconds kRunTime { 7000 }; // from the report that the primary leaves
constexpr const char* kGroup = "uw-core";

// The platform's calls, apart from its store. While it is silent, it answers no call, and carries out the first one late.
class OrderServer {
public:
    OrderServer(asio::io_context& context, const std::string& address, SyncGroup& group, SyncGroup::Log log)
        : m_context(context)
        , m_group(group)
        , m_write(std::move(log))
    {
        auto server = alderward::links::startHttpServer(context, address, [this](HttpRequest request) { return serve(std::move(request)); });
        if (!server)
            throw std::runtime_error(server.error());
        m_server = std::move(*server);
    }

    bool isSilent { false };
    std::function<void()> onPromoted;

private:
    asio::awaitable<HttpResponse> serve(HttpRequest request)
    {
        uint64_t token = 0;
        std::string holder;
        for (auto& [name, value] : request.headers) {
            if (name == "Fencing-Token")
                token = std::stoull(value);
            if (name == "Duty-Holder")
                holder = value;
        }
        auto member = std::string(json::parse(request.body).as_object()["Id"].as_string());
        m_write(fmt::format("{} orders the promotion of {} with token {}{}", holder, member, token, isSilent ? ": no answer" : ""));
        HttpResponse response;
        if (!isSilent) {
            response.status = execute(member, token);
            response.body = response.status == 200 ? "{}" : R"({"Error":"fencing token or member not running"})";
            co_return response;
        }
        if (!m_isLateOrderTaken) {
            m_isLateOrderTaken = true;
            after(kLateBy, [this, member, token] {
                m_write(fmt::format("the platform carries out the unanswered order for {} with token {}", member, token));
                execute(member, token);
            });
        }
        response.mustNotAnswer = true;
        co_return response;
    }

    unsigned execute(const std::string& member, uint64_t token)
    {
        if (token < m_highestToken || !m_group.has(member))
            return 409;
        m_highestToken = token;
        if (member != m_group.getPrimary())
            after(kPromotionTime, [this, member] {
                if (member == m_group.getPrimary())
                    return;
                m_group.promote(member);
                onPromoted();
            });
        return 200;
    }

    void after(milliseconds time, std::function<void()> task)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, time);
        timer->async_wait([timer, task = std::move(task)](boost::system::error_code ec) {
            if (!ec)
                task();
        });
    }

    asio::io_context& m_context;
    SyncGroup& m_group;
    SyncGroup::Log m_write;
    std::unique_ptr<alderward::links::HttpServer> m_server;
    uint64_t m_highestToken { 0 };
    bool m_isLateOrderTaken { false };
};

class Case {
public:
    explicit Case(Record& record)
        : m_record(record)
        , m_workGuard(asio::make_work_guard(m_context))
        , m_ports(findFreePorts(5 + 4 * kHosts))
    {
        auto log = [this](const std::string& line) { add(line); };
        std::vector<review::SyncMemberOptions> members { { "uw-a", m_ports[2], milliseconds(0) }, { "uw-b", m_ports[3], milliseconds(30) }, { "uw-c", m_ports[4], milliseconds(10) } };
        m_group = std::make_unique<SyncGroup>(m_context, kGroup, members, log);
        m_store = std::make_unique<standins::KvStore>(m_context, m_ports[0], std::vector<standins::LineGroup*> {});
        m_orders = std::make_unique<OrderServer>(m_context, getAddress(1), *m_group, log);
        m_orders->onPromoted = [this] { registerMembers(); };
        registerMembers();
        configure();
        m_folder = (std::filesystem::temp_directory_path() / fmt::format("alderward-review-{}", getpid())).string();
        std::filesystem::create_directories(m_folder);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Case()
    {
        m_hosts.clear();
        m_workGuard.reset();
        m_context.stop();
        m_thread.join();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    int run()
    {
        for (unsigned i = 0; i < kHosts; ++i)
            startHost(i);
        for (unsigned i = 0; i < kHosts; ++i) {
            bool isServed = waitUntil(milliseconds(8000), [&] { return LineCaller(getCallerAddress(i), "loan-decision").ask("WRITE warm x").isOk(); });
            if (!isServed)
                return review::NotRun;
        }
        std::vector<std::thread> writers;
        for (unsigned i = 0; i < kHosts * kWritersPerHost; ++i)
            writers.emplace_back([this, i] { runWriter(i); });
        std::this_thread::sleep_for(milliseconds(2000)); // the hosts have chosen who may order promotions
        add("uw-a reports that it leaves");
        post([this] {
            m_orders->isSilent = review::hasTrouble();
            m_isLeaving = true;
            registerMembers();
        });
        std::this_thread::sleep_for(kSilentTime);
        post([this] { m_orders->isSilent = false; });
        std::this_thread::sleep_for(kRunTime - kSilentTime);
        m_isOver = true;
        for (auto& it : writers)
            it.join();
        return check();
    }

private:
    void add(const std::string& line)
    {
        std::lock_guard lock(m_mutex);
        m_record.add(line);
    }

    // Runs a task on the thread of the stand-ins.
    void post(std::function<void()> task)
    {
        asio::post(m_context, std::move(task));
    }

    std::string getAddress(size_t port) const { return fmt::format("127.0.0.1:{}", m_ports.at(port)); }
    std::string getCallerAddress(unsigned host) const { return getAddress(5 + 4 * host); }

    void registerMembers()
    {
        for (std::string id : { "uw-a", "uw-b", "uw-c" }) {
            bool isLeaving = m_isLeaving && id == "uw-a";
            json::object entry { { "Service", kGroup }, { "Address", m_group->getAddress(id) }, { "Zone", "dc-" + id.substr(3) }, { "Version", "v1" }, { "Slots", 2 }, { "State", isLeaving ? "draining" : "ready" }, { "ColdLeftMs", 0 }, { "DbRole", m_group->getPrimary() == id ? "primary" : "replica" }, { "Sequence", 1 } };
            auto value = json::serialize(entry);
            if (m_registered[id] != value)
                m_store->put("servers/" + id, value);
            m_registered[id] = value;
        }
    }

    void configure()
    {
        auto makeRoute = [](const char* database, const char* kind, int staleness) {
            return json::object { { "Name", std::string("r-") + database }, { "Host", database }, { "Prefix", "/" }, { "RouteType", kind }, { "TimeoutMs", 800 }, { "SloMs", 300 }, { "Priority", 1 }, { "Service", kGroup }, { "MaxAttempts", 2 }, { "MaxStalenessMs", staleness } };
        };
        json::array routes { makeRoute("loan-decision", "primary", 0), makeRoute("bureau-lookup", "bounded_staleness", 1500) };
        json::array services { json::object { { "Name", kGroup }, { "MaxConns", 16 }, { "SyncReplicas", 1 } } };
        m_store->put("op/config", json::serialize(json::object { { "Version", 1 }, { "Routes", routes }, { "Services", services }, { "Limits", { { "TxIdleMs", 3000 } } } }));
    }

    void startHost(unsigned i)
    {
        auto path = fmt::format("{}/h{}.ini", m_folder, i);
        std::ofstream file(path);
        file << fmt::format("[gateway]\nname = h{}\ndata_centre = dc-{}\ncaller_address = {}\npeer_address = {}\nready_address = {}\nmetrics_address = {}\n", i, static_cast<char>('a' + i), getCallerAddress(i), getAddress(6 + 4 * i), getAddress(7 + 4 * i), getAddress(8 + 4 * i));
        file << fmt::format("[platform]\nstore_address = {}\norders_address = {}\nmember_drain_ms = 7000\n[stop]\ngrace_ms = 6000\n", getAddress(0), getAddress(1));
        file.close();
        m_hosts.push_back(std::make_unique<Process>(std::vector<std::string> { std::string(std::getenv("ALDERWARD_BINARIES")) + "/alderward", "--settings", path }, fmt::format("{}/h{}.log", m_folder, i)));
    }

    void runWriter(unsigned i)
    {
        auto open = [&] { return std::make_unique<LineCaller>(getCallerAddress(i % kHosts), "loan-decision"); };
        auto caller = open();
        for (int n = 0; !m_isOver; ++n) {
            auto text = fmt::format("WRITE sanction-{}-{} granted", i, n);
            auto answer = caller->ask(text, milliseconds(2000));
            add(fmt::format("writer {} sent {} {} to h{}: {}", i, caller->getLastId(), text, i % kHosts, answer.result.empty() ? "no answer" : answer.result));
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
        std::promise<std::vector<review::LostCommit>> promise;
        post([&] { promise.set_value(m_group->getLostCommits()); });
        auto rolledBack = promise.get_future().get();
        unsigned lost = 0;
        for (auto& it : rolledBack) {
            bool isLost = it.wasAcknowledged && m_confirmed.contains(it.statement);
            lost += isLost ? 1 : 0;
            if (isLost)
                add(fmt::format("{}: its client has the success, and the log of the promoted {} lacks it", it.statement, it.promoted));
        }
        std::promise<std::string> primary;
        post([&] { primary.set_value(fmt::format("{} in term {}", m_group->getPrimary(), m_group->getTerm())); });
        add(fmt::format("primary: {}; acknowledged writes: {}; acknowledged and lost: {}", primary.get_future().get(), m_confirmed.size(), lost));
        if (m_confirmed.empty())
            return review::NotRun;
        return lost > 0 ? review::Broken : review::Held;
    }

    Record& m_record;
    std::mutex m_mutex;
    asio::io_context m_context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    std::vector<unsigned short> m_ports; // store, orders, three members, then four of each host
    std::unique_ptr<SyncGroup> m_group;
    std::unique_ptr<standins::KvStore> m_store;
    std::unique_ptr<OrderServer> m_orders;
    std::map<std::string, std::string> m_registered; // entry in the store by member
    bool m_isLeaving { false };
    std::string m_folder;
    std::thread m_thread;
    std::vector<std::unique_ptr<Process>> m_hosts;
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
