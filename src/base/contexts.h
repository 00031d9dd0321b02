// The request threads: one io_context and one thread each. Connections and groups are spread over them in turn; what
// belongs to one of them never contends with the others for a reactor (docs/design/0007-threads.md has the figures).
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
    // The next one in turn. Any thread.
    boost::asio::io_context& getNext();
    // Runs them all; returns after stop(). The calling thread is one of them.
    void run();
    void stop();

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;
    std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
    std::vector<WorkGuard> m_guards;
    std::atomic<size_t> m_next { 0 };
};

}
