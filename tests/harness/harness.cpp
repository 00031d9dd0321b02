#include "harness/harness.h"
#include "links/endpoint.h"
#include "links/http.h"
#include "links/json_fields.h"
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace harness {

namespace asio = boost::asio;
using namespace alderward;
using Clock = std::chrono::steady_clock;

bool waitUntil(milliseconds limit, const std::function<bool()>& condition)
{
    auto until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return condition();
}

// ---- process ----

Process::Process(std::vector<std::string> arguments, std::string logPath)
{
    std::vector<char*> argv;
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    m_id = fork();
    if (m_id == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        close_range(3, ~0U, 0); // the child must not inherit listening sockets
        execv(argv[0], argv.data());
        _exit(127);
    }
}

Process::~Process()
{
    kill();
}

void Process::signal(int number)
{
    if (m_id > 0)
        ::kill(m_id, number);
}

void Process::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
    m_id = -1;
}

std::optional<int> Process::wait(milliseconds limit)
{
    int status = 0;
    bool isOver = waitUntil(limit, [&] { return m_id <= 0 || waitpid(m_id, &status, WNOHANG) == m_id; });
    if (!isOver)
        return std::nullopt;
    m_id = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Process::isRunning()
{
    if (m_id > 0 && waitpid(m_id, nullptr, WNOHANG) == m_id)
        m_id = -1;
    return m_id > 0;
}

// ---- client ----

struct Client::Impl {
    asio::io_context context { 1 };
    std::string address;
    std::unique_ptr<links::HttpConnection> link;

    asio::awaitable<Answer> exchange(links::HttpRequest request, Clock::time_point deadline)
    {
        if (!link || !link->isOpen()) {
            link = links::makeHttpConnection(context.get_executor(), address);
            if (!co_await link->open(deadline))
                co_return Answer {};
        }
        auto answer = co_await link->exchange(std::move(request), deadline);
        if (!answer)
            co_return Answer { 0, answer.error().mayHaveArrived, {} };
        co_return Answer { answer->status, true, links::parseObject(answer->body).value_or(json::object { { "text", answer->body } }) };
    }

    Answer run(links::HttpRequest request, milliseconds limit)
    {
        Answer answer;
        context.restart();
        asio::co_spawn(context, exchange(std::move(request), Clock::now() + limit), [&](std::exception_ptr, Answer it) { answer = std::move(it); });
        context.run();
        return answer;
    }
};

Client::Client(std::string address)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->address = std::move(address);
}

Client::~Client() = default;

Answer Client::post(const std::string& path, const json::object& body, milliseconds limit)
{
    links::HttpRequest request;
    request.path = path;
    request.body = json::serialize(body);
    return m_impl->run(std::move(request), limit);
}

Answer Client::get(const std::string& path, milliseconds limit)
{
    links::HttpRequest request;
    request.method = "GET";
    request.path = path;
    return m_impl->run(std::move(request), limit);
}

std::string Client::getText(const std::string& path)
{
    auto answer = get(path);
    return links::getString(answer.body, "text");
}

std::string Client::sendRaw(const std::string& bytes, milliseconds limit)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(*links::parseEndpoint(m_impl->address));
    timeval timeout { limit.count() / 1000, (limit.count() % 1000) * 1000 };
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    std::string received;
    char buf[4096];
    for (ssize_t n = 0; (n = recv(socket.native_handle(), buf, sizeof buf, 0)) > 0;)
        received.append(buf, static_cast<size_t>(n));
    return received;
}

// ---- options ----

static std::vector<GroupOptions> makeGroups(const std::string& prefix, unsigned connections, unsigned slots, unsigned connectMs)
{
    std::vector<GroupOptions> groups;
    for (int i = 1; i <= 3; ++i) {
        auto name = fmt::format("{}{}", prefix, i);
        groups.push_back({ name, { name + "-a", name + "-b", name + "-c" }, connections, slots, connectMs });
    }
    return groups;
}

ClusterOptions makeSahyogOptions(unsigned hosts)
{
    ClusterOptions options;
    options.groups = makeGroups("ledger", 16, 2, 10);
    options.hosts = hosts;
    return options;
}

ClusterOptions makeBatbayarOptions(unsigned hosts)
{
    ClusterOptions options;
    options.dataCentres = { "ulaanbaatar", "darkhan", "erdenet" };
    options.groups = makeGroups("notes", 55, 5, 30);
    options.hosts = hosts;
    return options;
}

ClusterOptions makeSmallOptions()
{
    ClusterOptions options;
    options.groups = { { "orders", { "orders-a", "orders-b", "orders-c" } } };
    return options;
}

// ---- cluster ----

static bool isPortFree(unsigned short port)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    return isFree;
}

// Avoids the ephemeral range, where outgoing connections may occupy a port before its process listens on it.
std::vector<unsigned short> findFreePorts(size_t count)
{
    constexpr unsigned kFirst = 12000;
    constexpr unsigned kLast = 32000;
    static unsigned next = kFirst + static_cast<unsigned>(getpid()) * 131 % (kLast - kFirst);
    std::vector<unsigned short> ports;
    for (unsigned tries = 0; ports.size() < count && tries < kLast - kFirst; ++tries) {
        next = next + 1 < kLast ? next + 1 : kFirst;
        if (isPortFree(static_cast<unsigned short>(next)))
            ports.push_back(static_cast<unsigned short>(next));
    }
    if (ports.size() < count)
        throw std::runtime_error("no free ports");
    return ports;
}

int getEnvironmentNumber(const char* name, int fallback)
{
    auto* text = std::getenv(name);
    return text ? std::atoi(text) : fallback;
}

size_t getResidentKb(pid_t id)
{
    std::ifstream file(fmt::format("/proc/{}/status", id));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(6));
    }
    return 0;
}

static std::string findBinaryFolder()
{
    if (auto* path = std::getenv("ALDERWARD_BINARIES"))
        return path;
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path().string();
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
    , m_binaryFolder(findBinaryFolder())
{
    static int number = 0;
    m_folder = fmt::format("{}/alderward-{}-{}", std::filesystem::temp_directory_path().string(), getpid(), ++number);
    std::filesystem::create_directories(m_folder);
    size_t members = 0;
    for (auto& it : m_options.groups)
        members += it.members.size();
    auto ports = findFreePorts(1 + members + 3 * m_options.hosts);
    auto next = ports.begin();
    m_platformPort = *next++;
    for (auto& group : m_options.groups) {
        for (auto& it : group.members)
            m_memberPorts[it] = *next++;
    }
    for (unsigned i = 0; i < m_options.hosts; ++i) {
        m_callerPorts.push_back(*next++);
        m_peerPorts.push_back(*next++);
        m_operatorPorts.push_back(*next++);
    }
    m_hosts.resize(m_options.hosts);
}

Cluster::~Cluster()
{
    for (auto& it : m_hosts)
        it.reset();
    m_members.clear();
    m_platform.reset();
    if (!std::getenv("ALDERWARD_KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
}

void Cluster::startStandIns()
{
    m_platform = std::make_unique<Process>(std::vector<std::string> { m_binaryFolder + "/tests/standin-platform", "--address", getPlatformAddress() }, m_folder + "/platform.log");
    for (auto& group : m_options.groups) {
        for (auto& it : group.members) {
            auto& primary = group.members.front();
            std::vector<std::string> arguments { m_binaryFolder + "/tests/standin-member", "--name", it, "--address", getMemberAddress(it), "--primary", primary, "--primary-address", getMemberAddress(primary), "--connections", std::to_string(group.connections), "--slots", std::to_string(group.slots), "--connect-ms", std::to_string(group.connectMs) };
            if (!group.canFence)
                arguments.emplace_back("--no-fence");
            m_members[it] = std::make_unique<Process>(arguments, m_folder + "/" + it + ".log");
        }
    }
    waitUntil(milliseconds(5000), [&] { return Client(getPlatformAddress()).post("/admin/stats", {}).status == 200; });
}

void Cluster::writeSettings(size_t index)
{
    std::ofstream file(getSettingsPath(index));
    file << fmt::format("[host]\nname = {}\ndata_centre = {}\ncaller_address = {}\npeer_address = {}\noperator_address = {}\nthreads = {}\n", getHostName(index), m_options.dataCentres[index % m_options.dataCentres.size()], getCallerAddress(index), getAddress(m_peerPorts[index]), getOperatorAddress(index), m_options.threads);
    file << fmt::format("[platform]\naddress = {}\n[session]\nkey = a-key-for-local-tests-only\n[debug]\nallow_faults = true\n", getPlatformAddress());
    file << m_options.extraSettings;
}

void Cluster::registerHost(const std::string& name, const json::object& value, milliseconds lag)
{
    postAdmin(getPlatformAddress(), "/admin/put", { { "key", "platform/hosts/" + name }, { "value", json::serialize(value) }, { "lagMs", lag.count() } });
}

void Cluster::setHostLeaving(const std::string& name, bool isLeaving)
{
    registerHost(name, { { "leaving", isLeaving } });
}

void Cluster::startHost(size_t index)
{
    writeSettings(index);
    m_hosts[index] = std::make_unique<Process>(std::vector<std::string> { m_binaryFolder + "/alderward", "--settings", getSettingsPath(index) }, m_folder + "/" + getHostName(index) + ".log");
}

void Cluster::startAll()
{
    startStandIns();
    for (size_t i = 0; i < m_options.hosts; ++i)
        registerHost(getHostName(i), { { "dataCentre", m_options.dataCentres[i % m_options.dataCentres.size()] }, { "peerAddress", getAddress(m_peerPorts[i]) }, { "callerAddress", getCallerAddress(i) }, { "operatorAddress", getOperatorAddress(i) } });
    for (auto& it : m_options.groups)
        applyRecord(it);
    for (size_t i = 0; i < m_options.hosts; ++i)
        startHost(i);
    bool isReady = waitUntil(milliseconds(20000), [&] {
        for (auto& group : m_options.groups) {
            auto homes = getHomes(group.name);
            if (homes.empty())
                return false;
            for (auto it : homes) {
                if (getPrimary(group.name, it).empty())
                    return false;
            }
        }
        for (size_t i = 0; i < m_options.hosts; ++i) {
            auto status = getStatus(i);
            if (!status.contains("hosts") || status["hosts"].get_object().size() < m_options.hosts)
                return false;
        }
        return true;
    });
    if (!isReady)
        throw std::runtime_error("the cluster did not start; see " + m_folder);
}

json::object Cluster::postAdmin(const std::string& address, const std::string& path, const json::object& body)
{
    auto answer = Client(address).post(path, body);
    if (answer.status != 200)
        throw std::runtime_error("stand-in or host at " + address + " did not accept " + path);
    return answer.body;
}

json::object Cluster::setMember(const std::string& name, const json::object& body)
{
    return postAdmin(getMemberAddress(name), "/admin/set", body);
}

json::object Cluster::getMemberStats(const std::string& name)
{
    return postAdmin(getMemberAddress(name), "/admin/stats", {});
}

json::object Cluster::setPlatform(const json::object& body)
{
    return postAdmin(getPlatformAddress(), "/admin/set", body);
}

json::object Cluster::getPlatformStats()
{
    return postAdmin(getPlatformAddress(), "/admin/stats", {});
}

void Cluster::blockPeers(size_t index, const std::vector<std::string>& names)
{
    json::array hosts;
    for (auto& it : names)
        hosts.emplace_back(it);
    postAdmin(getOperatorAddress(index), "/debug/cut", { { "hosts", hosts } });
}

json::object Cluster::getStatus(size_t index)
{
    return Client(getOperatorAddress(index)).get("/status").body;
}

static const json::object* findGroup(const json::object& status, const std::string& group)
{
    auto* groups = status.if_contains("groups");
    auto* entry = groups ? groups->get_object().if_contains(group) : nullptr;
    return entry ? &entry->get_object() : nullptr;
}

std::string Cluster::getPrimary(const std::string& group, size_t viewer)
{
    auto status = getStatus(viewer);
    auto* entry = findGroup(status, group);
    return entry ? links::getString(*entry, "primary") : std::string();
}

std::vector<size_t> Cluster::getHomes(const std::string& group)
{
    std::vector<size_t> homes;
    for (size_t i = 0; i < m_options.hosts; ++i) {
        auto status = getStatus(i);
        auto* entry = findGroup(status, group);
        if (entry && links::getBool(*entry, "isHome"))
            homes.push_back(i);
    }
    return homes;
}

uint64_t Cluster::getMetric(size_t index, const std::string& name)
{
    auto text = "\n" + Client(getOperatorAddress(index)).getText("/metrics");
    auto at = text.find("\nalderward_" + name + "_total ");
    return at == std::string::npos ? 0 : std::strtoull(text.c_str() + text.find(' ', at) + 1, nullptr, 10);
}

uint64_t Cluster::sumMetric(const std::string& name)
{
    uint64_t n = 0;
    for (size_t i = 0; i < m_options.hosts; ++i)
        n += m_hosts[i] && m_hosts[i]->isRunning() ? getMetric(i, name) : 0;
    return n;
}

std::vector<json::object> Cluster::getEvents(size_t index)
{
    std::vector<json::object> events;
    auto body = Client(getOperatorAddress(index)).get("/timeline").body;
    if (auto* list = body.if_contains("events")) {
        for (auto& it : list->get_array())
            events.push_back(it.get_object());
    }
    return events;
}

bool Cluster::hasEvent(size_t index, const std::string& kind, const std::string& group)
{
    for (auto& it : getEvents(index)) {
        if (links::getString(it, "kind") == kind && (group.empty() || links::getString(it, "group") == group))
            return true;
    }
    return false;
}

Cluster::ToolResult Cluster::runTool(const std::vector<std::string>& arguments)
{
    std::vector<std::string> all { m_binaryFolder + "/alderctl", "--platform", getPlatformAddress() };
    all.insert(all.end(), arguments.begin(), arguments.end());
    static std::atomic<int> number { 0 }; // tests run the tool concurrently
    auto log = fmt::format("{}/tool-{}.log", m_folder, ++number);
    Process process(all, log);
    ToolResult run;
    run.code = process.wait(milliseconds(30000)).value_or(-1);
    std::ifstream file(log);
    run.output.assign(std::istreambuf_iterator<char>(file), {});
    return run;
}

std::string Cluster::writeRecord(const GroupOptions& group, const std::function<void(json::object&)>& change)
{
    json::array members;
    for (size_t i = 0; i < group.members.size(); ++i) {
        json::object member { { "name", group.members[i] }, { "address", getMemberAddress(group.members[i]) }, { "dataCentre", m_options.dataCentres[i % m_options.dataCentres.size()] } };
        if (!group.canFence)
            member["fence"] = false;
        members.push_back(std::move(member));
    }
    json::object record { { "schema", 2 }, { "members", members }, { "connectionLimit", group.connections }, { "slots", group.slots }, { "acknowledge", group.acknowledge } };
    record["reads"] = { { "portal", { { "maximumAgeMs", 2000 } } } };
    record["promotion"] = json::parse(group.promotion);
    if (change)
        change(record);
    auto path = m_folder + "/" + group.name + ".json";
    std::ofstream(path) << json::serialize(record) << "\n";
    return path;
}

void Cluster::applyRecord(const GroupOptions& group, const std::function<void(json::object&)>& change)
{
    auto run = runTool({ "config", "apply", writeRecord(group, change) });
    if (run.code != 0)
        throw std::runtime_error("apply failed: " + run.output);
}

// ---- caller ----

Answer Caller::send(const std::string& path, json::object body)
{
    if (!body.contains("session"))
        body["session"] = m_session;
    // A frozen host never answers, so the client times out shortly after the deadline.
    auto* deadline = body.if_contains("deadlineMs");
    auto limit = milliseconds(1500 + (deadline ? deadline->to_number<int>() : 5000));
    auto answer = m_client->post(path, body, limit);
    auto session = links::getString(answer.body, "session");
    if (!session.empty())
        m_session = session;
    return answer;
}

Answer Caller::write(const std::string& group, const std::string& statement, const std::string& requestKey, int deadlineMs)
{
    json::object body { { "group", group }, { "kind", "write" }, { "statement", statement }, { "deadlineMs", deadlineMs } };
    if (requestKey.empty())
        body["repeatable"] = true;
    else
        body["requestKey"] = requestKey;
    return send("/v1/statement", std::move(body));
}

Answer Caller::read(const std::string& group, const std::string& statement, std::optional<int> maximumAgeMs, int deadlineMs)
{
    json::object body { { "group", group }, { "kind", "read" }, { "statement", statement }, { "deadlineMs", deadlineMs } };
    if (maximumAgeMs)
        body["maximumAgeMs"] = *maximumAgeMs;
    return send("/v1/statement", std::move(body));
}

std::string getErrorKind(const Answer& answer)
{
    auto* error = answer.body.if_contains("error");
    return error && error->is_object() ? links::getString(error->get_object(), "kind") : std::string();
}

std::string getRanField(const Answer& answer)
{
    auto* error = answer.body.if_contains("error");
    if (error && error->is_object())
        return links::getString(error->get_object(), "ran");
    return answer.status == 200 ? "yes" : "unknown";
}

std::string getResult(const Answer& answer)
{
    return links::getString(answer.body, "result");
}

}
