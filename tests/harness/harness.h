// Starts stand-ins and hosts as separate processes and sends requests to them, for process tests, benchmarks and the demo.
// Ends every process that it started.
#pragma once
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace harness {

namespace json = boost::json;
using std::chrono::milliseconds;

// A child process; killed on destruction.
class Process {
public:
    Process(std::vector<std::string> arguments, std::string logPath);
    Process(const Process&) = delete;
    ~Process();
    void signal(int number);
    void kill(); // SIGKILL and wait
    std::optional<int> wait(milliseconds limit); // exit code, 128 + signal if killed; empty on timeout
    bool isRunning();
    pid_t getId() const { return m_id; }

private:
    pid_t m_id { -1 };
};

struct Answer {
    unsigned status { 0 }; // HTTP status; 0: the connection failed
    bool mayHaveArrived { false }; // the server may have received the request; for status 0
    json::object body {};
};

// A blocking keep-alive HTTP client. Reconnects after the server closed the connection.
class Client {
public:
    explicit Client(std::string address);
    ~Client();
    Answer post(const std::string& path, const json::object& body, milliseconds limit = milliseconds(10000));
    Answer get(const std::string& path, milliseconds limit = milliseconds(5000));
    std::string getText(const std::string& path);
    // Sends raw bytes and returns everything received until the server closes or the limit passes.
    std::string sendRaw(const std::string& bytes, milliseconds limit);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

struct GroupOptions {
    std::string name;
    std::vector<std::string> members; // names; the index selects the data centre
    unsigned connections { 16 };
    unsigned slots { 2 };
    unsigned connectMs { 10 };
    std::string acknowledge { "replicated" };
    bool canFence { true };
    std::string promotion { R"({"mode":"automatic","leastIntervalMs":0,"mostPerHour":1000})" };
};

struct ClusterOptions {
    std::vector<std::string> dataCentres { "ahmedabad", "vadodara", "rajkot" };
    std::vector<GroupOptions> groups;
    unsigned hosts { 3 };
    unsigned threads { 2 }; // request threads of each host
    std::string extraSettings {}; // appended to each host's settings file; begins in section [debug]
};

// Systems like those of two users, Sahyog and Batbayar: three groups of three members each.
ClusterOptions makeSahyogOptions(unsigned hosts = 7);
ClusterOptions makeBatbayarOptions(unsigned hosts = 9);
ClusterOptions makeSmallOptions(); // one group of three members, three hosts

// A system of hosts, members and a platform, each a process of its own.
class Cluster {
public:
    explicit Cluster(ClusterOptions options);
    ~Cluster();

    void startAll(); // returns when all groups have a primary and all hosts know each other; throws on timeout
    void startHost(size_t index);
    Process& getHost(size_t index) { return *m_hosts.at(index); }
    Process& getMember(const std::string& name) { return *m_members.at(name); }
    Process& getPlatform() { return *m_platform; }
    std::string getHostName(size_t index) const { return "h" + std::to_string(index + 1); }
    std::string getCallerAddress(size_t index) const { return getAddress(m_callerPorts.at(index)); }
    std::string getOperatorAddress(size_t index) const { return getAddress(m_operatorPorts.at(index)); }
    std::string getPeerAddress(size_t index) const { return getAddress(m_peerPorts.at(index)); }
    std::string getPlatformAddress() const { return getAddress(m_platformPort); }
    std::string getMemberAddress(const std::string& name) const { return getAddress(m_memberPorts.at(name)); }
    std::string getSettingsPath(size_t index) const { return m_folder + "/" + getHostName(index) + ".ini"; }
    const ClusterOptions& getOptions() const { return m_options; }
    const std::string& getFolder() const { return m_folder; }

    // ---- test commands of stand-ins and hosts ----
    json::object setMember(const std::string& name, const json::object& body); // /admin/set
    json::object getMemberStats(const std::string& name);
    json::object setPlatform(const json::object& body);
    json::object getPlatformStats();
    void blockPeers(size_t index, const std::vector<std::string>& names);
    // Writes the host's entry of the platform's host list after `lag`.
    void registerHost(const std::string& name, const json::object& value, milliseconds lag = milliseconds(0));
    void setHostLeaving(const std::string& name, bool isLeaving);

    // ---- state of hosts ----
    json::object getStatus(size_t index);
    std::string getPrimary(const std::string& group, size_t viewer); // as known to host `viewer`; empty: none known, or not a home
    std::vector<size_t> getHomes(const std::string& group);
    uint64_t getMetric(size_t index, const std::string& name);
    uint64_t sumMetric(const std::string& name);
    std::vector<json::object> getEvents(size_t index);
    bool hasEvent(size_t index, const std::string& kind, const std::string& group);

    // ---- alderctl ----
    struct ToolResult {
        int code { -1 };
        std::string output {};
    };
    ToolResult runTool(const std::vector<std::string>& arguments);
    std::string writeRecord(const GroupOptions& group, const std::function<void(json::object&)>& change = {}); // returns the file's path
    void applyRecord(const GroupOptions& group, const std::function<void(json::object&)>& change = {});

private:
    static std::string getAddress(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }
    void startStandIns();
    void writeSettings(size_t index);
    json::object postAdmin(const std::string& address, const std::string& path, const json::object& body);

    ClusterOptions m_options;
    std::string m_folder;
    std::string m_binaryFolder;
    unsigned short m_platformPort { 0 };
    std::map<std::string, unsigned short> m_memberPorts;
    std::vector<unsigned short> m_callerPorts, m_peerPorts, m_operatorPorts;
    std::unique_ptr<Process> m_platform;
    std::map<std::string, std::unique_ptr<Process>> m_members;
    std::vector<std::unique_ptr<Process>> m_hosts;
};

// A caller with a session: sends the session token of the previous answer.
class Caller {
public:
    explicit Caller(std::string address)
        : m_client(std::make_unique<Client>(address))
    {
    }
    void switchHost(std::string address) { m_client = std::make_unique<Client>(address); }
    Answer write(const std::string& group, const std::string& statement, const std::string& requestKey, int deadlineMs = 5000);
    Answer read(const std::string& group, const std::string& statement, std::optional<int> maximumAgeMs = std::nullopt, int deadlineMs = 5000);
    Answer send(const std::string& path, json::object body);
    const std::string& getSession() const { return m_session; }
    void setSession(std::string session) { m_session = std::move(session); }

private:
    std::unique_ptr<Client> m_client;
    std::string m_session;
};

std::string getErrorKind(const Answer& answer);
std::string getRanField(const Answer& answer);
std::string getResult(const Answer& answer);

// Finds distinct free ports on loopback; throws if there are too few.
std::vector<unsigned short> findFreePorts(size_t count);
// Value of an environment variable, or `fallback` if it is not set.
int getEnvironmentNumber(const char* name, int fallback);
// Resident memory of a process in KB; 0 if it is not running.
size_t getResidentKb(pid_t id);

// Polls `condition`; returns whether it became true within the limit.
bool waitUntil(milliseconds limit, const std::function<bool()>& condition);

}
