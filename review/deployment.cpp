#include "review/deployment.h"
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using alderward::links::HttpRequest;
using alderward::links::HttpResponse;
using harness::LineCaller;

static constexpr milliseconds kPromotionTime { 300 }; // "some hundred ms": from the execution of an order until its member leads
static constexpr uint64_t kFirstStartMs = 1789000000000; // ms since 1970
static constexpr const char* kGroup = "uw-core";

OrderServer::OrderServer(asio::io_context& context, const std::string& address, MemberGroup& group, MemberGroup::Log log)
    : m_context(context)
    , m_group(group)
    , m_write(std::move(log))
{
    auto server = alderward::links::startHttpServer(context, address, [this](HttpRequest request) { return serve(std::move(request)); });
    if (!server)
        throw std::runtime_error(server.error());
    m_server = std::move(*server);
}

asio::awaitable<HttpResponse> OrderServer::serve(HttpRequest request)
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
        after(lateBy, [this, member, token] {
            m_write(fmt::format("the platform carries out the unanswered order for {} with token {}", member, token));
            execute(member, token);
        });
    }
    response.mustNotAnswer = true;
    co_return response;
}

unsigned OrderServer::execute(const std::string& member, uint64_t token)
{
    if (token < m_highestToken || !m_group.isRunning(member))
        return 409;
    m_highestToken = token;
    if (member == m_group.getPrimary())
        return 200;
    after(kPromotionTime, [this, member] {
        if (member == m_group.getPrimary() || !m_group.isRunning(member))
            return;
        m_group.promote(member);
        onPromoted();
    });
    return 200;
}

void OrderServer::after(milliseconds time, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, time);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code ec) {
        if (!ec)
            task();
    });
}

Deployment::Deployment(Record& record, const DeploymentOptions& options)
    : m_record(record)
    , m_options(options)
    , m_workGuard(asio::make_work_guard(m_context))
    , m_ports(harness::findFreePorts(5 + 4 * options.hosts))
{
    auto log = [this](const std::string& line) { add(line); };
    std::vector<MemberOptions> members { { "uw-a", m_ports[2], options.lags[0] }, { "uw-b", m_ports[3], options.lags[1] }, { "uw-c", m_ports[4], options.lags[2] } };
    m_group = std::make_unique<MemberGroup>(m_context, kGroup, members, options.synchronousReplicas, log);
    m_store = std::make_unique<standins::KvStore>(m_context, m_ports[0], std::vector<standins::LineGroup*> {});
    m_orders = std::make_unique<OrderServer>(m_context, getAddress(1), *m_group, log);
    m_orders->onPromoted = [this] { registerMembers(); };
    registerMembers();
    configure();
    m_folder = (std::filesystem::temp_directory_path() / fmt::format("alderward-review-{}", getpid())).string();
    std::filesystem::create_directories(m_folder);
    m_thread = std::thread([this] { m_context.run(); });
}

Deployment::~Deployment()
{
    m_hosts.clear();
    m_workGuard.reset();
    m_context.stop();
    m_thread.join();
    std::error_code ec;
    if (!std::getenv("ALDERWARD_KEEP_LOGS"))
        std::filesystem::remove_all(m_folder, ec);
}

void Deployment::add(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    m_record.add(line);
}

std::string Deployment::getAddress(size_t port) const
{
    return fmt::format("127.0.0.1:{}", m_ports.at(port));
}

bool Deployment::start()
{
    for (unsigned i = 0; i < m_options.hosts; ++i)
        startHost(i);
    bool isServing = true;
    for (unsigned i = 0; i < m_options.hosts; ++i)
        isServing = harness::waitUntil(milliseconds(8000), [&] { return LineCaller(getCallerAddress(i), "loan-decision").ask("WRITE warm x").isOk(); }) && isServing;
    return isServing;
}

void Deployment::registerMembers()
{
    for (std::string id : { "uw-a", "uw-b", "uw-c" }) {
        bool isLeaving = id == leavingMember;
        json::object entry { { "Service", kGroup }, { "Address", m_group->getAddress(id) }, { "Zone", "dc-" + id.substr(3) }, { "Version", "v1" }, { "Slots", 2 }, { "State", isLeaving ? "draining" : "ready" }, { "ColdLeftMs", 0 }, { "DbRole", m_group->getPrimary() == id ? "primary" : "replica" }, { "Sequence", 1 }, { "born", kFirstStartMs + m_group->getStartCount(id) } };
        auto value = json::serialize(entry);
        if (m_registered[id] != value)
            m_store->put("servers/" + id, value);
        m_registered[id] = value;
    }
}

void Deployment::configure()
{
    auto makeRoute = [](const char* database, const char* kind, int timeoutMs, int staleness) {
        return json::object { { "Name", std::string("r-") + database }, { "Host", database }, { "Prefix", "/" }, { "RouteType", kind }, { "TimeoutMs", timeoutMs }, { "SloMs", 300 }, { "Priority", 1 }, { "Service", kGroup }, { "MaxAttempts", 2 }, { "MaxStalenessMs", staleness } };
    };
    json::array routes { makeRoute("loan-decision", "primary", 800, 0), makeRoute("bureau-lookup", "bounded_staleness", 1500, 1500), makeRoute("doc-verify", "read_your_writes", 800, 2500) };
    json::array services { json::object { { "Name", kGroup }, { "MaxConns", 16 }, { "SyncReplicas", m_options.synchronousReplicas } } };
    m_store->put("op/config", json::serialize(json::object { { "Version", 1 }, { "Routes", routes }, { "Services", services }, { "Limits", { { "TxIdleMs", 3000 } } } }));
}

void Deployment::startHost(unsigned host)
{
    auto path = fmt::format("{}/h{}.ini", m_folder, host);
    std::ofstream file(path);
    file << fmt::format("[gateway]\nname = h{}\ndata_centre = dc-{}\ncaller_address = {}\npeer_address = {}\nready_address = {}\nmetrics_address = {}\n", host, static_cast<char>('a' + host % 3), getCallerAddress(host), getAddress(6 + 4 * host), getAddress(7 + 4 * host), getAddress(8 + 4 * host));
    file << fmt::format("[platform]\nstore_address = {}\norders_address = {}\nmember_drain_ms = 7000\n[stop]\ngrace_ms = 6000\n", getAddress(0), getAddress(1));
    file.close();
    m_hosts.push_back(std::make_unique<harness::Process>(std::vector<std::string> { std::string(std::getenv("ALDERWARD_BINARIES")) + "/alderward", "--settings", path }, fmt::format("{}/h{}.log", m_folder, host)));
}

}
