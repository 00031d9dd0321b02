// Stand-in for one member of a database group with the operations of src/links/target.h: terms, asynchronous replication with
// a configurable lag, limited connections and slots, transactions. Statements are GET k, SET k v and APPEND k v; the last words
// may be parameters. Data is kept in memory only.
#include "decisions/session.h"
#include "links/http.h"
#include "links/json_fields.h"
#include "standins/answers.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <map>
#include <set>
#include <sstream>
#include <tclap/CmdLine.h>

namespace asio = boost::asio;
namespace json = boost::json;
using namespace alderward;
using base::Clock;
using base::milliseconds;
using links::getNumber;
using links::getString;
using links::HttpRequest;
using links::HttpResponse;
using standins::makeDroppedResponse;
using standins::makeJsonResponse;

namespace {

constexpr milliseconds kMaxPullWait { 40 }; // after which the primary answers a pull without entries, as a heartbeat
constexpr milliseconds kPullTimeout { 400 };

struct Options {
    std::string name, address, primaryName, primaryAddress;
    unsigned connectionLimit { 16 };
    unsigned slots { 2 };
    milliseconds connectCost { 10 };
    bool canFence { true };
};

struct LogEntry {
    uint64_t term { 0 };
    std::vector<std::pair<std::string, std::string>> effects {}; // key, new value
    std::string requestKey {};
    std::string result {}; // JSON
    bool isClosing { false }; // settles the request key: its statement has not run and never will
    Clock::time_point writtenAt {};
};

struct RequestKeyState {
    uint64_t position { 0 };
    std::string result {};
    bool isClosed { false };
};

struct Transaction {
    std::map<std::string, std::string> writes;
};

struct Session {
    bool isWorkConnection { false };
    bool hasHandshake { false };
    std::optional<Transaction> transaction;
};

HttpResponse refuse(const char* kind, std::string message)
{
    return { 409, json::serialize(json::object { { "refused", kind }, { "message", std::move(message) } }) };
}

class Member {
public:
    Member(asio::io_context& context, Options options)
        : m_context(context)
        , m_options(std::move(options))
        , m_slotReleased(context)
    {
        m_primaryName = m_options.primaryName;
        m_primaryAddress = m_options.primaryAddress;
        m_term = 1;
        m_isPrimary = m_primaryName == m_options.name;
        m_primaryContactAt = Clock::now();
        if (m_isPrimary)
            append({ 1, {}, {}, "null", false, {} });
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        auto body = links::parseObject(request.body.empty() ? "{}" : request.body);
        if (!body)
            co_return HttpResponse { 400, "{}" };
        if (request.path.starts_with("/admin/"))
            co_return handleAdmin(request.path, *body);
        if (m_blockedPeers.contains(request.from))
            co_return makeDroppedResponse();
        auto answer = co_await handleMember(request, *body);
        if (m_blockedPeers.contains(request.from))
            co_return makeDroppedResponse();
        if (m_repliesToDrop > 0 && (request.path == "/member/execute" || request.path == "/member/commit")) {
            --m_repliesToDrop;
            co_return makeDroppedResponse();
        }
        co_return answer;
    }

    void closeSession(uint64_t id)
    {
        auto it = m_sessions.find(id);
        if (it == m_sessions.end())
            return;
        if (it->second.isWorkConnection)
            --m_workConnections;
        m_sessions.erase(it);
    }

    // Pulls new log entries from the primary in a loop.
    asio::awaitable<void> runReplication()
    {
        std::unique_ptr<links::HttpConnection> link;
        std::string connectedAddress;
        for (;;) {
            bool mayPull = !m_isPrimary && !m_primaryAddress.empty() && m_fencedTerm <= m_term && !m_blockedPeers.contains(m_primaryName);
            if (!mayPull) {
                link.reset();
                co_await base::sleepFor(milliseconds(2));
                continue;
            }
            if (!link || !link->isOpen() || connectedAddress != m_primaryAddress) {
                link = links::makeHttpConnection(m_context.get_executor(), m_primaryAddress);
                connectedAddress = m_primaryAddress;
                if (!co_await link->open(Clock::now() + kPullTimeout)) {
                    co_await base::sleepFor(milliseconds(10));
                    continue;
                }
            }
            co_await pullEntries(*link);
        }
    }

private:
    // ---- log ----

    uint64_t getPosition() const { return m_log.size(); }
    uint64_t getLogTerm() const { return m_log.empty() ? 0 : m_log.back().term; }

    void apply(const LogEntry& entry, uint64_t position)
    {
        for (auto& [key, value] : entry.effects)
            m_data[key] = value;
        if (!entry.requestKey.empty())
            m_requestKeys[entry.requestKey] = { position, entry.result, entry.isClosing };
        if (m_history.empty() || m_history.back().term < entry.term)
            m_history.push_back({ entry.term, position });
    }

    void append(LogEntry entry)
    {
        entry.writtenAt = Clock::now();
        m_log.push_back(std::move(entry));
        apply(m_log.back(), getPosition());
        wakeWaiters();
    }

    void truncate(uint64_t position)
    {
        m_log.resize(position);
        m_data.clear();
        m_requestKeys.clear();
        m_history.clear();
        for (size_t i = 0; i < m_log.size(); ++i)
            apply(m_log[i], i + 1);
    }

    json::object describeLog() const
    {
        json::array history;
        size_t first = m_history.size() > 64 ? m_history.size() - 64 : 0;
        for (size_t i = first; i < m_history.size(); ++i)
            history.push_back({ { "term", m_history[i].term }, { "position", m_history[i].position } });
        return { { "logTerm", getLogTerm() }, { "position", getPosition() }, { "history", std::move(history) } };
    }

    // ---- replication ----

    asio::awaitable<void> pullEntries(links::HttpConnection& link)
    {
        HttpRequest request;
        request.path = "/member/log";
        request.from = m_options.name;
        auto term = m_term;
        auto lag = m_lag;
        request.body = json::serialize(json::object { { "term", term }, { "after", getPosition() }, { "lastTerm", getLogTerm() }, { "lagMs", m_lag.count() } });
        auto answer = co_await link.exchange(std::move(request), Clock::now() + kPullTimeout);
        bool isStale = term != m_term || lag != m_lag || m_isPrimary || m_fencedTerm > m_term || m_blockedPeers.contains(m_primaryName);
        if (!answer || isStale || answer->status != 200) {
            co_await base::sleepFor(milliseconds(5));
            co_return;
        }
        auto body = links::parseObject(answer->body);
        if (!body)
            co_return;
        m_primaryContactAt = Clock::now();
        if (body->contains("truncateTo"))
            truncate(std::min(getPosition(), getNumber(*body, "truncateTo")));
        for (auto& it : body->at("entries").get_array())
            appendReplicatedEntry(it.get_object());
        wakeWaiters();
    }

    void appendReplicatedEntry(const json::object& object)
    {
        LogEntry entry { getNumber(object, "t"), {}, getString(object, "k"), getString(object, "r"), links::getBool(object, "c"), Clock::time_point(Clock::duration(static_cast<int64_t>(getNumber(object, "w")))) };
        for (auto& it : object.at("e").get_array())
            entry.effects.emplace_back(it.get_array()[0].get_string(), it.get_array()[1].get_string());
        m_log.push_back(std::move(entry));
        apply(m_log.back(), getPosition());
    }

    static json::object formatEntry(const LogEntry& entry)
    {
        json::array effects;
        for (auto& [key, value] : entry.effects)
            effects.push_back(json::array { key, value });
        return { { "t", entry.term }, { "e", std::move(effects) }, { "k", entry.requestKey }, { "r", entry.result }, { "c", entry.isClosing }, { "w", entry.writtenAt.time_since_epoch().count() } };
    }

    asio::awaitable<HttpResponse> handlePull(const json::object& body)
    {
        if (!m_isPrimary || getNumber(body, "term") != m_term)
            co_return refuse("role", "not the primary of that term");
        auto after = getNumber(body, "after");
        auto lastTerm = getNumber(body, "lastTerm");
        milliseconds lag(getNumber(body, "lagMs"));
        bool matches = after == 0 || (after <= getPosition() && m_log[after - 1].term == lastTerm);
        if (!matches) {
            auto n = std::min(after, getPosition());
            while (n > 0 && (m_log[n - 1].term > lastTerm || n == after))
                --n;
            co_return makeJsonResponse({ { "truncateTo", n }, { "entries", json::array() } });
        }
        auto until = Clock::now() + kMaxPullWait;
        while (!hasDueEntry(after, lag) && Clock::now() < until && m_isPrimary)
            co_await waitForEntry(after, lag, until);
        json::array entries;
        for (auto i = after; i < getPosition() && entries.size() < 500 && isDue(i, lag); ++i)
            entries.push_back(formatEntry(m_log[i]));
        co_return makeJsonResponse({ { "entries", std::move(entries) } });
    }

    bool isDue(uint64_t index, milliseconds lag) const { return m_log[index].writtenAt + lag <= Clock::now(); }
    bool hasDueEntry(uint64_t after, milliseconds lag) const { return after < getPosition() && isDue(after, lag); }

    asio::awaitable<void> waitForEntry(uint64_t after, milliseconds lag, Clock::time_point until)
    {
        if (after < getPosition()) {
            asio::steady_timer timer(m_context);
            timer.expires_at(std::min(until, m_log[after].writtenAt + lag));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            co_return;
        }
        co_await waitForChange(until);
    }

    // Waits until the log changes or `until`.
    asio::awaitable<void> waitForChange(Clock::time_point until)
    {
        asio::steady_timer own(m_context);
        m_waiters.emplace_back(&own);
        own.expires_at(until);
        co_await own.async_wait(asio::as_tuple(asio::use_awaitable));
        std::erase(m_waiters, &own);
    }

    void wakeWaiters()
    {
        for (auto* it : m_waiters)
            it->cancel();
    }

    // ---- statements ----

    asio::awaitable<HttpResponse> handleMember(const HttpRequest& request, const json::object& body)
    {
        auto operation = request.path.substr(std::string("/member/").size());
        if (operation == "log")
            co_return co_await handlePull(body);
        auto& session = m_sessions[request.connection];
        if (operation == "hello")
            co_return co_await handleHello(session, body);
        if (operation == "status")
            co_return handleStatus();
        if (operation == "await")
            co_return co_await handleAwait(body);
        if (operation == "fence")
            co_return handleFence(body);
        if (operation == "promote")
            co_return handlePromote(body);
        if (operation == "follow")
            co_return handleFollow(body);
        if (!session.isWorkConnection)
            co_return refuse("statement", "a work connection is required: send hello first");
        if (operation == "execute" || operation == "commit" || operation == "settle")
            co_return co_await runInSlot(request.connection, operation, body);
        if (operation == "begin")
            co_return handleBegin(session, body);
        if (operation == "rollback") {
            session.transaction.reset();
            co_return makeJsonResponse({});
        }
        co_return HttpResponse { 404, "{}" };
    }

    asio::awaitable<HttpResponse> handleHello(Session& session, const json::object& body)
    {
        session.hasHandshake = true;
        if (getString(body, "purpose") != "work")
            co_return makeJsonResponse({ { "member", m_options.name } });
        if (m_workConnections >= m_options.connectionLimit) {
            ++m_refusedConnections;
            auto answer = refuse("connections", "too many connections");
            answer.mustClose = true;
            co_return answer;
        }
        ++m_workConnections;
        ++m_openedConnections;
        m_peakConnections = std::max(m_peakConnections, m_workConnections);
        session.isWorkConnection = true;
        co_await base::sleepFor(m_options.connectCost);
        co_return makeJsonResponse({ { "member", m_options.name } });
    }

    HttpResponse handleStatus() const
    {
        auto body = describeLog();
        body["member"] = m_options.name;
        body["term"] = m_term;
        body["fencedTerm"] = m_fencedTerm;
        body["role"] = m_isPrimary ? "primary" : "replica";
        body["primary"] = m_primaryName;
        body["heardPrimaryAgoMs"] = m_isPrimary ? 0 : std::chrono::duration_cast<milliseconds>(Clock::now() - m_primaryContactAt).count();
        body["fence"] = m_options.canFence;
        return makeJsonResponse(body);
    }

    asio::awaitable<HttpResponse> handleAwait(const json::object& body)
    {
        auto term = getNumber(body, "term");
        auto position = getNumber(body, "position");
        auto until = Clock::now() + milliseconds(getNumber(body, "limitMs"));
        while (m_term == term && m_fencedTerm <= term && (getLogTerm() != term || getPosition() < position) && Clock::now() < until)
            co_await waitForPosition(until);
        co_return makeJsonResponse({ { "term", m_term }, { "fencedTerm", m_fencedTerm }, { "logTerm", getLogTerm() }, { "position", getPosition() } });
    }

    asio::awaitable<void> waitForPosition(Clock::time_point until)
    {
        co_await waitForChange(std::min(until, Clock::now() + milliseconds(20)));
    }

    HttpResponse handleBegin(Session& session, const json::object& body)
    {
        if (auto refusal = checkWriter(getNumber(body, "term")))
            return *refusal;
        if (session.transaction)
            return refuse("transaction", "a transaction is open already");
        session.transaction.emplace();
        return makeJsonResponse({});
    }

    std::optional<HttpResponse> checkWriter(uint64_t term) const
    {
        if (term != m_term || m_fencedTerm > m_term)
            return refuse("term", fmt::format("in term {}, fenced term {}", m_term, m_fencedTerm));
        if (!m_isPrimary)
            return refuse("role", "not the primary");
        return std::nullopt;
    }

    asio::awaitable<HttpResponse> runInSlot(uint64_t connection, const std::string& operation, const json::object& body)
    {
        while (m_busySlots >= m_options.slots) {
            m_slotReleased.expires_at(Clock::time_point::max());
            co_await m_slotReleased.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        ++m_busySlots;
        if (m_serviceTime.count() > 0)
            co_await base::sleepFor(m_serviceTime);
        HttpResponse answer;
        auto it = m_sessions.find(connection);
        if (it != m_sessions.end())
            answer = co_await execute(it->second, operation, body);
        --m_busySlots;
        m_slotReleased.cancel_one();
        co_return answer;
    }

    asio::awaitable<HttpResponse> execute(Session& session, const std::string& operation, const json::object& body)
    {
        if (operation == "commit")
            co_return commit(session, body);
        if (operation == "settle")
            co_return settle(body);
        if (getString(body, "kind") == "write")
            co_return write(session, body);
        co_return co_await read(session, body);
    }

    static std::vector<std::string> parseStatementWords(const json::object& body)
    {
        std::vector<std::string> words;
        std::istringstream text(getString(body, "statement"));
        for (std::string it; text >> it;)
            words.push_back(it);
        if (auto* parameters = body.if_contains("parameters"); parameters && parameters->is_array()) {
            for (auto& it : parameters->get_array())
                words.push_back(it.is_string() ? std::string(it.get_string()) : json::serialize(it));
        }
        return words;
    }

    std::string getValue(const Session& session, const std::string& key) const
    {
        if (session.transaction) {
            auto it = session.transaction->writes.find(key);
            if (it != session.transaction->writes.end())
                return it->second;
        }
        auto it = m_data.find(key);
        return it == m_data.end() ? std::string() : it->second;
    }

    HttpResponse makeResult(const std::string& result, bool wasReplayed, uint64_t position) const
    {
        return makeJsonResponse({ { "result", json::parse(result) }, { "term", getLogTerm() }, { "position", position }, { "replayed", wasReplayed }, { "memberTerm", m_term }, { "fencedTerm", m_fencedTerm } });
    }

    std::optional<HttpResponse> replayResult(const std::string& requestKey) const
    {
        auto it = m_requestKeys.find(requestKey);
        if (requestKey.empty() || it == m_requestKeys.end())
            return std::nullopt;
        if (it->second.isClosed)
            return refuse("key-closed", "the request key was settled as not run");
        return makeResult(it->second.result, true, getPosition());
    }

    HttpResponse write(Session& session, const json::object& body)
    {
        if (auto refusal = checkWriter(getNumber(body, "term")))
            return *refusal;
        auto requestKey = getString(body, "requestKey");
        if (auto first = replayResult(requestKey))
            return *first;
        auto words = parseStatementWords(body);
        if (words.size() < 3 || (words[0] != "SET" && words[0] != "APPEND"))
            return refuse("statement", "writes are SET k v and APPEND k v");
        auto value = words[0] == "APPEND" ? getValue(session, words[1]) + words[2] : words[2];
        auto result = json::serialize(json::value(value));
        if (session.transaction) {
            session.transaction->writes[words[1]] = value;
            return makeResult(result, false, getPosition());
        }
        append({ m_term, { { words[1], value } }, requestKey, result, false, {} });
        return makeResult(result, false, getPosition());
    }

    HttpResponse commit(Session& session, const json::object& body)
    {
        if (!session.transaction)
            return refuse("transaction", "no transaction is open");
        auto transaction = std::move(*session.transaction);
        session.transaction.reset();
        if (!m_isPrimary || m_fencedTerm > m_term)
            return refuse("term", "the transaction's term was superseded");
        auto requestKey = getString(body, "requestKey");
        if (auto first = replayResult(requestKey))
            return *first;
        append({ m_term, { transaction.writes.begin(), transaction.writes.end() }, requestKey, "null", false, {} });
        return makeResult("null", false, getPosition());
    }

    HttpResponse settle(const json::object& body)
    {
        if (auto refusal = checkWriter(getNumber(body, "term")))
            return *refusal;
        auto requestKey = getString(body, "requestKey");
        auto it = m_requestKeys.find(requestKey);
        bool didRun = it != m_requestKeys.end() && !it->second.isClosed;
        if (it == m_requestKeys.end()) {
            append({ m_term, {}, requestKey, "null", true, {} });
        }
        return makeJsonResponse({ { "ran", didRun }, { "result", json::parse(didRun ? it->second.result : "null") }, { "term", getLogTerm() }, { "position", getPosition() }, { "replayed", didRun } });
    }

    asio::awaitable<HttpResponse> read(Session& session, const json::object& body)
    {
        decisions::Mark mark;
        if (auto* atLeast = body.if_contains("atLeast"))
            mark = { getNumber(atLeast->get_object(), "term"), getNumber(atLeast->get_object(), "position") };
        auto until = Clock::now() + milliseconds(getNumber(body, "waitMs"));
        while (!containsMark(mark) && Clock::now() < until)
            co_await waitForPosition(until);
        if (!containsMark(mark))
            co_return refuse("behind", fmt::format("at {}.{}", getLogTerm(), getPosition()));
        auto words = parseStatementWords(body);
        if (words.size() != 2 || words[0] != "GET")
            co_return refuse("statement", "reads are GET k");
        ++m_reads;
        co_return makeResult(json::serialize(json::value(getValue(session, words[1]))), false, getPosition());
    }

    bool containsMark(const decisions::Mark& mark) const
    {
        return decisions::getContainment({ getLogTerm(), getPosition(), m_history }, mark) == decisions::Containment::Contained;
    }

    // ---- fencing and promotion ----

    HttpResponse handleFence(const json::object& body)
    {
        if (!m_options.canFence)
            return refuse("statement", "fence is not supported");
        auto term = getNumber(body, "term");
        auto proposer = getString(body, "proposer");
        bool isRepeated = term == m_fencedTerm && proposer == m_proposer;
        bool isGranted = isRepeated || (term > m_fencedTerm && term > m_term);
        if (isGranted && !isRepeated) {
            m_fencedTerm = term;
            m_proposer = proposer;
            rollBackAll();
            wakeWaiters();
        }
        auto answer = describeLog();
        answer["granted"] = isGranted;
        answer["fencedTerm"] = std::max(m_fencedTerm, m_term);
        return makeJsonResponse(answer);
    }

    HttpResponse handlePromote(const json::object& body)
    {
        auto term = getNumber(body, "term");
        bool isGranted = m_options.canFence ? (term == m_fencedTerm && getString(body, "proposer") == m_proposer) : term > m_term;
        if (m_isPrimary && term == m_term)
            return makeJsonResponse({});
        if (!isGranted || term <= m_term)
            return refuse("term", fmt::format("fenced term is {}", m_fencedTerm));
        m_term = term;
        m_fencedTerm = std::max(m_fencedTerm, term);
        m_isPrimary = true;
        m_primaryName = m_options.name;
        append({ term, {}, {}, "null", false, {} });
        return makeJsonResponse({});
    }

    HttpResponse handleFollow(const json::object& body)
    {
        auto term = getNumber(body, "term");
        if (term < m_term || term < m_fencedTerm || (term == m_term && m_isPrimary))
            return refuse("term", fmt::format("in term {}, fenced term {}", m_term, m_fencedTerm));
        if (term > m_term)
            rollBackAll();
        m_term = term;
        m_fencedTerm = term;
        m_isPrimary = false;
        m_primaryName = getString(body, "primary");
        m_primaryAddress = getString(body, "address");
        wakeWaiters();
        return makeJsonResponse({});
    }

    void rollBackAll()
    {
        for (auto& [id, session] : m_sessions)
            session.transaction.reset();
    }

    // ---- test commands ----

    HttpResponse handleAdmin(const std::string& path, const json::object& body)
    {
        if (path == "/admin/set") {
            if (body.contains("lagMs"))
                m_lag = milliseconds(getNumber(body, "lagMs"));
            if (body.contains("serviceMs"))
                m_serviceTime = milliseconds(getNumber(body, "serviceMs"));
            if (body.contains("loseAnswers"))
                m_repliesToDrop = getNumber(body, "loseAnswers");
            standins::applyBlockedPeers(body, m_blockedPeers);
            return makeJsonResponse({});
        }
        if (path == "/admin/log") {
            json::array entries;
            for (auto& it : m_log) // without data, to keep the response short
                entries.push_back({ { "t", it.term }, { "k", it.requestKey } });
            return makeJsonResponse({ { "entries", std::move(entries) } });
        }
        return makeJsonResponse({ { "reads", m_reads }, { "connections", m_workConnections }, { "openedConnections", m_openedConnections }, { "refusedConnections", m_refusedConnections }, { "mostConnections", m_peakConnections }, { "term", m_term }, { "fencedTerm", m_fencedTerm }, { "position", getPosition() }, { "role", m_isPrimary ? "primary" : "replica" } });
    }

    asio::io_context& m_context;
    Options m_options;
    uint64_t m_term { 0 };
    uint64_t m_fencedTerm { 0 };
    std::string m_proposer;
    bool m_isPrimary { false };
    std::string m_primaryName;
    std::string m_primaryAddress;
    Clock::time_point m_primaryContactAt;
    std::vector<LogEntry> m_log;
    std::vector<decisions::TermStart> m_history;
    std::map<std::string, std::string> m_data;
    std::map<std::string, RequestKeyState> m_requestKeys;
    std::map<uint64_t, Session> m_sessions;
    std::set<std::string> m_blockedPeers;
    std::vector<asio::steady_timer*> m_waiters;
    asio::steady_timer m_slotReleased;
    milliseconds m_lag { 0 };
    milliseconds m_serviceTime { 0 };
    uint64_t m_repliesToDrop { 0 };
    unsigned m_busySlots { 0 };
    unsigned m_workConnections { 0 };
    unsigned m_peakConnections { 0 };
    uint64_t m_openedConnections { 0 };
    uint64_t m_refusedConnections { 0 };
    uint64_t m_reads { 0 };
};

Options readOptions(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for a member of a database group.", ' ', ALDERWARD_VERSION);
    TCLAP::ValueArg<std::string> name("", "name", "Member's name", true, "", "name", command);
    TCLAP::ValueArg<std::string> address("", "address", "Listening address", true, "", "ip:port", command);
    TCLAP::ValueArg<std::string> primaryName("", "primary", "Name of the initial primary", true, "", "name", command);
    TCLAP::ValueArg<std::string> primaryAddress("", "primary-address", "Address of the initial primary", true, "", "ip:port", command);
    TCLAP::ValueArg<unsigned> connections("", "connections", "Maximum number of work connections", false, 16, "n", command);
    TCLAP::ValueArg<unsigned> slots("", "slots", "Number of statements executed at a time", false, 2, "n", command);
    TCLAP::ValueArg<unsigned> cost("", "connect-ms", "Time to open a work connection", false, 10, "ms", command);
    TCLAP::SwitchArg noFence("", "no-fence", "Refuse fencing", command);
    command.parse(argc, argv);
    return { name.getValue(), address.getValue(), primaryName.getValue(), primaryAddress.getValue(), connections.getValue(), slots.getValue(), milliseconds(cost.getValue()), !noFence.getValue() };
}

}

int main(int argc, char** argv)
{
    auto options = readOptions(argc, argv);
    asio::io_context context(1);
    Member member(context, options);
    links::HttpServerOptions serverOptions;
    serverOptions.onClose = [&member](uint64_t connection) { member.closeSession(connection); };
    serverOptions.bodyLimit = 8 << 20;
    auto server = links::startHttpServer(
        context, options.address, [&member](HttpRequest request) { return member.handle(std::move(request)); }, serverOptions);
    if (!server) {
        fmt::print(stderr, "{}\n", server.error());
        return 1;
    }
    asio::co_spawn(context, member.runReplication(), asio::detached);
    context.run();
}
