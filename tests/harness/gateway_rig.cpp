#include "harness/gateway_rig.h"
#include "generated/gateway.pb.h"
#include "links/channel.h"
#include "links/http.h"
#include <arpa/inet.h>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace harness {

using Clock = std::chrono::steady_clock;

static constexpr unsigned kProxiesPerHost = 3; // to the store, its caller address and its peer address

GatewayRig::GatewayRig(RigOptions options)
    : m_options(options)
    , m_workGuard(boost::asio::make_work_guard(m_context))
{
    static std::atomic<int> number { 0 };
    m_folder = fmt::format("{}/alderward-rig-{}-{}", std::filesystem::temp_directory_path().string(), getpid(), ++number);
    std::filesystem::create_directories(m_folder);
    auto own = 1 + 3 * m_options.groups + 4 * m_options.hosts;
    auto proxies = m_options.hasProxies ? 3 * m_options.groups + kProxiesPerHost * m_options.hosts : 0;
    m_ports = findFreePorts(own + proxies + m_options.groups); // the last ones are of members added later
    size_t next = 1;
    std::vector<standins::LineGroup*> groups;
    for (unsigned i = 0; i < m_options.groups; ++i) {
        std::vector<std::string> ids { fmt::format("g{}-a", i), fmt::format("g{}-b", i), fmt::format("g{}-c", i) };
        std::vector<unsigned short> ports { m_ports[next], m_ports[next + 1], m_ports[next + 2] };
        next += 3;
        m_groups.push_back(std::make_unique<standins::LineGroup>(m_context, fmt::format("g{}", i), ids, ports, m_options.slots, m_options.connections));
        m_groups.back()->setSynchronousReplicas(getSynchronousReplicas(i));
        groups.push_back(m_groups.back().get());
    }
    m_store = std::make_unique<standins::KvStore>(m_context, m_ports[0], groups);
    m_hosts.resize(m_options.hosts);
    for (unsigned i = 0; i < m_options.hosts; ++i) {
        m_storeAddresses.push_back(m_store->getAddress());
        m_callerAddresses.push_back(getHostAddress(i, 0));
    }
    if (m_options.hasProxies)
        addProxies(own);
    m_thread = std::thread([this] { m_context.run(); });
    call([&] { m_store->registerMembers(); });
    configure(1);
}

void GatewayRig::addMember(unsigned group)
{
    m_groups[group]->addMember(fmt::format("g{}-d", group), m_ports[m_ports.size() - 1 - group]);
    m_store->registerMembers();
}

std::string GatewayRig::addProxy(unsigned short port, const std::string& address)
{
    m_proxies.push_back(std::make_unique<standins::FaultProxy>(m_context, port, address));
    return m_proxies.back()->getAddress();
}

void GatewayRig::addProxies(size_t firstPort)
{
    auto port = firstPort;
    for (unsigned i = 0; i < m_options.hosts; ++i) {
        m_storeAddresses[i] = addProxy(m_ports[port++], m_store->getAddress());
        m_callerAddresses[i] = addProxy(m_ports[port++], getHostAddress(i, 0));
        m_store->advertisedAddresses[getHostAddress(i, 1)] = addProxy(m_ports[port++], getHostAddress(i, 1));
    }
    for (auto& group : m_groups) {
        for (auto& id : group->getIds())
            m_store->advertisedAddresses[group->getAddress(id)] = addProxy(m_ports[port++], group->getAddress(id));
    }
}

// Services: 0 callers, 1 other hosts, 2 readiness, 3 metrics.
std::string GatewayRig::getHostAddress(unsigned index, unsigned service) const
{
    return fmt::format("127.0.0.1:{}", m_ports[1 + 3 * m_options.groups + 4 * index + service]);
}

unsigned GatewayRig::getSynchronousReplicas(unsigned group) const
{
    return group < m_options.synchronousReplicas.size() ? m_options.synchronousReplicas[group] : 0;
}

GatewayRig::~GatewayRig()
{
    m_hosts.clear();
    m_workGuard.reset();
    m_context.stop();
    m_thread.join();
    std::error_code ec;
    if (!std::getenv("ALDERWARD_KEEP_LOGS")) // kept for the analysis of a failure
        std::filesystem::remove_all(m_folder, ec);
}

void GatewayRig::configure(uint64_t version, int timeoutMs, const std::string& extraDatabase)
{
    boost::json::array routes;
    boost::json::array services;
    for (unsigned i = 0; i < m_options.groups; ++i) {
        auto group = fmt::format("g{}", i);
        auto add = [&](const std::string& database, const std::string& kind, int staleness) {
            boost::json::object route { { "Name", "r-" + database }, { "Host", database }, { "Prefix", "/" }, { "RouteType", kind }, { "TimeoutMs", timeoutMs }, { "SloMs", 500 }, { "Priority", 1 }, { "Service", group }, { "MaxStalenessMs", staleness } };
            if (database == m_options.publicDatabase)
                route["Public"] = true;
            routes.push_back(std::move(route));
        };
        add(fmt::format("db{}-primary", i), "primary", 0);
        add(fmt::format("db{}-bounded", i), "bounded_staleness", 1500);
        add(fmt::format("db{}-own", i), "read_your_writes", 2500);
        if (!extraDatabase.empty())
            add(extraDatabase, "primary", 0);
        services.push_back({ { "Name", group }, { "MaxConns", m_options.connections }, { "SyncReplicas", getSynchronousReplicas(i) } });
    }
    boost::json::object config { { "Version", version }, { "Routes", routes }, { "Services", services }, { "Limits", { { "TxIdleMs", 3000 } } } };
    if (!m_options.accounts.empty()) {
        boost::json::array accounts;
        for (auto& it : m_options.accounts)
            accounts.push_back({ { "Name", it.name }, { "ApiKeys", boost::json::array(it.keys.begin(), it.keys.end()) }, { "Priority", 1 }, { "RatePerS", it.perSecond }, { "Burst", it.burst } });
        config["Tenants"] = std::move(accounts);
    }
    call([&] { m_store->put("op/config", boost::json::serialize(config)); });
}

void GatewayRig::configureAccounts(uint64_t version, std::vector<RigAccount> accounts)
{
    m_options.accounts = std::move(accounts);
    configure(version);
}

bool GatewayRig::waitUntilConfigured(unsigned index, uint64_t version, milliseconds limit)
{
    return waitUntil(limit, [&] { return getMetrics(index).find(fmt::format("alderward_configuration_version {}", version)) != std::string::npos; });
}

std::string GatewayRig::getDaemonPath() const { return std::string(std::getenv("ALDERWARD_BINARIES")) + "/alderward"; }
std::string GatewayRig::getLogPath(unsigned index) const { return fmt::format("{}/h{}.log", m_folder, index); }
std::string GatewayRig::getSettingsPath(unsigned index) const { return fmt::format("{}/h{}.ini", m_folder, index); }

std::string GatewayRig::getCallerAddress(unsigned index) const
{
    return m_callerAddresses.at(index);
}

void GatewayRig::startHost(unsigned index)
{
    std::ofstream file(getSettingsPath(index));
    file << fmt::format("[gateway]\nname = h{}\ndata_centre = dc-{}\ncaller_address = {}\npeer_address = {}\nready_address = {}\nmetrics_address = {}\n", index, static_cast<char>('a' + index % 3), getHostAddress(index, 0), getHostAddress(index, 1), getHostAddress(index, 2), getHostAddress(index, 3));
    file << fmt::format("[platform]\nstore_address = {}\norders_address = {}\n[stop]\ngrace_ms = {}\n[log]\nlines_per_second = 10000\n{}", m_storeAddresses[index], m_options.hasDirectOrders ? m_store->getAddress() : m_storeAddresses[index], m_options.graceMs, m_options.extraSettings);
    file.close();
    m_hosts[index] = std::make_unique<Process>(std::vector<std::string> { getDaemonPath(), "--settings", getSettingsPath(index) }, getLogPath(index));
}

standins::FaultProxy& GatewayRig::getStoreProxy(unsigned host) const
{
    return *m_proxies.at(host * kProxiesPerHost);
}

void GatewayRig::setStoreIsolated(unsigned host, bool isIsolated)
{
    auto* proxy = &getStoreProxy(host);
    call([proxy, isIsolated] {
        proxy->faults.dropsUpstream = isIsolated;
        proxy->faults.dropsDownstream = isIsolated;
        if (!isIsolated)
            proxy->resetAll();
    });
}

void GatewayRig::announcePrimary(unsigned host, const std::string& group, const std::string& member, uint64_t term)
{
    alderward::gateway::peer::Frame frame;
    frame.mutable_lead()->set_group(group);
    frame.mutable_lead()->set_member(member);
    frame.mutable_lead()->set_term(term);
    LineCaller(getHostAddress(host, 1), "").sendRaw(alderward::links::encodeFrame(frame.SerializeAsString()));
}

void GatewayRig::announceConfiguration(unsigned host, uint64_t version)
{
    alderward::gateway::peer::Frame frame;
    frame.mutable_ping()->set_number(1);
    frame.mutable_ping()->set_host("another");
    frame.mutable_ping()->set_configuration(version);
    LineCaller(getHostAddress(host, 1), "").sendRaw(alderward::links::encodeFrame(frame.SerializeAsString()));
}

unsigned GatewayRig::findFirstCoordinator() const
{
    const std::string needle = "\"holder\":\"h";
    std::string log;
    size_t at = std::string::npos;
    bool isFound = waitUntil(milliseconds(3000), [&] {
        log = getLog(0);
        at = log.rfind(needle);
        return at != std::string::npos;
    });
    return isFound ? static_cast<unsigned>(log[at + needle.size()] - '0') : 0;
}

bool GatewayRig::isReady(unsigned index)
{
    Client client(getHostAddress(index, 2));
    return client.get("/-/readiness", milliseconds(500)).status == 200;
}

std::string GatewayRig::getMetricsAddress(unsigned index) const { return getHostAddress(index, 3); }

std::string GatewayRig::getMetrics(unsigned index) const
{
    Client client(getMetricsAddress(index));
    return client.getText("/metrics");
}

std::string GatewayRig::getSessionKey() const
{
    return m_options.accounts.empty() ? "caller" : m_options.accounts.front().keys.front();
}

bool GatewayRig::waitReady(unsigned index, milliseconds limit)
{
    return waitUntil(limit, [&] { return isReady(index); });
}

void GatewayRig::startHosts()
{
    for (unsigned i = 0; i < m_options.hosts; ++i)
        startHost(i);
    for (unsigned i = 0; i < m_options.hosts; ++i) {
        waitReady(i);
        // A host that has served a bounded read knows a floor of the group.
        for (unsigned group = 0; group < m_options.groups; ++group)
            LineCaller(getCallerAddress(i), fmt::format("db{}-bounded", group), getSessionKey()).ask("READ warm");
    }
    waitUntil(milliseconds(3000), [&] { return call([&] { return m_store->has("alderward/succession/g0"); }); });
}

std::string GatewayRig::getLog(unsigned index) const
{
    std::ifstream file(getLogPath(index));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

size_t GatewayRig::countEvents(const std::string& event) const
{
    size_t n = 0;
    auto needle = "\"event\":\"" + event + "\"";
    for (unsigned i = 0; i < m_options.hosts; ++i) {
        auto log = getLog(i);
        for (auto at = log.find(needle); at != std::string::npos; at = log.find(needle, at + 1))
            ++n;
    }
    return n;
}

LineCaller::LineCaller(const std::string& address, const std::string& database, const std::string& key)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
        return;
    if (database.empty())
        return;
    sendRaw("CONNECT " + database + " " + key + "\r\n");
    m_handshakeAnswer = receive(milliseconds(3000));
}

LineCaller::~LineCaller() { close(); }

void LineCaller::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

void LineCaller::reset()
{
    linger option { 1, 0 };
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close();
}

void LineCaller::endSending() { ::shutdown(m_socket, SHUT_WR); }

void LineCaller::sendRaw(const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        auto n = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return;
        sent += static_cast<size_t>(n);
    }
}

std::string LineCaller::readLine(Clock::time_point until)
{
    for (;;) {
        auto end = m_buf.find("\r\n");
        if (end != std::string::npos) {
            auto line = m_buf.substr(0, end);
            m_buf.erase(0, end + 2);
            return line;
        }
        auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd fd { m_socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&fd, 1, static_cast<int>(left)) <= 0)
            return "";
        char buf[4096];
        auto n = ::recv(m_socket, buf, sizeof buf, 0);
        if (n <= 0)
            return "";
        m_buf.append(buf, static_cast<size_t>(n));
    }
}

void LineCaller::send(const std::string& text)
{
    static std::atomic<int> number { 0 };
    m_lastId = fmt::format("q{}-{}", getpid(), ++number);
    sendRaw(fmt::format("QUERY {} {}\r\n", m_lastId, text));
}

LineAnswer LineCaller::receive(milliseconds limit)
{
    auto until = Clock::now() + limit;
    LineAnswer answer;
    for (;;) {
        auto line = readLine(until);
        if (line.empty())
            return answer;
        if (line.starts_with("ROW "))
            answer.rows.push_back(line.substr(4));
        else if (line.starts_with("READY ")) {
            answer.state = line.substr(6, 1);
            if (answer.result.empty())
                answer.result = "COMPLETE";
            return answer;
        } else
            answer.result = line;
    }
}

LineAnswer LineCaller::ask(const std::string& text, milliseconds limit)
{
    send(text);
    return receive(limit);
}

bool LineCaller::isClosed(milliseconds limit)
{
    pollfd fd { m_socket, POLLIN, 0 };
    auto until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (::poll(&fd, 1, 20) > 0) {
            char buf[4096];
            auto n = ::recv(m_socket, buf, sizeof buf, 0);
            if (n <= 0)
                return true;
            m_buf.append(buf, static_cast<size_t>(n));
        }
    }
    return false;
}

}
