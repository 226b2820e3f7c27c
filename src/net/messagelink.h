/// Provides a one-way link that sends frames to another process and reconnects after a connection loss.
///
/// Frames that are queued when a connection attempt fails, and those in a write that fails, are dropped: the protocols
/// on top of the link retransmit whatever is not acknowledged. Use a link from one event loop only.
#pragma once

#include "net/neterror.h"

#include <memory>
#include <string>

namespace shallotrelay
{

/// Sends frames to one address.
class MessageLink
{
public:
    MessageLink(asio::io_context &loop, Address address);
    ~MessageLink();

    MessageLink(const MessageLink &) = delete;
    MessageLink &operator=(const MessageLink &) = delete;

    /// Queues a frame for sending, in order; drops it if the queue is full.
    void send(std::string frame);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
