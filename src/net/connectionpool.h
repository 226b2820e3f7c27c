/// Pool of idle connections to one destination, kept per event loop so that a connection never changes its thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <boost/asio/query.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace shallotrelay
{

/// Keeps idle connections to one destination for reuse. Thread-safe.
template<class Connection>
class ConnectionPool
{
public:
    using Pointer = std::unique_ptr<Connection>;

    /// Removes and returns the most recently returned connection of the executor's loop, or null if there is none.
    Pointer take(const boost::asio::any_io_executor &executor)
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[contextOf(executor)];
        if (idle.empty()) {
            return nullptr;
        }
        Pointer out = std::move(idle.back());
        idle.pop_back();
        --m_size;
        return out;
    }

    /// Returns a connection to the pool unless maxIdle connections of all loops are idle already; returns whether it
    /// was retained.
    bool put(const boost::asio::any_io_executor &executor, Pointer connection, std::size_t maxIdle)
    {
        const std::lock_guard lock(m_mutex);
        if (m_size >= maxIdle) {
            return false;
        }
        m_idle[contextOf(executor)].push_back(std::move(connection));
        ++m_size;
        return true;
    }

    /// Closes the idle connections of the executor's loop.
    void clear(const boost::asio::any_io_executor &executor)
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[contextOf(executor)];
        m_size -= idle.size();
        idle.clear();
    }

    /// Returns the number of idle connections of all loops.
    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_size;
    }

private:
    using Context = const boost::asio::execution_context *;

    static Context contextOf(const boost::asio::any_io_executor &executor)
    {
        return &boost::asio::query(executor, boost::asio::execution::context);
    }

    mutable std::mutex m_mutex;
    std::map<Context, std::vector<Pointer>> m_idle;
    std::size_t m_size = 0;
};

}
