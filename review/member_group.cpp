#include "review/member_group.h"
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sstream>

namespace review {

namespace asio = boost::asio;
using alderward::links::Channel;
using asio::ip::tcp;

static constexpr milliseconds kStatementTime { 4 }; // of a read, write or commit in a slot
static constexpr size_t kMaxConnections = 16; // of one member

struct MemberGroup::Connection {
    std::shared_ptr<Channel> channel;
    Member* member { nullptr };
    std::deque<std::string> lines; // not handled yet
    std::map<std::string, std::string> written; // by the open transaction
    uint64_t transactionTerm { 0 };
    bool isOpen { true };
    bool isGreeted { false };
    bool isBusy { false };
    bool isInTransaction { false };
    bool isReadOnly { false };
    bool hasFailed { false };
};

static std::vector<std::string> split(const std::string& line)
{
    std::istringstream stream(line);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

MemberGroup::MemberGroup(asio::io_context& context, std::string name, const std::vector<MemberOptions>& members, unsigned synchronousReplicas, Log log)
    : m_context(context)
    , m_name(std::move(name))
    , m_primary(members.front().id)
    , m_synchronousReplicas(synchronousReplicas)
    , m_write(std::move(log))
{
    for (auto& it : members) {
        m_members[it.id].options = it;
        listen(m_members[it.id]);
    }
}

MemberGroup::~MemberGroup() = default;

std::string MemberGroup::getAddress(const std::string& id) const
{
    return fmt::format("127.0.0.1:{}", m_members.at(id).options.port);
}

void MemberGroup::after(milliseconds time, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, time);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code ec) {
        if (!ec)
            task();
    });
}

void MemberGroup::listen(Member& member)
{
    member.acceptor = std::make_unique<tcp::acceptor>(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), member.options.port));
    accept(member);
}

void MemberGroup::crash(const std::string& id)
{
    auto& member = m_members.at(id);
    member.acceptor = nullptr;
    member.log.clear();
    auto connections = member.connections;
    for (auto& it : connections)
        close(it);
}

void MemberGroup::startAgain(const std::string& id)
{
    auto& member = m_members.at(id);
    ++member.startCount;
    listen(member);
    auto& primary = m_members.at(m_primary);
    if (&primary != &member)
        replicate(primary, member, primary.log.size());
}

void MemberGroup::accept(Member& member)
{
    member.acceptor->async_accept([this, &member](boost::system::error_code ec, tcp::socket socket) {
        if (ec || !member.acceptor)
            return;
        auto connection = std::make_shared<Connection>();
        connection->member = &member;
        connection->channel = std::make_shared<Channel>(m_context.get_executor(), alderward::links::ChannelOptions {});
        member.connections.insert(connection);
        auto onMessage = [this, connection](std::string_view message) {
            connection->lines.emplace_back(message);
            handleNext(connection);
        };
        connection->channel->start(std::move(socket), onMessage, [this, connection](const std::string&) { close(connection); });
        accept(member);
    });
}

// A connection that is closed rolls back.
void MemberGroup::close(const ConnectionPtr& connection)
{
    connection->isOpen = false;
    connection->channel->close();
    connection->member->connections.erase(connection);
}

void MemberGroup::handleNext(const ConnectionPtr& connection)
{
    while (connection->isOpen && !connection->isBusy && !connection->lines.empty()) {
        auto line = std::move(connection->lines.front());
        connection->lines.pop_front();
        handleLine(connection, line);
    }
}

// "TERM.NUMBER of the member's log, or `-`": an empty log has no position.
std::string MemberGroup::getPosition(const Member& member) const
{
    return member.log.empty() ? "-" : fmt::format("{}.{}", m_term, member.log.size());
}

void MemberGroup::answer(const ConnectionPtr& connection, const std::string& body)
{
    if (!connection->isOpen)
        return;
    auto state = connection->hasFailed ? "E" : connection->isInTransaction ? "T"
                                                                           : "I";
    connection->channel->send(fmt::format("{}\r\nREADY {} {}\r\n", body, state, getPosition(*connection->member)));
}

void MemberGroup::handleLine(const ConnectionPtr& connection, const std::string& line)
{
    auto words = split(line);
    if (words.size() >= 3 && words[0] == "CONNECT" && !connection->isGreeted)
        handleConnect(connection, words);
    else if (words.size() >= 3 && words[0] == "QUERY" && connection->isGreeted)
        handleQuery(connection, words[1], line.substr(line.find(words[1], 6) + words[1].size() + 1));
    else
        close(connection);
}

void MemberGroup::handleConnect(const ConnectionPtr& connection, const std::vector<std::string>& words)
{
    auto& member = *connection->member;
    bool isWrong = words[1] != m_name || (words.size() > 3 && words[3] != member.options.id);
    bool isFull = member.connections.size() > kMaxConnections;
    if (isWrong || isFull) {
        connection->channel->send(fmt::format("ERROR {} {}\r\n", isWrong ? "WRONGNODE" : "OVERLOAD", member.options.id));
        connection->channel->closeAfterWrite();
        return;
    }
    connection->isGreeted = true;
    connection->channel->send(fmt::format("READY I {}\r\n", getPosition(member)));
}

void MemberGroup::handleQuery(const ConnectionPtr& connection, const std::string& id, std::string text)
{
    auto& member = *connection->member;
    bool isPrimary = m_primary == member.options.id;
    if (text.starts_with("AFTER ")) {
        auto end = text.find(' ', 6);
        auto mark = text.substr(6, end - 6);
        text = text.substr(end + 1);
        auto dot = mark.find('.');
        if (std::stoull(mark.substr(0, dot)) > m_term || std::stoull(mark.substr(dot + 1)) > member.log.size()) {
            answer(connection, "ERROR LAGGING " + member.options.id);
            return;
        }
    }
    auto word = text.substr(0, text.find(' '));
    if (connection->hasFailed && word != "ROLLBACK" && word != "COMMIT")
        answer(connection, "ERROR MALFORMED the transaction failed");
    else if (word == "STATUS")
        answer(connection, fmt::format("ROW {} {} {} 0 0 0 {}\r\nCOMPLETE -", isPrimary ? "primary" : "replica", m_term, getPosition(member), member.connections.size()));
    else if (word == "SET" || word == "RESET")
        answer(connection, "COMPLETE -");
    else if (word == "BEGIN" && text != "BEGIN READ" && !isPrimary)
        answer(connection, "ERROR READONLY " + member.options.id);
    else if (word == "BEGIN") {
        connection->isInTransaction = true;
        connection->isReadOnly = text == "BEGIN READ";
        connection->transactionTerm = m_term;
        connection->written.clear();
        answer(connection, "COMPLETE -");
    } else if (word == "ROLLBACK") {
        connection->isInTransaction = connection->hasFailed = false;
        connection->written.clear();
        answer(connection, "COMPLETE -");
    } else if (word == "READ" || word == "WRITE" || word == "COMMIT") {
        connection->isBusy = true;
        after(kStatementTime, [this, connection, id, text] {
            connection->isBusy = false;
            if (connection->isOpen)
                run(connection, id, text);
            handleNext(connection);
        });
    } else
        answer(connection, "ERROR MALFORMED " + word);
}

std::string MemberGroup::read(const Member& member, const std::string& item) const
{
    for (size_t i = member.log.size(); i > 0; --i) {
        auto& items = member.log[i - 1]->items;
        auto found = items.find(item);
        if (found != items.end())
            return found->second;
    }
    return "";
}

void MemberGroup::run(const ConnectionPtr& connection, const std::string& id, const std::string& text)
{
    auto& member = *connection->member;
    auto words = split(text);
    words.resize(3);
    bool isRead = words[0] == "READ";
    bool isCommit = words[0] == "COMMIT";
    bool isPrimary = m_primary == member.options.id && (!connection->isInTransaction || connection->transactionTerm == m_term);
    bool isEmptyCommit = isCommit && connection->written.empty();
    bool needsPrimary = connection->isInTransaction ? !connection->isReadOnly && !isEmptyCommit : !isRead;
    if (connection->hasFailed || (isCommit && !connection->isInTransaction)) {
        connection->isInTransaction = connection->hasFailed = false;
        answer(connection, "ERROR ABORTED the transaction failed");
        return;
    }
    if (needsPrimary && !isPrimary) {
        connection->hasFailed = connection->isInTransaction;
        answer(connection, "ERROR READONLY " + member.options.id);
        return;
    }
    m_write(fmt::format("{} runs {} {}", member.options.id, id, text));
    auto signature = fmt::format("COMPLETE sig.{}.{}", member.options.id, id);
    if (isRead) {
        auto own = connection->written.find(words[1]);
        answer(connection, fmt::format("ROW {}\r\n{}", own == connection->written.end() ? read(member, words[1]) : own->second, signature));
        return;
    }
    if (!isCommit && connection->isInTransaction) {
        connection->written[words[1]] = words[2];
        answer(connection, signature);
        return;
    }
    auto items = isCommit ? std::move(connection->written) : std::map<std::string, std::string> { { words[1], words[2] } };
    connection->written.clear();
    connection->isInTransaction = false;
    if (items.empty()) {
        answer(connection, signature);
        return;
    }
    connection->isBusy = true;
    commit(member, id, std::move(items), [this, connection, id, signature] {
        m_acknowledged.insert(id);
        connection->isBusy = false;
        answer(connection, signature);
        handleNext(connection);
    });
}

void MemberGroup::commit(Member& member, const std::string& id, std::map<std::string, std::string> items, std::function<void()> acknowledge)
{
    auto entry = std::make_shared<Entry>(Entry { id, std::move(items), {}, std::move(acknowledge) });
    member.log.push_back(entry);
    if (m_synchronousReplicas == 0)
        std::exchange(entry->acknowledge, nullptr)();
    for (auto& [other, replica] : m_members) {
        if (&replica != &member)
            replicate(member, replica, member.log.size());
    }
}

// Sends the first `count` entries of the log. What was sent arrives, also if the sender crashes meanwhile.
void MemberGroup::replicate(const Member& from, Member& replica, size_t count)
{
    std::vector<std::shared_ptr<Entry>> entries(from.log.begin() + static_cast<std::ptrdiff_t>(std::min(replica.log.size(), count)), from.log.begin() + static_cast<std::ptrdiff_t>(count));
    auto first = count - entries.size();
    after(replica.options.lag, [this, &replica, entries = std::move(entries), first, term = m_term, start = replica.startCount] {
        if (term != m_term || start != replica.startCount || !replica.acceptor)
            return;
        for (size_t i = 0; i < entries.size(); ++i) {
            if (first + i != replica.log.size()) // received before
                continue;
            replica.log.push_back(entries[i]);
            entries[i]->receivedBy.push_back(replica.options.id);
            if (auto acknowledge = std::exchange(entries[i]->acknowledge, nullptr))
                acknowledge();
        }
    });
}

void MemberGroup::promote(const std::string& id)
{
    auto& member = m_members.at(id);
    auto& before = m_members.at(m_primary);
    m_write(fmt::format("{} leads term {} with {} commits; {} has {}", id, m_term + 1, member.log.size(), m_primary, before.log.size()));
    for (size_t i = member.log.size(); i < before.log.size(); ++i) {
        auto& entry = *before.log[i];
        m_lost.push_back({ entry.statement, id, entry.receivedBy, m_acknowledged.contains(entry.statement) });
        m_write(fmt::format("the log of {} lacks the commit of {}: received by [{}], {}", id, entry.statement, fmt::join(entry.receivedBy, " "), m_lost.back().wasAcknowledged ? "acknowledged  <-- LOST" : "not acknowledged"));
    }
    m_primary = id;
    ++m_term;
    for (auto& [other, it] : m_members) {
        if (&it == &member)
            continue;
        it.log.resize(std::min(it.log.size(), member.log.size()));
        replicate(member, it, member.log.size());
    }
}

}
