// Stand-ins for the platform, its members and its clients, written from the users' pages (PROTOCOL, DEPLOY). They run in the process of a case,
// which starts the gateways as processes of their own.
#pragma once
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Writes lines with the time since the start to record.txt and to standard output.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void add(const std::string& line);

private:
    std::mutex m_mutex;
    FILE* m_file;
    Clock::time_point m_start { Clock::now() };
};

bool waitUntil(milliseconds limit, const std::function<bool()>& isDone);
void sleepFor(milliseconds time);
unsigned short findFreePort();

// ---- TCP ----

class Socket {
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket();
    static std::unique_ptr<Socket> connect(unsigned short port);
    bool send(const std::string& bytes) const;
    // Reads to the next line feed and removes the line end; false at the end of the connection or after the limit.
    bool readLine(std::string& line, milliseconds limit);
    bool readBytes(std::string& bytes, size_t count);
    void shutDown() const;

private:
    bool receive(milliseconds limit);
    int m_fd;
    std::string m_buf;
};

// Accepts connections on a loopback port and serves each in a thread.
class Listener {
public:
    using Handler = std::function<void(const std::shared_ptr<Socket>&)>;
    Listener(unsigned short port, Handler handler);
    ~Listener();
    void close();
    void dropConnections();
    unsigned short getPort() const { return m_port; }

private:
    void accept();
    unsigned short m_port;
    int m_fd { -1 };
    Handler m_handler;
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Socket>> m_connections;
    std::atomic<int> m_running { 0 };
    std::atomic<bool> m_isClosed { false };
};

// ---- members ----

struct LogEntry {
    uint64_t term;
    std::string id; // of the write or the COMMIT
    std::map<std::string, std::string> items;
    Clock::time_point at;
    bool isAcknowledged { false };
};

// A statement that a member has run.
struct RunStatement {
    std::string member;
    std::string id;
    std::string text; // as received; a prepared name is followed by what it names
    Clock::time_point at;
};

struct GroupOptions {
    std::string name { "svc0" };
    std::vector<std::string> members { "i-a", "i-b", "i-c" }; // the first one is primary
    unsigned slots { 5 };
    unsigned maxConnections { 55 };
    unsigned synchronousReplicas { 0 };
    milliseconds work { 5 }; // of each read, write and commit
    milliseconds promoteTime { 300 };
    milliseconds lag { 20 }; // mean time until a replica has received a commit
};

class Group {
public:
    Group(GroupOptions options, Record& record);
    ~Group();

    const GroupOptions& getOptions() const { return m_options; }
    unsigned short getPort(const std::string& member) const { return m_members.at(member)->listener->getPort(); }
    std::string getPrimary();
    uint64_t getTerm();
    bool isRunning(const std::string& member);
    uint64_t getSuspendedFor(const std::string& member);
    std::vector<RunStatement> getRun();
    std::vector<LogEntry> getLog();
    std::vector<LogEntry> getLost(); // acknowledged commits that a promoted member lacked
    void setWork(milliseconds work) { m_work = work; }
    void kill(const std::string& member);
    void start(const std::string& member); // with its log
    bool promote(const std::string& member);
    // A new replica without a log, which it receives from the primary.
    void add(const std::string& member);
    // The member has left for good.
    void remove(const std::string& member);
    std::vector<std::string> getMembers();

private:
    struct Member {
        std::string id;
        std::unique_ptr<Listener> listener;
        bool isRunning { true };
        bool hasLeft { false };
        size_t received { 0 }; // entries of the log
        uint64_t suspendedFor { 0 };
        unsigned busy { 0 };
        unsigned connections { 0 };
        unsigned starts { 0 };
    };
    struct Session;
    void serve(Member& member, const std::shared_ptr<Socket>& socket);
    std::string answer(Session& session, const std::string& id, std::string text);
    std::string run(Session& session, const std::string& id, const std::string& text, const std::string& word, std::string rest);
    std::string commit(Session& session, const std::string& id, const std::map<std::string, std::string>& items, std::unique_lock<std::mutex>& lock);
    std::string getStatus(const Member& member) const;
    std::string getItem(const Member& member, const std::string& item) const;
    size_t countHolders(size_t entries) const;
    void replicate();

    GroupOptions m_options;
    Record& m_record;
    std::atomic<milliseconds> m_work;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::unique_ptr<Member>> m_members;
    std::vector<LogEntry> m_log;
    std::vector<LogEntry> m_lost;
    std::vector<RunStatement> m_run;
    std::string m_primary;
    uint64_t m_term { 1 };
    std::atomic<bool> m_isOver { false };
    std::thread m_replicator;
};

// ---- platform ----

// The store and the promotion call.
class Platform {
public:
    Platform(std::vector<Group*> groups, Record& record);
    ~Platform();

    unsigned short getPort() const { return m_listener->getPort(); }
    void put(const std::string& key, const std::string& value);
    void setDraining(const std::string& member);
    // Orders get no answer and are carried out this much later; 0: they are answered.
    void setLateOrders(milliseconds delay) { m_lateBy = delay; }
    unsigned countOrders() const { return m_orders; }
    Clock::time_point getFirstOrderAt(); // since the last call of resetFirstOrder(); zero: none
    void resetFirstOrder();

private:
    struct Item {
        std::string value; // base64
        uint64_t revision;
        uint64_t created;
        uint64_t lease;
    };
    struct Event {
        uint64_t revision;
        std::string key;
        bool isDeleted;
        Item item;
    };
    void serve(const std::shared_ptr<Socket>& socket);
    std::string handle(const std::string& method, const std::string& target, const std::map<std::string, std::string>& headers, const std::string& body);
    std::string change(const std::string& body);
    std::string watch(const std::string& prefix, uint64_t after, milliseconds wait);
    std::string list(const std::string& prefix, const std::string& after);
    std::string promote(const std::map<std::string, std::string>& headers, const std::string& body);
    bool carryOut(Group& group, const std::string& member, uint64_t token, const std::string& holder);
    void write(const std::string& key, const std::string& value, uint64_t lease);
    void erase(const std::string& key);
    void beat();
    boost::json::object describe(const std::string& key, const Item& item) const;

    std::vector<Group*> m_groups;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<uint64_t, std::pair<Clock::time_point, milliseconds>> m_leases;
    std::map<std::string, uint64_t> m_tokens; // highest seen, by service
    std::set<std::string> m_draining;
    uint64_t m_revision { 1 };
    uint64_t m_lastLease { 0 };
    Clock::time_point m_firstOrderAt {};
    std::atomic<milliseconds> m_lateBy { milliseconds(0) };
    std::atomic<unsigned> m_orders { 0 };
    std::atomic<unsigned> m_pendingOrders { 0 };
    std::atomic<bool> m_isOver { false };
    std::unique_ptr<Listener> m_listener;
    std::thread m_thread;
};

// ---- gateways ----

struct HostOptions {
    int graceMs { 6000 };
    int drainMs { 7000 };
};

// A gateway, started with the command of the deploy file.
class Host {
public:
    Host(std::string name, std::string zone, const Platform& platform, const std::string& folder, HostOptions options = {});
    ~Host();
    void start();
    void signal(int number) const;
    bool isRunning();
    bool isReady() const;
    unsigned short getFront() const { return m_front; }
    const std::string& getName() const { return m_name; }
    bool logContains(const std::string& text) const;

private:
    std::string m_name;
    std::string m_zone;
    std::string m_folder;
    HostOptions m_options;
    unsigned short m_platform;
    unsigned short m_front;
    unsigned short m_control;
    unsigned short m_ready;
    unsigned short m_metrics;
    pid_t m_process { -1 };
};

// ---- clients ----

struct Answer {
    std::vector<std::string> rows {};
    std::string result {}; // "COMPLETE ..." or "ERROR ..."
    std::string state {}; // empty: the answer is not complete
    bool isComplete() const { return !state.empty(); }
    bool isOk() const { return isComplete() && result.starts_with("COMPLETE"); }
    std::string getText() const;
};

class Client {
public:
    Client(const Host& host, const std::string& database, Record& record, std::string name);
    bool isOpen() const { return m_isOpen; }
    Answer ask(const std::string& text, milliseconds limit = milliseconds(10000));
    const std::string& getLastId() const { return m_lastId; }
    void close();

private:
    Answer receive(milliseconds limit);
    std::unique_ptr<Socket> m_socket;
    Record& m_record;
    std::string m_name;
    std::string m_lastId;
    bool m_isOpen { false };
};

// ---- a whole deployment ----

struct RouteOptions {
    std::string database;
    std::string kind { "primary" };
    int timeoutMs { 1000 };
    int stalenessMs { 0 };
    int priority { 1 };
};

struct Deployment {
    Deployment(GroupOptions groupOptions, const std::vector<RouteOptions>& routes, unsigned hosts, const std::string& recordPath, HostOptions hostOptions = {});
    ~Deployment();
    bool start(); // false: the gateways did not become ready
    void configure(uint64_t version, const std::vector<RouteOptions>& routes);
    std::string folder;
    Record record;
    Group group;
    Platform platform;
    std::vector<std::unique_ptr<Host>> hosts;
};

bool hasTrouble(); // false with TROUBLE=0

}
