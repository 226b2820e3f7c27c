/// One connection of a caller. Internal to the door.
#pragma once

#include "net/door.h"
#include "net/stopsource.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <optional>
#include <string>

namespace shallotrelay
{

/// What all sessions of a door share.
struct DoorContext {
    DoorContext(const Clock &c, DoorOptions o, Door::Dispatch d)
        : clock(c)
        , options(std::move(o))
        , dispatch(std::move(d))
    {
    }

    DoorContext(DoorContext &&other) noexcept
        : clock(other.clock)
        , options(std::move(other.options))
        , dispatch(std::move(other.dispatch))
    {
    }

    const Clock &clock;
    DoorOptions options;
    Door::Dispatch dispatch;
    std::atomic<bool> draining = false;
    std::atomic<bool> refusing = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> inProgress = 0;
};

/// Serves the requests of one connection, one after the other.
class DoorSession
{
public:
    DoorSession(DoorContext &context, tcp::socket socket);

    /// Returns when the connection is over.
    asio::awaitable<void> run();

private:
    using Parser = http::request_parser<http::buffer_body>;

    class Source;
    class Sink;

    asio::awaitable<void> lingerAndClose();
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<bool> readHead();
    asio::awaitable<bool> serveRequest();
    asio::awaitable<bool> refuseHead(std::uint16_t status, std::string reason);
    asio::awaitable<ExchangeResult> dispatch(CallerRequest &request, Source &source, Sink &sink);
    void watchCaller(const std::shared_ptr<StopSource> &stop);
    absl::StatusOr<CallerRequest> toRequest();
    bool keepAlive() const;

    DoorContext &m_context;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    bool m_served = false;
};

}
