/// Listens for TCP connections and hands each one to an event loop of the runtime, all loops in turn.
#pragma once

#include "net/neterror.h"
#include "net/runtime.h"

#include <functional>
#include <memory>

namespace shallotrelay
{

/// Accepts connections until it is stopped. Stop the runtime before destroying what the hook uses.
class Listener
{
public:
    /// Takes an accepted connection, which belongs to the loop; starts a coroutine there that serves it.
    using OnConnection = std::function<void(asio::io_context &loop, tcp::socket socket)>;

    Listener(Runtime &runtime, OnConnection onConnection);
    ~Listener();

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Starts to listen.
    absl::Status start(const Address &address);

    /// Returns where it listens; the port is the one that the system chose if the address had port 0.
    const Address &address() const;

    /// Accepts no more connections.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
