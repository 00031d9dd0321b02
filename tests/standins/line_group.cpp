#include "standins/line_group.h"
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <fmt/format.h>
#include <set>
#include <sstream>
#include <thread>

namespace standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using Variables = std::map<std::string, std::string>;

struct Connection;

struct LogEntry {
    uint64_t term;
    Variables items;
    std::string statement {}; // id of the write or the COMMIT
    std::shared_ptr<Connection> waiting {}; // whose caller waits for the acknowledgement; null once it was sent
    std::function<void()> acknowledge {};
    bool isAcknowledged { false };
    bool wasLostByRestarts { false }; // no replica holds it any more
};

struct Member {
    std::string id;
    unsigned short port { 0 };
    std::unique_ptr<tcp::acceptor> acceptor;
    MemberFaults faults;
    size_t receivedEntries { 0 }; // in the log
    size_t appliedEntries { 0 };
    unsigned startCount { 0 };
    std::set<std::shared_ptr<Connection>> connections;
    size_t peakConnections { 0 };
    unsigned busySlots { 0 };
    std::deque<std::function<void()>> queue;
    bool isRunning { false };
    uint64_t suspendedFor { 0 }; // term; above 0: receives no log entries

    bool receivesEntries() const { return isRunning && !faults.isReplicationStopped && suspendedFor == 0; }
};

struct Connection : std::enable_shared_from_this<Connection> {
    Connection(tcp::socket socket, LineGroup::Impl& group, Member& member)
        : socket(std::move(socket))
        , group(group)
        , member(member)
    {
    }
    void start();
    void read();
    void handleNextLine();
    void handleLine(const std::string& line);
    void handleStatement(const std::string& id, std::string text);
    void changeReplication(const std::string& command, uint64_t term);
    void sendStatus();
    void answerStatement(const std::string& id, const std::string& rows);
    bool refuseSetup();
    void prepare(const std::string& text);
    void runStatement(const std::string& id, const std::string& text, const std::string& shape, bool isRead);
    void sendAnswer(const std::string& body);
    void sendReady();
    void send(std::string bytes);
    void close();
    std::string getPosition() const;

    tcp::socket socket;
    LineGroup::Impl& group;
    Member& member;
    asio::streambuf buf { 2 << 20 };
    std::deque<std::string> lines;
    Variables variables;
    Variables preparedStatements; // name to READ or WRITE and the statement text
    Variables written; // data written by the open transaction
    std::string transaction; // id of the first statement of the open transaction
    bool hasHandshake { false };
    std::string account {}; // named in the handshake
    bool isInTransaction { false };
    bool isReadOnly { false };
    bool hasFailed { false };
    uint64_t transactionTerm { 0 };
    bool isBusy { false };
    bool isClosed { false };
};

struct LineGroup::Impl {
    asio::io_context& context;
    std::string name;
    std::vector<std::string> ids;
    std::map<std::string, Member> members;
    unsigned slots;
    unsigned maxConnections;
    std::vector<LogEntry> log;
    std::string primary;
    uint64_t term { 1 };
    std::vector<ExecutedStatement> executedStatements;
    Variables items;
    uint64_t commits { 0 };
    uint64_t laggingRefusals { 0 };
    unsigned synchronousReplicas { 0 };
    bool acknowledgesLate { false };
    std::vector<LostCommit> lostCommits;

    void accept(Member& member);
    // Calls `acknowledge` once enough replicas have received the commit.
    void commit(Member& member, const Variables& written, const std::string& statement, const std::shared_ptr<Connection>& connection, std::function<void()> acknowledge);
    void acknowledgeReceived();
    size_t countHolders(size_t index, const std::string& except) const; // replicas that hold an entry of the log
    void truncate(size_t size, const std::string& promoted);
    void replicate();
    void acquireSlot(Member& member, std::function<void()> task);
    void releaseSlot(Member& member);
    Variables getStateAt(const Member& member) const;
};

void Connection::start()
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    read();
}

void Connection::read()
{
    asio::async_read_until(socket, buf, "\r\n", [self = shared_from_this()](boost::system::error_code ec, size_t n) {
        if (ec) {
            self->close();
            return;
        }
        std::string line(n - 2, '\0');
        std::istream stream(&self->buf);
        stream.read(line.data(), static_cast<std::streamsize>(n - 2));
        stream.ignore(2);
        self->lines.push_back(std::move(line));
        self->handleNextLine();
        self->read();
    });
}

void Connection::handleNextLine()
{
    while (!isBusy && !lines.empty() && !isClosed) {
        auto line = std::move(lines.front());
        lines.pop_front();
        if (member.faults.isUnresponsive)
            return;
        handleLine(line);
    }
}

std::string Connection::getPosition() const
{
    return fmt::format("{}.{}", group.term, member.appliedEntries);
}

void Connection::sendReady()
{
    send(fmt::format("READY {} {}\r\n", hasFailed ? "E" : isInTransaction ? "T"
                                                                          : "I",
        getPosition()));
}

void Connection::sendAnswer(const std::string& body)
{
    send(body + "\r\n");
    sendReady();
}

void Connection::send(std::string bytes)
{
    if (isClosed)
        return;
    auto shared = std::make_shared<std::string>(std::move(bytes));
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(*shared), ec);
}

void Connection::close()
{
    if (isClosed)
        return;
    isClosed = true;
    boost::system::error_code ec;
    socket.close(ec);
    member.connections.erase(shared_from_this());
}

void Connection::handleLine(const std::string& line)
{
    std::istringstream stream(line);
    std::string word;
    stream >> word;
    if (word == "CONNECT") {
        std::string name, from, id;
        stream >> name >> from >> id;
        if (name != group.name || (!id.empty() && id != member.id)) {
            send("ERROR WRONGNODE " + member.id + "\r\n");
            close();
        } else if (member.connections.size() > group.maxConnections) {
            send("ERROR OVERLOAD " + member.id + "\r\n");
            close();
        } else {
            hasHandshake = true;
            account = from;
            sendReady();
        }
        return;
    }
    if (word == "TERMINATE" || !hasHandshake) {
        close();
        return;
    }
    std::string id;
    stream >> id;
    std::string text;
    std::getline(stream >> std::ws, text);
    handleStatement(id, text);
}

void Connection::handleStatement(const std::string& id, std::string text)
{
    auto isPrimary = group.primary == member.id;
    if (text.starts_with("AFTER ")) {
        auto end = text.find(' ', 6);
        auto mark = text.substr(6, end - 6);
        text = text.substr(end + 1);
        auto term = std::stoull(mark.substr(0, mark.find('.')));
        auto number = std::stoull(mark.substr(mark.find('.') + 1));
        if (term > group.term || number > member.appliedEntries) {
            ++group.laggingRefusals;
            sendAnswer("ERROR LAGGING " + member.id);
            return;
        }
    }
    std::istringstream stream(text);
    std::string word;
    stream >> word;
    if (hasFailed && word != "ROLLBACK" && word != "COMMIT") {
        sendAnswer("ERROR MALFORMED failed");
    } else if (word == "STATUS") {
        sendStatus();
    } else if (word == "SUSPEND" || word == "RESUME") {
        uint64_t term = 0;
        stream >> term;
        changeReplication(word, term);
    } else if (word == "RESET") {
        variables.clear();
        preparedStatements.clear();
        sendAnswer("COMPLETE -");
    } else if (word == "SET") {
        std::string name, value;
        stream >> name;
        std::getline(stream >> std::ws, value);
        if (refuseSetup())
            return;
        variables[name] = value;
        sendAnswer("COMPLETE -");
    } else if (word == "PREPARE") {
        prepare(text.substr(word.size()));
    } else if (word == "BEGIN") {
        bool readOnly = text == "BEGIN READ";
        if (!readOnly && !isPrimary) {
            sendAnswer("ERROR READONLY " + member.id);
            return;
        }
        isInTransaction = true;
        isReadOnly = readOnly;
        transactionTerm = group.term;
        written.clear();
        transaction.clear();
        sendAnswer("COMPLETE -");
    } else if (word == "ROLLBACK") {
        if (member.faults.failsRollback) {
            sendAnswer("ERROR FAILED broken");
            return;
        }
        isInTransaction = hasFailed = false;
        written.clear();
        sendAnswer("COMPLETE -");
    } else if (word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT") {
        std::string statement = text;
        std::string shape;
        bool isRead = word == "READ";
        if (word == "EXECUTE") {
            std::string name, rest;
            stream >> name;
            std::getline(stream >> std::ws, rest);
            auto it = preparedStatements.find(name);
            if (it == preparedStatements.end()) {
                sendAnswer("ERROR NOSUCHSTMT " + name);
                return;
            }
            isRead = it->second.starts_with("READ ");
            auto mode = it->second.find(' ');
            statement = it->second.substr(0, mode) + " " + rest;
            shape = it->second.substr(mode + 1);
        }
        runStatement(id, statement, shape, isRead);
    } else
        sendAnswer("ERROR MALFORMED " + word);
}

bool Connection::refuseSetup()
{
    if (member.faults.refusedSetups == 0)
        return false;
    --member.faults.refusedSetups;
    sendAnswer("ERROR MALFORMED refused");
    return true;
}

// The shape is the last field, and so may contain blanks; the name and the mode may not.
void Connection::prepare(const std::string& text)
{
    auto name = text.find(' ', 1);
    auto mode = name == std::string::npos ? name : text.find(' ', name + 1);
    auto isMode = [&](std::string_view word) { return mode != std::string::npos && text.substr(name + 1, mode - name - 1) == word; };
    if (!isMode("READ") && !isMode("WRITE")) {
        sendAnswer("ERROR MALFORMED PREPARE");
        return;
    }
    if (refuseSetup())
        return;
    preparedStatements[text.substr(1, name - 1)] = text.substr(name + 1);
    sendAnswer("COMPLETE -");
}

void Connection::sendStatus()
{
    sendAnswer(fmt::format("ROW {} {} {}.{} {} 0 {} {}\r\nCOMPLETE -", group.primary == member.id ? "primary" : "replica", group.term, group.term, member.receivedEntries, member.suspendedFor, member.busySlots, member.connections.size()));
}

// Commands that change whether the member receives log entries.
void Connection::changeReplication(const std::string& command, uint64_t term)
{
    bool isPrimary = group.primary == member.id;
    bool isRefused = command == "SUSPEND" && (isPrimary || member.faults.refusesSuspension || term <= group.term);
    if (isRefused) {
        sendAnswer("ERROR MALFORMED " + command);
        return;
    }
    if (command == "SUSPEND")
        member.suspendedFor = std::max(member.suspendedFor, term);
    else
        member.suspendedFor = 0;
    group.replicate();
    sendStatus();
}

void Connection::runStatement(const std::string& id, const std::string& text, const std::string& shape, bool isRead)
{
    if (member.faults.busyReplies > 0) {
        --member.faults.busyReplies;
        sendAnswer("ERROR BUSY " + member.id);
        return;
    }
    isBusy = true;
    group.acquireSlot(member, [self = shared_from_this(), id, text, shape, isRead] {
        auto timer = std::make_shared<asio::steady_timer>(self->group.context, self->member.faults.statementTime);
        timer->async_wait([self, timer, id, text, shape, isRead](boost::system::error_code) {
            self->group.releaseSlot(self->member);
            self->isBusy = false;
            if (self->isClosed)
                return;
            auto& group = self->group;
            auto& member = self->member;
            bool isCommit = text == "COMMIT";
            bool isPrimary = group.primary == member.id && (!self->isInTransaction || self->transactionTerm == group.term);
            bool needsPrimary = self->isInTransaction ? !self->isReadOnly && !(isCommit && self->written.empty()) : !isRead;
            if (needsPrimary && !isPrimary) {
                self->hasFailed = self->isInTransaction;
                self->sendAnswer("ERROR READONLY " + member.id);
                self->handleNextLine();
                return;
            }
            if (self->isInTransaction && self->transaction.empty())
                self->transaction = id;
            group.executedStatements.push_back({ member.id, id, text, shape, self->variables, self->account, self->isInTransaction ? self->transaction : "" });
            std::string rows;
            std::istringstream stream(text);
            std::string word, item, data;
            stream >> word >> item;
            std::getline(stream >> std::ws, data);
            if (isRead) {
                auto items = group.getStateAt(member);
                for (auto& [name, value] : self->written)
                    items[name] = value;
                rows = fmt::format("ROW {}\r\n", items[item]);
            }
            Variables committed;
            if (isCommit) {
                committed = std::move(self->written);
                self->isInTransaction = false;
                self->written.clear();
            } else if (!isRead && self->isInTransaction)
                self->written[item] = data;
            else if (!isRead)
                committed = { { item, data } };
            auto answer = [self, id, rows] { self->answerStatement(id, rows); };
            if (committed.empty()) {
                answer();
                return;
            }
            self->isBusy = true;
            group.commit(member, committed, id, self, answer);
        });
    });
}

void Connection::answerStatement(const std::string& id, const std::string& rows)
{
    isBusy = false;
    if (member.faults.closedAfterRun > 0) {
        --member.faults.closedAfterRun;
        close();
        return;
    }
    if (member.faults.unansweredAfterRun > 0) {
        --member.faults.unansweredAfterRun;
        isBusy = true;
        return;
    }
    sendAnswer(fmt::format("{}COMPLETE sig.{}.{}", rows, member.id, id));
    handleNextLine();
}

void LineGroup::Impl::acquireSlot(Member& member, std::function<void()> task)
{
    if (member.busySlots < slots) {
        ++member.busySlots;
        task();
    } else
        member.queue.push_back(std::move(task));
}

void LineGroup::Impl::releaseSlot(Member& member)
{
    if (member.queue.empty()) {
        --member.busySlots;
        return;
    }
    auto task = std::move(member.queue.front());
    member.queue.pop_front();
    asio::post(context, std::move(task));
}

Variables LineGroup::Impl::getStateAt(const Member& member) const
{
    Variables state;
    for (size_t i = 0; i < member.appliedEntries; ++i) {
        for (auto& [name, value] : log[i].items)
            state[name] = value;
    }
    return state;
}

void LineGroup::Impl::commit(Member& member, const Variables& written, const std::string& statement, const std::shared_ptr<Connection>& connection, std::function<void()> acknowledge)
{
    log.push_back({ term, written, statement, connection, std::move(acknowledge) });
    member.receivedEntries = member.appliedEntries = log.size();
    ++commits;
    for (auto& [name, value] : written)
        items[name] = value;
    acknowledgeReceived();
    replicate();
}

size_t LineGroup::Impl::countHolders(size_t index, const std::string& except) const
{
    return static_cast<size_t>(std::ranges::count_if(members, [&](const auto& it) { return it.first != primary && it.first != except && it.second.receivedEntries > index; }));
}

void LineGroup::Impl::acknowledgeReceived()
{
    std::vector<std::function<void()>> due;
    for (size_t i = log.size(); i > 0; --i) {
        auto& entry = log[i - 1];
        if (!entry.waiting || countHolders(i - 1, {}) < synchronousReplicas)
            continue;
        entry.isAcknowledged = !entry.waiting->isClosed;
        entry.waiting = nullptr;
        due.push_back(std::exchange(entry.acknowledge, nullptr));
    }
    std::ranges::reverse(due);
    for (auto& it : due)
        it();
}

// Discards the entries that the promoted member lacks. Callers whose commits were not acknowledged lose their connections.
void LineGroup::Impl::truncate(size_t size, const std::string& promoted)
{
    std::vector<std::shared_ptr<Connection>> waiting;
    for (size_t i = size; i < log.size(); ++i) {
        auto& entry = log[i];
        if (entry.waiting && acknowledgesLate) {
            entry.isAcknowledged = !entry.waiting->isClosed;
            entry.acknowledge();
        } else if (entry.waiting)
            waiting.push_back(entry.waiting);
        if (synchronousReplicas > 0 && entry.isAcknowledged && !entry.wasLostByRestarts)
            lostCommits.push_back({ entry.statement, promoted });
    }
    log.resize(size);
    for (auto& it : waiting)
        it->close();
}

void LineGroup::Impl::replicate()
{
    auto size = log.size();
    auto startTerm = term;
    for (auto& [id, member] : members) {
        if (id == primary || !member.receivesEntries())
            continue;
        auto timer = std::make_shared<asio::steady_timer>(context, member.faults.lag);
        timer->async_wait([this, timer, &member, size, startTerm, starts = member.startCount](boost::system::error_code) {
            if (startTerm != term || starts != member.startCount || !member.receivesEntries())
                return;
            member.receivedEntries = member.appliedEntries = std::max(member.appliedEntries, std::min(size, log.size()));
            acknowledgeReceived();
        });
    }
}

void LineGroup::Impl::accept(Member& member)
{
    member.acceptor->async_accept([this, &member](boost::system::error_code ec, tcp::socket socket) {
        if (ec || !member.acceptor || !member.acceptor->is_open())
            return;
        auto connection = std::make_shared<Connection>(std::move(socket), *this, member);
        member.connections.insert(connection);
        member.peakConnections = std::max(member.peakConnections, member.connections.size());
        connection->start();
        accept(member);
    });
}

LineGroup::LineGroup(asio::io_context& context, std::string name, std::vector<std::string> ids, std::vector<unsigned short> ports, unsigned slots, unsigned connections)
    : m_impl(std::make_shared<Impl>(Impl { context, std::move(name), ids, {}, slots, connections }))
{
    m_impl->primary = ids.front();
    for (size_t i = 0; i < ids.size(); ++i) {
        m_impl->members[ids[i]].id = ids[i];
        m_impl->members[ids[i]].port = ports[i];
        start(ids[i]);
    }
}

LineGroup::~LineGroup()
{
    for (auto& id : m_impl->ids)
        kill(id);
}

const std::string& LineGroup::getName() const { return m_impl->name; }
const std::vector<std::string>& LineGroup::getIds() const { return m_impl->ids; }
std::string LineGroup::getAddress(const std::string& id) const { return fmt::format("127.0.0.1:{}", m_impl->members.at(id).port); }
std::string LineGroup::getPrimary() const { return m_impl->primary; }
uint64_t LineGroup::getTerm() const { return m_impl->term; }
MemberFaults& LineGroup::getFaults(const std::string& id) { return m_impl->members.at(id).faults; }
size_t LineGroup::getConnectionCount(const std::string& id) const { return m_impl->members.at(id).connections.size(); }
size_t LineGroup::getPeakConnections(const std::string& id) const { return m_impl->members.at(id).peakConnections; }
size_t LineGroup::countWritingTransactions(const std::string& id) const
{
    return static_cast<size_t>(std::ranges::count_if(m_impl->members.at(id).connections, [](const auto& it) { return it->isInTransaction && !it->written.empty(); }));
}

const std::vector<ExecutedStatement>& LineGroup::getExecutedStatements() const { return m_impl->executedStatements; }
const std::map<std::string, std::string>& LineGroup::getItems() const { return m_impl->items; }
uint64_t LineGroup::getCommitCount() const { return m_impl->commits; }
const std::vector<LostCommit>& LineGroup::getLostCommits() const { return m_impl->lostCommits; }
void LineGroup::setSynchronousReplicas(unsigned count) { m_impl->synchronousReplicas = count; }
void LineGroup::setAcknowledgesLate(bool acknowledgesLate) { m_impl->acknowledgesLate = acknowledgesLate; }
uint64_t LineGroup::getSuspendedFor(const std::string& id) const { return m_impl->members.at(id).suspendedFor; }
uint64_t LineGroup::getLaggingRefusals() const { return m_impl->laggingRefusals; }

bool LineGroup::promote(const std::string& id)
{
    auto it = m_impl->members.find(id);
    if (it == m_impl->members.end() || !it->second.isRunning || it->second.faults.isUnresponsive)
        return false;
    if (m_impl->primary == id)
        return true;
    m_impl->primary = id;
    ++m_impl->term;
    m_impl->truncate(it->second.receivedEntries, id);
    it->second.appliedEntries = it->second.receivedEntries;
    m_impl->items = m_impl->getStateAt(it->second);
    for (auto& [other, member] : m_impl->members) {
        member.receivedEntries = member.appliedEntries = std::min(member.appliedEntries, m_impl->log.size());
        member.suspendedFor = 0;
    }
    m_impl->replicate();
    return true;
}

// Binds without listening: connections are refused, and the port stays reserved.
static void bindPort(asio::io_context& context, Member& member)
{
    member.acceptor = std::make_unique<tcp::acceptor>(context, tcp::v4());
    member.acceptor->set_option(tcp::acceptor::reuse_address(true));
    // Retries, because a process that has just been forked holds copies of all sockets until it closes them.
    boost::system::error_code ec;
    for (int i = 0; i < 200; ++i) {
        member.acceptor->bind({ asio::ip::address_v4::loopback(), member.port }, ec);
        if (ec != asio::error::address_in_use)
            break;
        std::this_thread::sleep_for(milliseconds(5));
    }
    if (ec)
        throw boost::system::system_error(ec, "port of a stand-in member");
}

void LineGroup::kill(const std::string& id)
{
    auto& member = m_impl->members.at(id);
    member.isRunning = false;
    if (member.acceptor) {
        boost::system::error_code ec;
        member.acceptor->close(ec);
        bindPort(m_impl->context, member);
    }
    auto connections = member.connections;
    for (auto& it : connections)
        it->close();
}

void LineGroup::addMember(const std::string& id, unsigned short port)
{
    m_impl->ids.push_back(id);
    m_impl->members[id].id = id;
    m_impl->members[id].port = port;
    start(id);
}

void LineGroup::removeMember(const std::string& id)
{
    kill(id);
    std::erase(m_impl->ids, id);
}

void LineGroup::restartEmpty(const std::string& id)
{
    kill(id);
    auto& member = m_impl->members.at(id);
    for (size_t i = 0; i < m_impl->log.size(); ++i) {
        auto& entry = m_impl->log[i];
        entry.wasLostByRestarts = entry.wasLostByRestarts || (entry.isAcknowledged && m_impl->countHolders(i, id) == 0);
    }
    member.receivedEntries = member.appliedEntries = 0;
    start(id);
}

unsigned LineGroup::getStartCount(const std::string& id) const
{
    return m_impl->members.at(id).startCount;
}

void LineGroup::start(const std::string& id)
{
    auto& member = m_impl->members.at(id);
    if (member.isRunning)
        return;
    if (!member.acceptor)
        bindPort(m_impl->context, member);
    member.acceptor->listen();
    member.isRunning = true;
    member.suspendedFor = 0;
    ++member.startCount;
    member.receivedEntries = member.appliedEntries = std::min(member.appliedEntries, m_impl->log.size());
    m_impl->accept(member);
    m_impl->replicate();
}

}
