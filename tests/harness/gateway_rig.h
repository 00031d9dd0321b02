// Gateways as separate processes against stand-ins of the users' platform that run in a thread of the test.
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

// A client account as operators write it.
struct RigAccount {
    std::string name;
    std::vector<std::string> keys;
    double perSecond { 1000 };
    double burst { 1000 };
};

struct RigOptions {
    unsigned hosts { 3 };
    unsigned groups { 1 }; // of three members each, one a data centre
    unsigned slots { 4 };
    unsigned connections { 24 }; // of a member
    int graceMs { 4000 };
    std::string extraSettings {}; // lines of INI
    bool hasProxies { false }; // all connections pass through one that can harm them
    std::vector<RigAccount> accounts {}; // empty: the platform knows none
    std::string publicDatabase {}; // a database that needs no key
    bool hasDirectOrders { false }; // orders to the platform pass by the proxies before the store
};

class GatewayRig {
public:
    explicit GatewayRig(RigOptions options = {});
    ~GatewayRig();

    void startHosts(); // all, and waits until they are ready and every group's primary is proven
    void startHost(unsigned index);
    bool waitReady(unsigned index, milliseconds limit = milliseconds(5000));
    bool isReady(unsigned index);
    Process& getHost(unsigned index) { return *m_hosts.at(index); }
    std::string getCallerAddress(unsigned index) const;
    std::string getMetrics(unsigned index) const;
    std::string getLog(unsigned index) const; // standard output so far
    std::string getLogPath(unsigned index) const;
    std::string getSettingsPath(unsigned index) const;
    std::string getDaemonPath() const;
    size_t countEvents(const std::string& event) const; // lines of all hosts

    // Runs on the stand-ins' thread and waits for it.
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
    // Before callers' addresses, each host's address for other hosts, its way to the store, and members; empty without proxies.
    const std::vector<std::unique_ptr<standins::FaultProxy>>& getProxies() const { return m_proxies; }
    // Cuts a host off from the store, or ends that. Needs proxies.
    void setStoreIsolated(unsigned host, bool isIsolated);
    // Tells a host of a lead as another host does that ordered it.
    void reportPrimary(unsigned host, const std::string& group, const std::string& member, uint64_t term);
    // The host that the record in the store names first for group g0.
    unsigned findFirstCoordinator() const;
    // Writes a configuration; databases db0-primary, db0-bounded, db0-own and so on for each group.
    void configure(uint64_t version, int timeoutMs = 1500, const std::string& extraDatabase = {});
    // The same with other client accounts.
    void configureAccounts(uint64_t version, std::vector<RigAccount> accounts);
    // Waits until the host has it in force.
    bool waitUntilConfigured(unsigned index, uint64_t version, milliseconds limit = milliseconds(3000));

private:
    std::string getHostAddress(unsigned index, unsigned service) const;
    std::string addProxy(unsigned short port, const std::string& address);
    void addProxies(size_t firstPort);
    std::string getSessionKey() const; // that opens sessions

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

// A caller's connection that blocks.
class LineCaller {
public:
    LineCaller(const std::string& address, const std::string& database, const std::string& key = "caller");
    ~LineCaller();
    LineAnswer ask(const std::string& text, milliseconds limit = milliseconds(5000));
    void send(const std::string& text); // without waiting
    LineAnswer receive(milliseconds limit = milliseconds(5000));
    const LineAnswer& getHandshakeAnswer() const { return m_handshakeAnswer; }
    const std::string& getLastId() const { return m_lastId; }
    // Whether the far side has closed; waits up to the limit.
    bool isClosed(milliseconds limit);
    void close();
    // Bytes as they are.
    void sendRaw(const std::string& bytes);

private:
    std::string readLine(std::chrono::steady_clock::time_point until);
    int m_socket { -1 };
    std::string m_buf;
    std::string m_lastId;
    LineAnswer m_handshakeAnswer;
};

}
