/// Accepts TCP connections and distributes them over the event loops of the runtime, round-robin.
#pragma once

#include "net/neterror.h"
#include "net/runtime.h"

#include <functional>
#include <memory>

namespace shallotrelay
{

/// Accepts connections until stopped. Stop the runtime before destroying objects that the callback uses.
class Listener
{
public:
    /// Receives an accepted connection, which belongs to the loop, and starts a coroutine on that loop to serve it.
    using OnConnection = std::function<void(asio::io_context &loop, tcp::socket socket)>;

    Listener(Runtime &runtime, OnConnection onConnection);
    ~Listener();

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Starts listening; returns an error if the address cannot be bound.
    absl::Status start(const Address &address);

    /// Returns the address that the listener is bound to, with the port that the system chose if port 0 was given.
    const Address &address() const;

    /// Stops accepting connections.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
