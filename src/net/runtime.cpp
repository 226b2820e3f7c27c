#include "net/runtime.h"

namespace shallotrelay
{

Runtime::Runtime(std::uint32_t threads)
{
    for (std::uint32_t i = 0; i < threads; ++i) {
        constexpr int OneThread = 1;
        m_shards.push_back(std::make_unique<Loop>(OneThread));
        m_workGuards.emplace_back(m_shards.back()->get_executor());
    }
}

Runtime::~Runtime()
{
    stop();
}

void Runtime::start()
{
    for (const auto &it : m_shards) {
        m_threads.emplace_back([loop = it.get()] { loop->run(); });
    }
}

void Runtime::stop()
{
    for (const auto &it : m_shards) {
        it->stop();
    }
    for (std::thread &it : m_threads) {
        it.join();
    }
    m_threads.clear();
    // Destroying a coroutine may start another one, such as the wait for a target to finish cancelled work.
    constexpr int ShutdownPasses = 2;
    for (int i = 0; i < ShutdownPasses; ++i) {
        for (const auto &it : m_shards) {
            it->shutdown();
        }
    }
}

asio::io_context &Runtime::next()
{
    const std::size_t n = m_next.fetch_add(1, std::memory_order_relaxed);
    return *m_shards[n % m_shards.size()];
}

asio::io_context &Runtime::shard(std::size_t index)
{
    return *m_shards.at(index);
}

std::size_t Runtime::size() const
{
    return m_shards.size();
}

}
