#include "base/contexts.h"
#include <thread>

namespace alderward::base {

IoContextPool::IoContextPool(int threads)
{
    for (int i = 0; i < threads; ++i) {
        m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
        m_guards.push_back(boost::asio::make_work_guard(*m_contexts.back()));
    }
}

boost::asio::io_context& IoContextPool::getNext()
{
    return *m_contexts[m_next.fetch_add(1, std::memory_order_relaxed) % m_contexts.size()];
}

void IoContextPool::run()
{
    std::vector<std::jthread> threads;
    for (size_t i = 1; i < m_contexts.size(); ++i)
        threads.emplace_back([this, i] { m_contexts[i]->run(); });
    m_contexts.front()->run();
}

void IoContextPool::stop()
{
    for (auto& it : m_contexts)
        it->stop();
}

}
