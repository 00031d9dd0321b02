#include "rig_2.h"
#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace json = boost::json;

static constexpr milliseconds kHeartbeat { 1200 };
static constexpr milliseconds kReadyLimit { 20000 };
static constexpr milliseconds kStopLimit { 8000 };
static constexpr milliseconds kLagSpan { 400 }; // in which a replica receives all commits with the same delay
static constexpr double kLagSpread = 0.6;
static constexpr int kMaxLagFactor = 6;

// ---- record and helpers ----

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file)
        std::fclose(m_file);
}

void Record::add(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    if (m_file) {
        std::fprintf(m_file, "%7.3f %s\n", static_cast<double>(ms) / 1000, line.c_str());
        std::fflush(m_file);
    }
}

void sleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

bool waitUntil(milliseconds limit, const std::function<bool()>& isDone)
{
    auto until = Clock::now() + limit;
    while (!isDone()) {
        if (Clock::now() >= until)
            return false;
        sleepFor(milliseconds(20));
    }
    return true;
}

static sockaddr_in makeLoopback(unsigned short port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Below the ports that the system gives to outgoing connections.
unsigned short findFreePort()
{
    static std::atomic<unsigned> next { 0 };
    for (;;) {
        auto port = static_cast<unsigned short>(11000 + (static_cast<unsigned>(getpid()) * 97 + 7 * next++) % 20000);
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = makeLoopback(port);
        bool isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree)
            return port;
    }
}

bool hasTrouble()
{
    auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// ---- TCP ----

Socket::~Socket()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

std::unique_ptr<Socket> Socket::connect(unsigned short port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = makeLoopback(port);
    auto socket = std::make_unique<Socket>(fd);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        return nullptr;
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return socket;
}

bool Socket::send(const std::string& bytes) const
{
    for (size_t sent = 0; sent < bytes.size();) {
        auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

bool Socket::receive(milliseconds limit)
{
    pollfd fd { m_fd, POLLIN, 0 };
    if (::poll(&fd, 1, static_cast<int>(std::max<int64_t>(0, limit.count()))) <= 0)
        return false;
    char buf[16384];
    auto n = ::recv(m_fd, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    m_buf.append(buf, static_cast<size_t>(n));
    return true;
}

bool Socket::readLine(std::string& line, milliseconds limit)
{
    auto until = Clock::now() + limit;
    for (;;) {
        auto end = m_buf.find('\n');
        if (end != std::string::npos) {
            line = m_buf.substr(0, end > 0 && m_buf[end - 1] == '\r' ? end - 1 : end);
            m_buf.erase(0, end + 1);
            return true;
        }
        if (!receive(std::chrono::duration_cast<milliseconds>(until - Clock::now())))
            return false;
    }
}

bool Socket::readBytes(std::string& bytes, size_t count)
{
    while (m_buf.size() < count) {
        if (!receive(milliseconds(5000)))
            return false;
    }
    bytes = m_buf.substr(0, count);
    m_buf.erase(0, count);
    return true;
}

void Socket::shutDown() const { ::shutdown(m_fd, SHUT_RDWR); }

Listener::Listener(unsigned short port, Handler handler)
    : m_port(port)
    , m_handler(std::move(handler))
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto address = makeLoopback(port);
    if (::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(m_fd, 256) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    m_thread = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    close();
    waitUntil(milliseconds(10000), [this] { return m_running == 0; });
}

void Listener::accept()
{
    while (!m_isClosed) {
        int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        auto socket = std::make_shared<Socket>(fd);
        {
            std::lock_guard lock(m_mutex);
            m_connections.insert(socket);
        }
        ++m_running;
        std::thread([this, socket] {
            m_handler(socket);
            socket->shutDown();
            {
                std::lock_guard lock(m_mutex);
                m_connections.erase(socket);
            }
            --m_running;
        }).detach();
    }
}

void Listener::close()
{
    if (m_isClosed.exchange(true))
        return;
    ::shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
    dropConnections();
}

void Listener::dropConnections()
{
    std::lock_guard lock(m_mutex);
    for (auto& it : m_connections)
        it->shutDown();
}

// ---- members ----

static std::string popWord(std::string& rest)
{
    auto end = rest.find(' ');
    auto word = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    return word;
}

struct Group::Session {
    Member& member;
    std::map<std::string, std::string> variables {};
    std::map<std::string, std::string> prepared {}; // name to "READ shape" or "WRITE shape"
    std::map<std::string, std::string> written {};
    bool isInTransaction { false };
    bool isReadOnly { false };
    bool hasFailed { false };
    uint64_t term { 0 };
    unsigned starts { 0 };
    bool mustClose { false };
};

Group::Group(GroupOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
    , m_work(m_options.work)
    , m_primary(m_options.members.front())
{
    for (auto& id : m_options.members)
        add(id);
    m_replicator = std::thread([this] { replicate(); });
}

Group::~Group()
{
    m_isOver = true;
    for (auto& [id, member] : m_members)
        member->listener->close();
    m_changed.notify_all();
    m_replicator.join();
    for (auto& [id, member] : m_members)
        member->listener.reset();
}

std::string Group::getPrimary()
{
    std::lock_guard lock(m_mutex);
    return m_primary;
}

uint64_t Group::getTerm()
{
    std::lock_guard lock(m_mutex);
    return m_term;
}

bool Group::isRunning(const std::string& member)
{
    std::lock_guard lock(m_mutex);
    return m_members.at(member)->isRunning;
}

uint64_t Group::getSuspendedFor(const std::string& member)
{
    std::lock_guard lock(m_mutex);
    return m_members.at(member)->suspendedFor;
}

std::vector<RunStatement> Group::getRun()
{
    std::lock_guard lock(m_mutex);
    return m_run;
}

std::vector<LogEntry> Group::getLog()
{
    std::lock_guard lock(m_mutex);
    return m_log;
}

std::vector<LogEntry> Group::getLost()
{
    std::lock_guard lock(m_mutex);
    return m_lost;
}

void Group::add(const std::string& id)
{
    auto member = std::make_unique<Member>();
    member->id = id;
    auto* raw = member.get();
    raw->listener = std::make_unique<Listener>(findFreePort(), [this, raw](const std::shared_ptr<Socket>& socket) { serve(*raw, socket); });
    {
        std::lock_guard lock(m_mutex);
        m_members[id] = std::move(member);
    }
    m_record.add("member " + id + " starts");
    m_changed.notify_all();
}

void Group::remove(const std::string& id)
{
    kill(id);
    std::lock_guard lock(m_mutex);
    m_members.at(id)->hasLeft = true;
}

std::vector<std::string> Group::getMembers()
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> ids;
    for (auto& [id, member] : m_members) {
        if (!member->hasLeft)
            ids.push_back(id);
    }
    return ids;
}

void Group::kill(const std::string& id)
{
    {
        std::lock_guard lock(m_mutex);
        m_members.at(id)->isRunning = false;
    }
    m_record.add("member " + id + " ends");
    m_members.at(id)->listener->dropConnections();
    m_changed.notify_all();
}

void Group::start(const std::string& id)
{
    {
        std::lock_guard lock(m_mutex);
        auto& member = *m_members.at(id);
        member.isRunning = true;
        member.suspendedFor = 0;
        ++member.starts;
        member.received = std::min(member.received, m_log.size());
    }
    m_record.add("member " + id + " is back with its log");
    m_changed.notify_all();
}

bool Group::promote(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    auto found = m_members.find(id);
    if (found == m_members.end() || !found->second->isRunning)
        return false;
    if (m_primary == id)
        return true;
    for (size_t i = found->second->received; i < m_log.size(); ++i) {
        if (m_log[i].isAcknowledged)
            m_lost.push_back(m_log[i]);
    }
    m_log.resize(found->second->received);
    m_primary = id;
    ++m_term;
    for (auto& [other, member] : m_members) {
        member->received = std::min(member->received, m_log.size());
        member->suspendedFor = 0;
    }
    found->second->received = m_log.size();
    m_record.add("member " + id + " leads term " + std::to_string(m_term) + " with " + std::to_string(m_log.size()) + " commits");
    m_changed.notify_all();
    return true;
}

// Replicas that hold at least the first `entries` commits.
size_t Group::countHolders(size_t entries) const
{
    return static_cast<size_t>(std::ranges::count_if(m_members, [&](auto& it) { return it.first != m_primary && it.second->received >= entries; }));
}

// The delay of a replica in one span of time: log-normal, as in the site files (spread 0.6).
static milliseconds drawLag(milliseconds mean, const std::string& member, int64_t span)
{
    std::mt19937 random(static_cast<unsigned>(std::hash<std::string> {}(member + std::to_string(span))));
    std::lognormal_distribution<double> distribution(-kLagSpread * kLagSpread / 2, kLagSpread);
    return std::min(milliseconds(static_cast<int64_t>(static_cast<double>(mean.count()) * distribution(random))), kMaxLagFactor * mean);
}

void Group::replicate()
{
    std::unique_lock lock(m_mutex);
    while (!m_isOver) {
        auto now = Clock::now();
        bool hasReceived = false;
        for (auto& [id, member] : m_members) {
            auto getLag = [&](const LogEntry& it) { return drawLag(m_options.lag, id, it.at.time_since_epoch() / kLagSpan); };
            bool receives = id != m_primary && member->isRunning && member->suspendedFor == 0 && m_members.at(m_primary)->isRunning;
            while (receives && member->received < m_log.size() && now >= m_log[member->received].at + getLag(m_log[member->received])) {
                ++member->received;
                hasReceived = true;
            }
        }
        if (hasReceived)
            m_changed.notify_all();
        m_changed.wait_for(lock, milliseconds(1));
    }
}

std::string Group::getStatus(const Member& member) const
{
    auto number = member.id == m_primary ? m_log.size() : member.received;
    std::ostringstream text;
    text << (member.id == m_primary ? "primary " : "replica ") << m_term << ' ' << m_term << '.' << number << ' ' << member.suspendedFor << " 0 " << member.busy << ' ' << member.connections;
    return text.str();
}

std::string Group::getItem(const Member& member, const std::string& item) const
{
    auto size = member.id == m_primary ? m_log.size() : member.received;
    for (size_t i = size; i > 0; --i) {
        auto it = m_log[i - 1].items.find(item);
        if (it != m_log[i - 1].items.end())
            return it->second;
    }
    return "none";
}

void Group::serve(Member& member, const std::shared_ptr<Socket>& socket)
{
    Session session { member };
    std::string line;
    bool isConnected = false;
    auto makeReady = [&] {
        std::lock_guard lock(m_mutex);
        auto number = member.id == m_primary ? m_log.size() : member.received;
        auto state = session.hasFailed ? "E " : session.isInTransaction ? "T "
                                                                        : "I ";
        return std::string("READY ") + state + std::to_string(m_term) + "." + std::to_string(number) + "\r\n";
    };
    while (!m_isOver && socket->readLine(line, milliseconds(600000))) {
        {
            std::lock_guard lock(m_mutex);
            if (!member.isRunning)
                break;
        }
        auto word = popWord(line);
        if (word == "CONNECT" && !isConnected) {
            auto service = popWord(line);
            popWord(line); // who is connecting
            bool isWrong = service != m_options.name || (!line.empty() && line != member.id);
            bool isFull = false;
            {
                std::lock_guard lock(m_mutex);
                isFull = member.connections >= m_options.maxConnections;
                if (!isWrong && !isFull) {
                    ++member.connections;
                    session.starts = member.starts;
                    isConnected = true;
                }
            }
            if (!isConnected) {
                socket->send(std::string("ERROR ") + (isWrong ? "WRONGNODE " : "OVERLOAD ") + member.id + "\r\n");
                break;
            }
            socket->send(makeReady());
        } else if (word == "QUERY" && isConnected) {
            auto id = popWord(line);
            auto body = answer(session, id, line);
            if (session.mustClose || !socket->send(body + makeReady()))
                break;
        } else
            break;
    }
    if (isConnected) {
        std::lock_guard lock(m_mutex);
        --member.connections;
    }
}

std::string Group::answer(Session& session, const std::string& id, std::string text)
{
    auto original = text;
    auto word = popWord(text);
    const std::string done = "COMPLETE -\r\n";
    std::unique_lock lock(m_mutex);
    auto& member = session.member;
    bool isPrimary = m_primary == member.id;
    if (word == "AFTER") {
        auto mark = popWord(text);
        auto dot = mark.find('.');
        auto term = std::stoull(mark.substr(0, dot));
        auto number = std::stoull(mark.substr(dot + 1));
        auto received = isPrimary ? m_log.size() : member.received;
        if (term > m_term || number > received)
            return "ERROR LAGGING " + member.id + "\r\n";
        word = popWord(text);
    }
    if (session.hasFailed && word != "ROLLBACK" && word != "COMMIT")
        return "ERROR MALFORMED the transaction has failed\r\n";
    if (word == "STATUS")
        return "ROW " + getStatus(member) + "\r\n" + done;
    if (word == "SUSPEND") {
        auto term = std::stoull(text);
        if (isPrimary || term <= m_term)
            return "ERROR MALFORMED SUSPEND\r\n";
        member.suspendedFor = std::max(member.suspendedFor, static_cast<uint64_t>(term));
        return "ROW " + getStatus(member) + "\r\n" + done;
    }
    if (word == "RESUME") {
        member.suspendedFor = 0;
        return "ROW " + getStatus(member) + "\r\n" + done;
    }
    if (word == "RESET") {
        session.variables.clear();
        session.prepared.clear();
        return done;
    }
    if (word == "SET") {
        auto name = popWord(text);
        session.variables[name] = text;
        return done;
    }
    if (word == "PREPARE") {
        auto name = popWord(text);
        auto mode = popWord(text);
        if (name.empty() || text.empty() || (mode != "READ" && mode != "WRITE"))
            return "ERROR MALFORMED " + original + "\r\n";
        session.prepared[name] = mode + " " + text;
        return done;
    }
    if (word == "DEALLOC")
        return session.prepared.erase(text) > 0 ? done : "ERROR NOSUCHSTMT " + text + "\r\n";
    if (word == "BEGIN") {
        bool isReadOnly = text == "READ";
        if (!isReadOnly && !isPrimary)
            return "ERROR READONLY " + member.id + "\r\n";
        session.isInTransaction = true;
        session.isReadOnly = isReadOnly;
        session.term = m_term;
        session.written.clear();
        return done;
    }
    if (word == "ROLLBACK") {
        session.isInTransaction = session.hasFailed = false;
        session.written.clear();
        return done;
    }
    lock.unlock();
    if (word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT")
        return run(session, id, original, word, text);
    return "ERROR MALFORMED " + original + "\r\n";
}

// Runs a read, a write, a prepared statement or a COMMIT in a slot.
std::string Group::run(Session& session, const std::string& id, const std::string& text, const std::string& word, std::string rest)
{
    std::unique_lock lock(m_mutex);
    auto& member = session.member;
    auto shown = text;
    bool isWrite = word == "WRITE";
    if (word == "EXECUTE") {
        auto name = popWord(rest);
        auto it = session.prepared.find(name);
        if (it == session.prepared.end())
            return "ERROR NOSUCHSTMT " + name + "\r\n";
        isWrite = it->second.starts_with("WRITE ");
        shown = text + " [" + it->second + "]";
    }
    m_changed.wait(lock, [&] { return member.busy < m_options.slots || !member.isRunning || m_isOver; });
    ++member.busy;
    lock.unlock();
    sleepFor(m_work);
    lock.lock();
    --member.busy;
    m_changed.notify_all();
    if (!member.isRunning || member.starts != session.starts || m_isOver) {
        session.mustClose = true;
        return "";
    }
    bool isCommit = word == "COMMIT";
    bool isPrimary = m_primary == member.id && (!session.isInTransaction || session.term == m_term);
    bool needsPrimary = session.isInTransaction ? !session.isReadOnly && (!isCommit || !session.written.empty()) : isWrite;
    if (needsPrimary && !isPrimary) {
        session.hasFailed = session.isInTransaction && !isCommit;
        if (isCommit)
            session.isInTransaction = false;
        return "ERROR READONLY " + member.id + "\r\n";
    }
    m_run.push_back({ member.id, id, shown, Clock::now() });
    m_record.add("  " + member.id + " runs " + id + " " + shown.substr(0, 120));
    std::string rows;
    std::map<std::string, std::string> committed;
    if (isCommit) {
        committed = std::move(session.written);
        session.written.clear();
        session.isInTransaction = session.hasFailed = false;
    } else {
        auto item = popWord(rest);
        if (!isWrite) {
            auto own = session.written.find(item);
            rows = "ROW " + (own == session.written.end() ? getItem(member, item) : own->second) + "\r\n";
        } else if (session.isInTransaction)
            session.written[item] = rest;
        else
            committed[item] = rest;
    }
    if (!committed.empty())
        return commit(session, id, committed, lock);
    return rows + "COMPLETE sig." + member.id + "." + id + "\r\n";
}

// Appends a commit to the log, and waits until enough replicas have received it.
std::string Group::commit(Session& session, const std::string& id, const std::map<std::string, std::string>& items, std::unique_lock<std::mutex>& lock)
{
    auto& member = session.member;
    m_log.push_back({ m_term, id, items, Clock::now() });
    auto size = m_log.size();
    auto term = m_term;
    m_changed.notify_all();
    m_changed.wait(lock, [&] { return countHolders(size) >= m_options.synchronousReplicas || m_term != term || member.starts != session.starts || !member.isRunning || m_isOver; });
    bool isDone = countHolders(size) >= m_options.synchronousReplicas && m_term == term && member.starts == session.starts && member.isRunning;
    if (!isDone) {
        session.mustClose = true;
        return "";
    }
    m_log[size - 1].isAcknowledged = true;
    return "COMPLETE sig." + member.id + "." + id + "\r\n";
}

// ---- platform ----

static std::string encodeBase64(const std::string& bytes)
{
    static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
    return text;
}

static std::string decodeQuery(const std::string& text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            decoded += text[i];
    }
    return decoded;
}

static std::string getParameter(const std::string& target, const std::string& name)
{
    auto at = target.find("?" + name + "=");
    if (at == std::string::npos)
        at = target.find("&" + name + "=");
    if (at == std::string::npos)
        return "";
    auto begin = at + name.size() + 2;
    return decodeQuery(target.substr(begin, target.find('&', begin) - begin));
}

static std::string makeResponse(int status, const json::object& body)
{
    auto text = json::serialize(body);
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

Platform::Platform(std::vector<Group*> groups, Record& record)
    : m_groups(std::move(groups))
    , m_record(record)
    , m_listener(std::make_unique<Listener>(findFreePort(), [this](const std::shared_ptr<Socket>& socket) { serve(socket); }))
{
    m_thread = std::thread([this] { beat(); });
}

Platform::~Platform()
{
    m_isOver = true;
    m_changed.notify_all();
    m_thread.join();
    m_listener->close();
    waitUntil(milliseconds(15000), [this] { return m_pendingOrders == 0; });
    m_listener.reset();
}

json::object Platform::describe(const std::string& key, const Item& item) const
{
    return { { "Key", key }, { "Value", item.value }, { "Revision", item.revision }, { "CreateRev", item.created }, { "Lease", item.lease } };
}

void Platform::write(const std::string& key, const std::string& value, uint64_t lease)
{
    ++m_revision;
    auto known = m_items.find(key);
    auto created = known == m_items.end() ? m_revision : known->second.created;
    m_items[key] = { value, m_revision, created, lease };
    m_events.push_back({ m_revision, key, false, m_items[key] });
    m_changed.notify_all();
}

void Platform::erase(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    ++m_revision;
    m_events.push_back({ m_revision, key, true, {} });
    m_changed.notify_all();
}

void Platform::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    write(key, encodeBase64(value), 0);
}

void Platform::setDraining(const std::string& member)
{
    std::lock_guard lock(m_mutex);
    m_draining.insert(member);
    m_record.add("member " + member + " reports draining");
}

// Registers the members, at every heartbeat and when their role or state has changed, and ends leases.
void Platform::beat()
{
    Clock::time_point next {};
    std::map<std::string, std::string> reported;
    std::map<std::string, Clock::time_point> seen;
    uint64_t sequence = 0;
    static constexpr std::array zones { "zone-a", "zone-b", "zone-c" };
    while (!m_isOver) {
        auto now = Clock::now();
        bool isDue = now >= next;
        if (isDue) {
            next = now + kHeartbeat;
            ++sequence;
        }
        for (auto* group : m_groups) {
            auto ids = group->getMembers();
            for (auto it = seen.begin(); it != seen.end();) {
                bool hasLeft = std::ranges::find(ids, it->first) == ids.end();
                if (hasLeft) {
                    std::lock_guard lock(m_mutex);
                    erase("servers/" + it->first);
                }
                it = hasLeft ? seen.erase(it) : std::next(it);
            }
            auto primary = group->getPrimary();
            size_t index = 0;
            for (auto& id : group->getMembers()) {
                auto zone = zones[index++ % zones.size()];
                bool isRunning = group->isRunning(id);
                std::lock_guard lock(m_mutex);
                if (!isRunning) {
                    if (seen.contains(id) && now - seen[id] > 3 * kHeartbeat) {
                        erase("servers/" + id);
                        seen.erase(id);
                    }
                    reported.erase(id);
                    continue;
                }
                std::string state = m_draining.contains(id) ? "draining" : "ready";
                std::string role = primary == id ? "primary" : "replica";
                if (!isDue && reported[id] == state + role)
                    continue;
                reported[id] = state + role;
                seen[id] = now;
                json::object entry { { "Service", group->getOptions().name }, { "Address", "127.0.0.1:" + std::to_string(group->getPort(id)) }, { "Zone", zone }, { "Version", "1" }, { "Slots", group->getOptions().slots }, { "State", state }, { "ColdLeftMs", 0 }, { "Sequence", sequence }, { "DbRole", role } };
                write("servers/" + id, encodeBase64(json::serialize(entry)), 0);
            }
        }
        {
            std::lock_guard lock(m_mutex);
            for (auto it = m_leases.begin(); it != m_leases.end();) {
                if (it->second.first > now) {
                    ++it;
                    continue;
                }
                std::vector<std::string> keys;
                for (auto& [key, item] : m_items) {
                    if (item.lease == it->first)
                        keys.push_back(key);
                }
                for (auto& key : keys)
                    erase(key);
                it = m_leases.erase(it);
            }
        }
        sleepFor(milliseconds(10));
    }
}

void Platform::serve(const std::shared_ptr<Socket>& socket)
{
    std::string line;
    while (!m_isOver && socket->readLine(line, milliseconds(600000))) {
        auto method = popWord(line);
        auto target = popWord(line);
        std::map<std::string, std::string> headers;
        std::string header;
        while (socket->readLine(header, milliseconds(5000)) && !header.empty()) {
            auto colon = header.find(": ");
            auto name = header.substr(0, colon);
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            headers[name] = colon == std::string::npos ? "" : header.substr(colon + 2);
        }
        std::string body;
        if (headers.contains("content-length") && !socket->readBytes(body, std::stoul(headers["content-length"])))
            return;
        auto response = handle(method, target, headers, body);
        if (response.empty() || !socket->send(response))
            return;
    }
}

std::string Platform::handle(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body)
{
    auto path = target.substr(0, target.find('?'));
    if (method == "POST" && path == "/promote")
        return promote(headers, body);
    if (path == "/-/kv-watch")
        return watch(getParameter(target, "Prefix"), std::stoull(getParameter(target, "after")), milliseconds(std::stoi(getParameter(target, "WaitMs"))));
    sleepFor(milliseconds(4));
    std::lock_guard lock(m_mutex);
    if (path == "/-/kv-key") {
        auto it = m_items.find(getParameter(target, "Key"));
        if (it == m_items.end())
            return makeResponse(404, { { "CurrentRev", m_revision } });
        auto answer = describe(it->first, it->second);
        answer["CurrentRev"] = m_revision;
        return makeResponse(200, answer);
    }
    if (path == "/-/kv-range")
        return list(getParameter(target, "Prefix"), getParameter(target, "after"));
    if (path == "/-/kv-txn")
        return change(body);
    if (path == "/-/kv-lease") {
        auto ttl = milliseconds(json::parse(body).at("TtlMs").to_number<int64_t>());
        m_leases[++m_lastLease] = { Clock::now() + ttl, ttl };
        return makeResponse(200, { { "Lease", m_lastLease }, { "TtlMs", ttl.count() } });
    }
    auto id = path.rfind('/') + 1;
    auto lease = path.starts_with("/-/kv-keep/") || path.starts_with("/-/kv-lease-end/") ? m_leases.find(std::stoull(path.substr(id))) : m_leases.end();
    if (lease == m_leases.end())
        return makeResponse(404, {});
    auto [until, ttl] = lease->second;
    lease->second.first = path.starts_with("/-/kv-keep/") ? Clock::now() + ttl : Clock::now();
    return makeResponse(200, { { "TtlMs", ttl.count() } });
}

std::string Platform::list(const std::string& prefix, const std::string& after)
{
    json::array items;
    for (auto& [key, item] : m_items) {
        if (key.starts_with(prefix) && key > after)
            items.push_back(describe(key, item));
    }
    return makeResponse(200, { { "items", items }, { "HasMore", false }, { "CurrentRev", m_revision } });
}

std::string Platform::change(const std::string& body)
{
    auto request = json::parse(body).as_object();
    auto getRows = [&](const char* name) { return request.contains(name) ? request.at(name).as_array() : json::array(); };
    json::array current;
    bool isMet = true;
    for (auto& row : getRows("Expect")) {
        auto key = std::string(row.at("Key").as_string());
        auto it = m_items.find(key);
        auto revision = it == m_items.end() ? 0 : it->second.revision;
        isMet = isMet && revision == row.at("Revision").to_number<uint64_t>();
        if (it != m_items.end())
            current.push_back(describe(key, it->second));
    }
    if (!isMet)
        return makeResponse(412, { { "items", current } });
    for (auto& row : getRows("Puts")) {
        auto lease = row.as_object().contains("Lease") ? row.at("Lease").to_number<uint64_t>() : 0;
        if (lease != 0 && !m_leases.contains(lease))
            return makeResponse(404, {});
        write(std::string(row.at("Key").as_string()), std::string(row.at("Value").as_string()), lease);
    }
    for (auto& key : getRows("Deletes"))
        erase(std::string(key.as_string()));
    return makeResponse(200, { { "Revision", m_revision } });
}

std::string Platform::watch(const std::string& prefix, uint64_t after, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    auto until = Clock::now() + wait;
    json::array events;
    for (;;) {
        for (auto& it : m_events) {
            if (it.revision <= after || !it.key.starts_with(prefix))
                continue;
            if (it.isDeleted)
                events.push_back({ { "Key", it.key }, { "Revision", it.revision }, { "Tombstone", true } });
            else
                events.push_back(describe(it.key, it.item));
        }
        if (!events.empty() || m_isOver || m_changed.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    return makeResponse(200, { { "events", events }, { "CurrentRev", m_revision } });
}

// Carries an order out unless a higher token was used for the service. Returns whether it was accepted.
bool Platform::carryOut(Group& group, const std::string& member, uint64_t token, const std::string& holder)
{
    {
        std::lock_guard lock(m_mutex);
        auto& highest = m_tokens[group.getOptions().name];
        if (token < highest) {
            m_record.add("order of " + holder + " for " + member + " with token " + std::to_string(token) + " is refused");
            return false;
        }
        highest = token;
    }
    m_record.add("order of " + holder + " for " + member + " with token " + std::to_string(token) + " is accepted");
    return true;
}

std::string Platform::promote(const std::map<std::string, std::string>& headers, const std::string& body)
{
    auto request = json::parse(body);
    auto service = std::string(request.at("Service").as_string());
    auto member = std::string(request.at("Id").as_string());
    auto token = std::stoull(headers.at("fencing-token"));
    auto holder = headers.at("duty-holder");
    auto found = std::ranges::find_if(m_groups, [&](Group* it) { return it->getOptions().name == service; });
    if (found == m_groups.end())
        return makeResponse(409, { { "error", "no such service" } });
    auto& group = **found;
    ++m_orders;
    {
        std::lock_guard lock(m_mutex);
        if (m_firstOrderAt == Clock::time_point {})
            m_firstOrderAt = Clock::now();
    }
    auto lateBy = m_lateBy.load();
    m_record.add("order of " + holder + ": " + member + " is to lead " + service + ", token " + std::to_string(token) + (lateBy.count() > 0 ? ", to be carried out late" : ""));
    if (lateBy.count() > 0) {
        ++m_pendingOrders;
        std::thread([this, &group, member, token, holder, lateBy] {
            sleepFor(lateBy);
            if (!m_isOver && carryOut(group, member, token, holder))
                group.promote(member);
            --m_pendingOrders;
        }).detach();
        sleepFor(lateBy); // the caller gets no answer
        return "";
    }
    if (!group.isRunning(member))
        return makeResponse(409, { { "error", "the member is not running" } });
    if (!carryOut(group, member, token, holder))
        return makeResponse(409, { { "error", "the fencing token is too low" } });
    ++m_pendingOrders;
    std::thread([this, &group, member] {
        sleepFor(group.getOptions().promoteTime);
        if (!m_isOver)
            group.promote(member);
        --m_pendingOrders;
    }).detach();
    return makeResponse(200, {});
}

Clock::time_point Platform::getFirstOrderAt()
{
    std::lock_guard lock(m_mutex);
    return m_firstOrderAt;
}

void Platform::resetFirstOrder()
{
    std::lock_guard lock(m_mutex);
    m_firstOrderAt = {};
}

// ---- gateways ----

Host::Host(std::string name, std::string zone, const Platform& platform, const std::string& folder, HostOptions options)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_folder(folder)
    , m_options(options)
    , m_platform(platform.getPort())
    , m_front(findFreePort())
    , m_control(findFreePort())
    , m_ready(findFreePort())
    , m_metrics(findFreePort())
{
}

Host::~Host()
{
    if (!isRunning())
        return;
    ::kill(m_process, SIGCONT);
    ::kill(m_process, SIGTERM);
    if (waitUntil(kStopLimit, [this] { return !isRunning(); }))
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

// The settings have the layout of deploy/gateway.ini.
void Host::start()
{
    auto settings = m_folder + "/" + m_name + ".ini";
    auto local = [](unsigned short port) { return "127.0.0.1:" + std::to_string(port); };
    std::ofstream file(settings);
    file << "[gateway]\nname = " << m_name << "\ndata_centre = " << m_zone << "\ncaller_address = " << local(m_front) << "\npeer_address = " << local(m_control) << "\nready_address = " << local(m_ready) << "\nmetrics_address = " << local(m_metrics) << "\nseeds = " << local(m_control) << "\n\n[platform]\nstore_address = " << local(m_platform) << "\norders_address = " << local(m_platform) << "\nmember_drain_ms = " << m_options.drainMs << "\n\n[stop]\ngrace_ms = " << m_options.graceMs << "\n";
    file.close();
    auto log = m_folder + "/" + m_name + ".log";
    m_process = ::fork();
    if (m_process != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // a case that is ended itself leaves no gateway behind
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::execl("target/alderward", "target/alderward", "--settings", settings.c_str(), static_cast<char*>(nullptr));
    std::_Exit(127);
}

void Host::signal(int number) const { ::kill(m_process, number); }

bool Host::isRunning()
{
    if (m_process <= 0)
        return false;
    if (::waitpid(m_process, nullptr, WNOHANG) != m_process)
        return true;
    m_process = -1;
    return false;
}

bool Host::isReady() const
{
    auto socket = Socket::connect(m_ready);
    std::string line;
    return socket && socket->send("GET /-/readiness HTTP/1.1\r\nHost: platform\r\n\r\n") && socket->readLine(line, milliseconds(500)) && line.find(" 200 ") != std::string::npos;
}

bool Host::logContains(const std::string& text) const
{
    std::ifstream file(m_folder + "/" + m_name + ".log");
    std::ostringstream content;
    content << file.rdbuf();
    return content.str().find(text) != std::string::npos;
}

// ---- clients ----

std::string Answer::getText() const
{
    std::string text;
    for (auto& it : rows)
        text += "ROW " + it + ", ";
    text += result.empty() ? "no result" : result;
    return text + (state.empty() ? ", the connection ends" : ", READY " + state);
}

Client::Client(const Host& host, const std::string& database, Record& record, std::string name)
    : m_socket(Socket::connect(host.getFront()))
    , m_record(record)
    , m_name(std::move(name))
{
    if (!m_socket || !m_socket->send("CONNECT " + database + " " + m_name + "\r\n"))
        return;
    auto ready = receive(milliseconds(3000));
    m_isOpen = ready.isComplete();
    m_record.add(m_name + " connects to " + database + " at " + host.getName() + ": " + (m_isOpen ? "READY" : "refused, " + ready.result));
}

Answer Client::receive(milliseconds limit)
{
    Answer answer;
    std::string line;
    auto until = Clock::now() + limit;
    while (m_socket && m_socket->readLine(line, std::chrono::duration_cast<milliseconds>(until - Clock::now()))) {
        auto word = popWord(line);
        if (word == "ROW")
            answer.rows.push_back(line);
        else if (word == "READY") {
            answer.state = popWord(line);
            return answer;
        } else
            answer.result = word + " " + line;
    }
    m_isOpen = false;
    return answer;
}

Answer Client::ask(const std::string& text, milliseconds limit)
{
    static std::atomic<unsigned> next { 0 };
    char id[32];
    std::snprintf(id, sizeof id, "%06x%04x", static_cast<unsigned>(getpid()) & 0xffffff, ++next);
    m_lastId = id;
    m_record.add(m_name + " sends " + m_lastId + " " + text.substr(0, 120));
    if (!m_socket || !m_socket->send("QUERY " + m_lastId + " " + text + "\r\n")) {
        m_isOpen = false;
        return {};
    }
    auto answer = receive(limit);
    m_record.add(m_name + " gets " + m_lastId + ": " + answer.getText().substr(0, 160));
    return answer;
}

void Client::close()
{
    m_socket.reset();
    m_isOpen = false;
}

// ---- a whole deployment ----

static std::string makeFolder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    return ::mkdtemp(pattern.data()) ? pattern : std::string();
}

Deployment::Deployment(GroupOptions groupOptions, const std::vector<RouteOptions>& routes, unsigned hostCount, const std::string& recordPath, HostOptions hostOptions)
    : folder(makeFolder())
    , record(recordPath)
    , group(std::move(groupOptions), record)
    , platform({ &group }, record)
{
    configure(1, routes);
    static constexpr std::array zones { "zone-a", "zone-b", "zone-c" };
    for (unsigned i = 0; i < hostCount; ++i)
        hosts.push_back(std::make_unique<Host>("front-" + std::to_string(i + 1), zones[i % zones.size()], platform, folder, hostOptions));
}

void Deployment::configure(uint64_t version, const std::vector<RouteOptions>& routes)
{
    json::array described;
    for (auto& it : routes)
        described.push_back({ { "Name", "r-" + it.database }, { "Host", it.database }, { "Prefix", "/" }, { "Service", group.getOptions().name }, { "RouteType", it.kind }, { "TimeoutMs", it.timeoutMs }, { "SloMs", 800 }, { "Priority", it.priority }, { "MaxStalenessMs", it.stalenessMs } });
    json::array services { { { "Name", group.getOptions().name }, { "MaxConns", group.getOptions().maxConnections }, { "SyncReplicas", group.getOptions().synchronousReplicas } } };
    platform.put("op/config", json::serialize(json::object { { "Version", version }, { "Routes", described }, { "Services", services }, { "Limits", { { "TxIdleMs", 10000 } } } }));
}

bool Deployment::start()
{
    for (auto& it : hosts)
        it->start();
    for (auto& it : hosts) {
        if (!waitUntil(kReadyLimit, [&] { return it->isReady(); })) {
            record.add("gateway " + it->getName() + " did not become ready");
            return false;
        }
    }
    return true;
}

Deployment::~Deployment()
{
    hosts.clear();
    std::error_code ec;
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(folder, ec);
}

}
