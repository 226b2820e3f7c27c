/// Event loops and threads of a daemon: each shard is one event loop with one thread.
///
/// A connection belongs to one shard, so its state needs no lock. State shared by several shards has its own locks.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace shallotrelay
{

namespace asio = boost::asio;

/// Owns the event loops and their threads.
class Runtime
{
public:
    /// Creates one shard per thread; the threads start with start().
    explicit Runtime(std::uint32_t threads);
    ~Runtime();

    Runtime(const Runtime &) = delete;
    Runtime &operator=(const Runtime &) = delete;

    /// Starts the threads.
    void start();

    /// Stops all loops, joins the threads, and destroys all coroutines. Call it while the objects that the coroutines
    /// use still exist.
    void stop();

    /// Returns the next shard, round-robin.
    asio::io_context &next();

    /// Returns the shard with the given index; throws std::out_of_range if there is none.
    asio::io_context &shard(std::size_t index);

    /// Returns the number of shards.
    std::size_t size() const;

private:
    /// Event loop whose pending coroutines can be destroyed before the loop itself.
    class Loop : public asio::io_context
    {
    public:
        using asio::io_context::io_context;
        using asio::io_context::shutdown;
    };

    using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

    std::vector<std::unique_ptr<Loop>> m_shards;
    std::vector<WorkGuard> m_workGuards;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next = 0;
};

}
