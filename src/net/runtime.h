/// Threads of a daemon: each shard is one event loop that one thread runs.
///
/// A connection lives on one shard, so its state needs no lock. What several shards use is kept under locks of its own.
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
    /// Makes one shard for each thread; no thread runs yet.
    explicit Runtime(std::uint32_t threads);
    ~Runtime();

    Runtime(const Runtime &) = delete;
    Runtime &operator=(const Runtime &) = delete;

    /// Starts the threads.
    void start();

    /// Stops all loops, waits for the threads, and ends all coroutines while everything that they use still exists.
    void stop();

    /// Returns a shard, a different one at each call in turn.
    asio::io_context &next();

    /// Returns the shard with an index.
    asio::io_context &shard(std::size_t index);

    /// Returns the number of shards.
    std::size_t size() const;

private:
    /// An event loop whose coroutines can be ended before it is destroyed.
    class Loop : public asio::io_context
    {
    public:
        using asio::io_context::io_context;
        using asio::io_context::shutdown;
    };

    using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

    std::vector<std::unique_ptr<Loop>> m_shards;
    std::vector<WorkGuard> m_work;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next = 0;
};

}
