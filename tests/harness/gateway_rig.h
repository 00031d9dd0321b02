// Runs gateways as separate processes against stand-ins of the users' platform, which run in a thread of the test.
#pragma once
#include "harness/harness.h"
#include "standins/fault_proxy.h"
#include "standins/kv_store.h"
#include "standins/line_group.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <thread>

namespace harness {

// A client account of the configuration.
struct RigAccount {
    std::string name;
    std::vector<std::string> keys;
    double perSecond { 1000 };
    double burst { 1000 };
};

struct RigOptions {
    unsigned hosts { 3 };
    unsigned groups { 1 }; // each with three members in different data centres
    unsigned slots { 4 };
    unsigned connections { 24 }; // maximum number of connections per member
    int graceMs { 4000 };
    std::string extraSettings {}; // lines of INI
    bool hasProxies { false }; // all connections pass through proxies that can inject faults
    std::vector<RigAccount> accounts {}; // empty: the configuration has no accounts
    std::string publicDatabase {}; // name of a database that callers may use without an API key
    std::vector<unsigned> synchronousReplicas {}; // by group: replicas that must receive a commit before it is acknowledged; 0 if missing
    bool hasDirectOrders { false }; // orders to the platform bypass the store's proxies
};

class GatewayRig {
public:
    explicit GatewayRig(RigOptions options = {});
    ~GatewayRig();

    void startHosts(); // starts all hosts and waits until they are ready and know a primary and floor of each group
    void startHost(unsigned index);
    bool waitReady(unsigned index, milliseconds limit = milliseconds(5000));
    bool isReady(unsigned index);
    Process& getHost(unsigned index) { return *m_hosts.at(index); }
    std::string getCallerAddress(unsigned index) const;
    std::string getMetrics(unsigned index) const;
    std::string getMetricsAddress(unsigned index) const;
    std::string getLog(unsigned index) const; // the host's output so far
    std::string getLogPath(unsigned index) const;
    std::string getSettingsPath(unsigned index) const;
    std::string getDaemonPath() const;
    size_t countEvents(const std::string& event) const; // number of log lines of all hosts with this event

    // Runs `f` on the thread of the stand-ins and returns its result.
    template <typename F>
    auto call(F f)
    {
        using R = decltype(f());
        auto task = std::make_shared<std::packaged_task<R()>>(std::move(f));
        auto result = task->get_future();
        boost::asio::post(m_context, [task] { (*task)(); });
        return result.get();
    }
    standins::LineGroup& getGroup(unsigned index = 0) { return *m_groups.at(index); }
    standins::KvStore& getStore() { return *m_store; }
    // Adds a fourth member g<i>-d to the group, a replica that starts without data. Once for each group; on the thread of the stand-ins.
    void addMember(unsigned group);
    // For each host, the proxies to the store, to its caller address and to its peer address; then those to the members. Empty without proxies.
    const std::vector<std::unique_ptr<standins::FaultProxy>>& getProxies() const { return m_proxies; }
    standins::FaultProxy& getStoreProxy(unsigned host) const; // between a host and the store
    // Blocks or unblocks the traffic between a host and the store. Requires proxies.
    void setStoreIsolated(unsigned host, bool isIsolated);
    // Sends a host the message by which a coordinator reports a new primary.
    void announcePrimary(unsigned host, const std::string& group, const std::string& member, uint64_t term);
    // Sends a host a ping of another host that has this configuration version in force.
    void announceConfiguration(unsigned host, uint64_t version);
    // Returns the index of the first coordinator as last logged by host 0, or 0 if none was logged in time.
    unsigned findFirstCoordinator() const;
    // Stores a configuration with the databases db<i>-primary, db<i>-bounded and db<i>-own for each group i.
    void configure(uint64_t version, int timeoutMs = 1500, const std::string& extraDatabase = {});
    // Replaces the client accounts and stores the configuration.
    void configureAccounts(uint64_t version, std::vector<RigAccount> accounts);
    // Waits until the host uses the configuration version. Returns false on timeout.
    bool waitUntilConfigured(unsigned index, uint64_t version, milliseconds limit = milliseconds(3000));

private:
    std::string getHostAddress(unsigned index, unsigned service) const;
    unsigned getSynchronousReplicas(unsigned group) const;
    std::string addProxy(unsigned short port, const std::string& address);
    void addProxies(size_t firstPort);
    std::string getSessionKey() const; // API key for the rig's own sessions

    RigOptions m_options;
    std::string m_folder;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::vector<unsigned short> m_ports;
    std::vector<std::unique_ptr<standins::LineGroup>> m_groups;
    std::unique_ptr<standins::KvStore> m_store;
    std::vector<std::unique_ptr<standins::FaultProxy>> m_proxies;
    std::vector<std::string> m_storeAddresses; // by host
    std::vector<std::string> m_callerAddresses; // by host
    std::vector<std::unique_ptr<Process>> m_hosts;
    std::thread m_thread;
};

struct LineAnswer {
    std::vector<std::string> rows;
    std::string result; // "COMPLETE ..." or "ERROR ..."; empty: the connection ended
    std::string state; // I, T or E
    bool isOk() const { return result.starts_with("COMPLETE"); }
    bool hasCode(const std::string& code) const { return result.starts_with("ERROR " + code); }
};

// A blocking client of the session protocol.
class LineCaller {
public:
    LineCaller(const std::string& address, const std::string& database, const std::string& key = "caller");
    ~LineCaller();
    LineAnswer ask(const std::string& text, milliseconds limit = milliseconds(5000));
    void send(const std::string& text); // does not wait for the answer
    LineAnswer receive(milliseconds limit = milliseconds(5000));
    const LineAnswer& getHandshakeAnswer() const { return m_handshakeAnswer; }
    const std::string& getLastId() const { return m_lastId; }
    // Whether the remote end closes the connection within the limit.
    bool isClosed(milliseconds limit);
    void close();
    // Closes the connection with a reset.
    void reset();
    // Ends the sending direction only; answers can still be received.
    void endSending();
    // Sends bytes without framing.
    void sendRaw(const std::string& bytes);

private:
    std::string readLine(std::chrono::steady_clock::time_point until);
    int m_socket { -1 };
    std::string m_buf;
    std::string m_lastId;
    LineAnswer m_handshakeAnswer;
};

}
