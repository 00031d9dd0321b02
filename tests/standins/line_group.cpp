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
using Values = std::map<std::string, std::string>;

struct Entry {
    uint64_t term;
    Values items;
};

struct Connection;

struct Member {
    std::string id;
    unsigned short port { 0 };
    std::unique_ptr<tcp::acceptor> acceptor;
    MemberFaults faults;
    size_t received { 0 }; // entries of the log
    size_t applied { 0 };
    unsigned starts { 0 }; // after the first
    std::set<std::shared_ptr<Connection>> connections;
    size_t connectionsMost { 0 };
    unsigned busySlots { 0 };
    std::deque<std::function<void()>> queue;
    bool isRunning { false };
};

struct Connection : std::enable_shared_from_this<Connection> {
    Connection(tcp::socket socket, LineGroup::Impl& group, Member& member)
        : socket(std::move(socket))
        , group(group)
        , member(member)
    {
    }
    void begin();
    void read();
    void next();
    void take(const std::string& line);
    void query(const std::string& id, std::string text);
    void run(const std::string& id, const std::string& text, bool isRead);
    void answer(const std::string& body);
    void ready();
    void send(std::string bytes);
    void close();
    std::string getPosition() const;

    tcp::socket socket;
    LineGroup::Impl& group;
    Member& member;
    asio::streambuf buf { 2 << 20 };
    std::deque<std::string> lines;
    Values values;
    Values prepared; // name to "READ|WRITE shape"
    Values written; // by the open transaction
    std::string transaction; // id of its first statement
    bool isOpen { false }; // hello was taken
    std::string account {}; // named in the hello
    bool isInTransaction { false };
    bool isReadOnly { false };
    bool hasFailed { false };
    uint64_t beganIn { 0 }; // term
    bool isBusy { false };
    bool isClosed { false };
};

struct LineGroup::Impl {
    asio::io_context& context;
    std::string name;
    std::vector<std::string> ids;
    std::map<std::string, Member> members;
    unsigned slots;
    unsigned connectionsMost;
    std::vector<Entry> log;
    std::string primary;
    uint64_t term { 1 };
    std::vector<RanStatement> ran;
    Values items;
    uint64_t commits { 0 };
    uint64_t turnedAwayAsBehind { 0 };

    void accept(Member& member);
    void commit(Member& member, const Values& written);
    void spread();
    void occupy(Member& member, std::function<void()> work);
    void release(Member& member);
    Values readAt(const Member& member) const;
};

void Connection::begin()
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
        self->next();
        self->read();
    });
}

void Connection::next()
{
    while (!isBusy && !lines.empty() && !isClosed) {
        auto line = std::move(lines.front());
        lines.pop_front();
        if (member.faults.isDark)
            return;
        take(line);
    }
}

std::string Connection::getPosition() const
{
    return fmt::format("{}.{}", group.term, member.applied);
}

void Connection::ready()
{
    send(fmt::format("READY {} {}\r\n", hasFailed ? "E" : isInTransaction ? "T"
                                                                          : "I",
        getPosition()));
}

void Connection::answer(const std::string& body)
{
    send(body + "\r\n");
    ready();
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

void Connection::take(const std::string& line)
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
        } else if (member.connections.size() > group.connectionsMost) {
            send("ERROR OVERLOAD " + member.id + "\r\n");
            close();
        } else {
            isOpen = true;
            account = from;
            ready();
        }
        return;
    }
    if (word == "TERMINATE" || !isOpen) {
        close();
        return;
    }
    std::string id;
    stream >> id;
    std::string text;
    std::getline(stream >> std::ws, text);
    query(id, text);
}

void Connection::query(const std::string& id, std::string text)
{
    auto isPrimary = group.primary == member.id;
    if (text.starts_with("AFTER ")) {
        auto end = text.find(' ', 6);
        auto mark = text.substr(6, end - 6);
        text = text.substr(end + 1);
        auto term = std::stoull(mark.substr(0, mark.find('.')));
        auto number = std::stoull(mark.substr(mark.find('.') + 1));
        if (term > group.term || number > member.applied) {
            ++group.turnedAwayAsBehind;
            answer("ERROR LAGGING " + member.id);
            return;
        }
    }
    std::istringstream stream(text);
    std::string word;
    stream >> word;
    if (hasFailed && word != "ROLLBACK" && word != "COMMIT") {
        answer("ERROR MALFORMED failed");
    } else if (word == "STATUS") {
        answer(fmt::format("ROW {} {} {}.{} 0 0 {} {}\r\nCOMPLETE -", isPrimary ? "primary" : "replica", group.term, group.term, member.received, member.busySlots, member.connections.size()));
    } else if (word == "RESET") {
        values.clear();
        prepared.clear();
        answer("COMPLETE -");
    } else if (word == "SET") {
        std::string name, value;
        stream >> name;
        std::getline(stream >> std::ws, value);
        values[name] = value;
        answer("COMPLETE -");
    } else if (word == "PREPARE") {
        std::string name, shape;
        stream >> name;
        std::getline(stream >> std::ws, shape);
        prepared[name] = shape;
        answer("COMPLETE -");
    } else if (word == "BEGIN") {
        bool readOnly = text == "BEGIN READ";
        if (!readOnly && !isPrimary) {
            answer("ERROR READONLY " + member.id);
            return;
        }
        isInTransaction = true;
        isReadOnly = readOnly;
        beganIn = group.term;
        written.clear();
        transaction.clear();
        answer("COMPLETE -");
    } else if (word == "ROLLBACK") {
        if (member.faults.failsRollback) {
            answer("ERROR FAILED broken");
            return;
        }
        isInTransaction = hasFailed = false;
        written.clear();
        answer("COMPLETE -");
    } else if (word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT") {
        std::string shaped = text;
        bool isRead = word == "READ";
        if (word == "EXECUTE") {
            std::string name, rest;
            stream >> name;
            std::getline(stream >> std::ws, rest);
            auto it = prepared.find(name);
            if (it == prepared.end()) {
                answer("ERROR NOSUCHSTMT " + name);
                return;
            }
            isRead = it->second.starts_with("READ ");
            shaped = it->second.substr(0, it->second.find(' ')) + " " + rest;
        }
        run(id, shaped, isRead);
    } else
        answer("ERROR MALFORMED " + word);
}

void Connection::run(const std::string& id, const std::string& text, bool isRead)
{
    if (member.faults.turnsAway > 0) {
        --member.faults.turnsAway;
        answer("ERROR BUSY " + member.id);
        return;
    }
    isBusy = true;
    group.occupy(member, [self = shared_from_this(), id, text, isRead] {
        auto timer = std::make_shared<asio::steady_timer>(self->group.context, self->member.faults.work);
        timer->async_wait([self, timer, id, text, isRead](boost::system::error_code) {
            self->group.release(self->member);
            self->isBusy = false;
            if (self->isClosed)
                return;
            auto& group = self->group;
            auto& member = self->member;
            bool isCommit = text == "COMMIT";
            bool leads = group.primary == member.id && (!self->isInTransaction || self->beganIn == group.term);
            bool needsLead = self->isInTransaction ? !self->isReadOnly && !(isCommit && self->written.empty()) : !isRead;
            if (needsLead && !leads) {
                self->hasFailed = self->isInTransaction;
                self->answer("ERROR READONLY " + member.id);
                self->next();
                return;
            }
            if (self->isInTransaction && self->transaction.empty())
                self->transaction = id;
            group.ran.push_back({ member.id, id, text, self->values, self->account, self->isInTransaction ? self->transaction : "" });
            std::string rows;
            std::istringstream stream(text);
            std::string word, item, data;
            stream >> word >> item;
            std::getline(stream >> std::ws, data);
            if (isRead) {
                auto items = group.readAt(member);
                for (auto& [name, value] : self->written)
                    items[name] = value;
                rows = fmt::format("ROW {}\r\n", items[item]);
            } else if (!isCommit) {
                if (self->isInTransaction)
                    self->written[item] = data;
                else
                    group.commit(member, { { item, data } });
            } else {
                if (!self->written.empty())
                    group.commit(member, self->written);
                self->isInTransaction = false;
                self->written.clear();
            }
            if (member.faults.losesAnswers > 0) {
                --member.faults.losesAnswers;
                self->close();
                return;
            }
            if (member.faults.silentAnswers > 0) {
                --member.faults.silentAnswers;
                self->isBusy = true;
                return;
            }
            self->answer(fmt::format("{}COMPLETE sig.{}.{}", rows, member.id, id));
            self->next();
        });
    });
}

void LineGroup::Impl::occupy(Member& member, std::function<void()> work)
{
    if (member.busySlots < slots) {
        ++member.busySlots;
        work();
    } else
        member.queue.push_back(std::move(work));
}

void LineGroup::Impl::release(Member& member)
{
    if (member.queue.empty()) {
        --member.busySlots;
        return;
    }
    auto work = std::move(member.queue.front());
    member.queue.pop_front();
    asio::post(context, std::move(work));
}

Values LineGroup::Impl::readAt(const Member& member) const
{
    Values state;
    for (size_t i = 0; i < member.applied; ++i) {
        for (auto& [name, value] : log[i].items)
            state[name] = value;
    }
    return state;
}

void LineGroup::Impl::commit(Member& member, const Values& written)
{
    log.push_back({ term, written });
    member.received = member.applied = log.size();
    ++commits;
    for (auto& [name, value] : written)
        items[name] = value;
    spread();
}

void LineGroup::Impl::spread()
{
    auto size = log.size();
    auto when = term;
    for (auto& [id, member] : members) {
        if (id == primary || member.faults.isDeaf || !member.isRunning)
            continue;
        auto timer = std::make_shared<asio::steady_timer>(context, member.faults.lag);
        timer->async_wait([this, timer, &member, size, when](boost::system::error_code) {
            if (when != term || member.faults.isDeaf)
                return;
            member.received = member.applied = std::max(member.applied, std::min(size, log.size()));
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
        member.connectionsMost = std::max(member.connectionsMost, member.connections.size());
        connection->begin();
        accept(member);
    });
}

LineGroup::LineGroup(asio::io_context& context, std::string name, std::vector<std::string> ids, std::vector<unsigned short> ports, unsigned slots, unsigned connections)
    : m_impl(std::make_shared<Impl>(Impl { context, std::move(name), ids, {}, slots, connections, {}, {}, 1, {}, {}, 0 }))
{
    m_impl->primary = ids.front();
    for (size_t i = 0; i < ids.size(); ++i) {
        m_impl->members[ids[i]].id = ids[i];
        m_impl->members[ids[i]].port = ports[i];
        begin(ids[i]);
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
size_t LineGroup::getConnections(const std::string& id) const { return m_impl->members.at(id).connections.size(); }
size_t LineGroup::getConnectionsMost(const std::string& id) const { return m_impl->members.at(id).connectionsMost; }
const std::vector<RanStatement>& LineGroup::getRan() const { return m_impl->ran; }
const std::map<std::string, std::string>& LineGroup::getItems() const { return m_impl->items; }
uint64_t LineGroup::getCommits() const { return m_impl->commits; }
uint64_t LineGroup::getTurnedAwayAsBehind() const { return m_impl->turnedAwayAsBehind; }

bool LineGroup::promote(const std::string& id)
{
    auto it = m_impl->members.find(id);
    if (it == m_impl->members.end() || !it->second.isRunning || it->second.faults.isDark)
        return false;
    if (m_impl->primary == id)
        return true;
    m_impl->log.resize(it->second.received);
    m_impl->primary = id;
    ++m_impl->term;
    it->second.applied = it->second.received;
    m_impl->items = m_impl->readAt(it->second);
    for (auto& [other, member] : m_impl->members)
        member.received = member.applied = std::min(member.applied, m_impl->log.size());
    m_impl->spread();
    return true;
}

// Bound and not listening: connections are refused, and nobody else gets the port meanwhile.
static void bindPort(asio::io_context& context, Member& member)
{
    member.acceptor = std::make_unique<tcp::acceptor>(context, tcp::v4());
    member.acceptor->set_option(tcp::acceptor::reuse_address(true));
    // A process that is just being started holds copies of all sockets until it closes them: some ms on a busy machine.
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

void LineGroup::beginEmpty(const std::string& id)
{
    kill(id);
    auto& member = m_impl->members.at(id);
    member.received = member.applied = 0;
    begin(id);
}

unsigned LineGroup::getStarts(const std::string& id) const
{
    return m_impl->members.at(id).starts;
}

void LineGroup::begin(const std::string& id)
{
    auto& member = m_impl->members.at(id);
    if (member.isRunning)
        return;
    if (!member.acceptor)
        bindPort(m_impl->context, member);
    member.acceptor->listen();
    member.isRunning = true;
    ++member.starts;
    member.received = member.applied = std::min(member.applied, m_impl->log.size());
    m_impl->accept(member);
    m_impl->spread();
}

}
