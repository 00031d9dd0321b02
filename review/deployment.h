// A small deployment: a few hosts as separate processes, one database group, the platform's store and its promotion calls, with settings like those of
// the site sahyog-uw. The stand-ins run on a thread of their own.
#pragma once
#include "review/member_group.h"
#include "review/record.h"
#include "standins/kv_store.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <mutex>
#include <thread>

namespace review {

// The platform's promotion calls. While it is silent, it answers no call, and carries out the first one late.
class OrderServer {
public:
    OrderServer(boost::asio::io_context& context, const std::string& address, MemberGroup& group, MemberGroup::Log log);

    bool isSilent { false };
    milliseconds lateBy { 3000 }; // until the first unanswered order is carried out
    std::function<void()> onPromoted;

private:
    boost::asio::awaitable<alderward::links::HttpResponse> serve(alderward::links::HttpRequest request);
    unsigned execute(const std::string& member, uint64_t token);
    void after(milliseconds time, std::function<void()> task);

    boost::asio::io_context& m_context;
    MemberGroup& m_group;
    MemberGroup::Log m_write;
    std::unique_ptr<alderward::links::HttpServer> m_server;
    uint64_t m_highestToken { 0 };
    bool m_isLateOrderTaken { false };
};

struct DeploymentOptions {
    unsigned hosts { 3 };
    unsigned synchronousReplicas { 0 };
    std::vector<milliseconds> lags { milliseconds(0), milliseconds(20), milliseconds(20) }; // of the members, as replicas
};

class Deployment {
public:
    Deployment(Record& record, const DeploymentOptions& options);
    ~Deployment();

    // Starts all hosts and waits until each serves writes. Returns whether they do.
    bool start();
    unsigned getHostCount() const { return m_options.hosts; }
    std::string getCallerAddress(unsigned host) const { return getAddress(5 + 4 * host); }
    // Writes a line of the record; from any thread.
    void add(const std::string& line);
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
    // For use in call():
    MemberGroup& getGroup() { return *m_group; }
    OrderServer& getOrders() { return *m_orders; }
    // Writes the members' present state to the store. A member reports that it leaves if its id is `leavingMember`.
    void registerMembers();
    std::string leavingMember {};

private:
    std::string getAddress(size_t port) const;
    void configure();
    void startHost(unsigned host);

    Record& m_record;
    DeploymentOptions m_options;
    std::mutex m_mutex;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::vector<unsigned short> m_ports; // store, orders, three members, then four of each host
    std::unique_ptr<MemberGroup> m_group;
    std::unique_ptr<standins::KvStore> m_store;
    std::unique_ptr<OrderServer> m_orders;
    std::map<std::string, std::string> m_registered; // entry in the store by member
    std::string m_folder;
    std::thread m_thread;
    std::vector<std::unique_ptr<harness::Process>> m_hosts;
};

}
