/// A one-way link that sends frames to another process and opens its connection again when it is lost.
///
/// Frames that wait when the connection is lost are dropped, since the protocols that use the link send anew what is
/// not acknowledged. Used on one event loop only.
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

    /// Sends a frame after those before it; drops it if too much waits already.
    void send(std::string frame);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

}
