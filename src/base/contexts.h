// Pool of request threads, each running its own io_context. Connections and groups are assigned round-robin, so that
// threads do not contend for one reactor (docs/design/0007-threads.md).
#pragma once
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace alderward::base {

class IoContextPool {
public:
    explicit IoContextPool(int threads);
    // Returns the next io_context, round-robin. Thread safe.
    boost::asio::io_context& getNext();
    // Runs all io_contexts, the first one on the calling thread. Returns after stop().
    void run();
    void stop();

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<WorkGuard> m_guards;
    std::atomic<size_t> m_next { 0 };
};

}
