#include "net/framestream.h"

#include "net/stopsource.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>

namespace shallotrelay
{
namespace
{

constexpr Duration FrameTimeout = std::chrono::seconds(10);
constexpr std::size_t InputBufferBytes = 16 * 1024;

/// Extends the input buffer for one read and removes the unused part afterwards, even if the read is cancelled.
class InputReservation
{
public:
    InputReservation(std::string &input, std::size_t bytes)
        : m_input(input)
        , m_end(input.size())
    {
        m_input.resize(m_end + bytes);
    }

    ~InputReservation()
    {
        m_input.resize(m_end);
    }

    InputReservation(const InputReservation &) = delete;
    InputReservation &operator=(const InputReservation &) = delete;

    asio::mutable_buffer buffer()
    {
        return asio::buffer(m_input.data() + m_end, m_input.size() - m_end);
    }

    void commit(std::size_t bytes)
    {
        m_end += bytes;
    }

private:
    std::string &m_input;
    std::size_t m_end;
};

}

struct FrameStream::Impl {
    Impl(tcp::socket socket, std::size_t maxPayload)
        : stream(std::move(socket))
        , writeDone(stream.get_executor())
        , maxPayloadBytes(maxPayload)
    {
    }

    boost::beast::tcp_stream stream;
    asio::steady_timer writeDone;
    std::size_t maxPayloadBytes;
    std::string input;
    std::string output;
    bool writing = false;

    /// Reads until the input buffer holds at least the given number of bytes; usually one read suffices.
    asio::awaitable<absl::Status> fill(std::size_t bytes, Duration timeout)
    {
        while (input.size() < bytes) {
            InputReservation reservation(input, std::max(InputBufferBytes, bytes - input.size()));
            stream.expires_after(timeout);
            const auto [ec, n] = co_await stream.async_read_some(reservation.buffer(), AsTuple);
            stream.expires_never();
            reservation.commit(n);
            if (ec) {
                co_return toStatus(ec, "read a frame");
            }
        }
        co_return absl::OkStatus();
    }
};

/// Marks a write as in progress during its lifetime, so that a cancelled write also lets the next one start.
class FrameStream::WriteInProgress
{
public:
    explicit WriteInProgress(Impl &impl)
        : m_impl(impl)
    {
        m_impl.writing = true;
    }

    ~WriteInProgress()
    {
        m_impl.writing = false;
        m_impl.writeDone.cancel();
    }

    WriteInProgress(const WriteInProgress &) = delete;
    WriteInProgress &operator=(const WriteInProgress &) = delete;

private:
    Impl &m_impl;
};

FrameStream::FrameStream(tcp::socket socket, std::size_t maxPayloadBytes)
    : m_impl(std::make_unique<Impl>(std::move(socket), maxPayloadBytes))
{
}

FrameStream::~FrameStream() = default;

asio::awaitable<absl::StatusOr<Frame>> FrameStream::read(Duration idleTimeout)
{
    if (const absl::Status status = co_await m_impl->fill(FrameHeaderBytes, idleTimeout); !status.ok()) {
        co_return status;
    }
    const auto view = std::string_view(m_impl->input).substr(0, FrameHeaderBytes);
    const auto header = parseFrameHeader(view, m_impl->maxPayloadBytes);
    if (!header.ok()) {
        co_return header.status();
    }
    const std::size_t frameBytes = FrameHeaderBytes + header->payloadBytes;
    if (const absl::Status status = co_await m_impl->fill(frameBytes, FrameTimeout); !status.ok()) {
        co_return status;
    }
    Frame frame{header->type, m_impl->input.substr(FrameHeaderBytes, header->payloadBytes)};
    m_impl->input.erase(0, frameBytes);
    co_return frame;
}

void FrameStream::queueBytes(std::string bytes)
{
    if (m_impl->output.empty()) {
        m_impl->output = std::move(bytes);
    } else {
        m_impl->output.append(bytes);
    }
}

asio::awaitable<absl::Status> FrameStream::flush()
{
    while (m_impl->writing) {
        m_impl->writeDone.expires_at(asio::steady_timer::time_point::max());
        co_await m_impl->writeDone.async_wait(AsTuple);
    }
    if (m_impl->output.empty()) {
        co_return absl::OkStatus();
    }
    const WriteInProgress writeInProgress(*m_impl);
    const std::string batch = std::exchange(m_impl->output, {});
    const auto [ec, n] = co_await asio::async_write(m_impl->stream.socket(), asio::buffer(batch), AsTuple);
    co_return toStatus(ec, "write a frame");
}

void FrameStream::watchPeer(const std::shared_ptr<StopSource> &stop)
{
    if (m_impl->input.empty()) {
        stop->watchPeer(m_impl->stream.socket());
    }
}

void FrameStream::stopWatchingPeer()
{
    boost::system::error_code ignored;
    m_impl->stream.socket().cancel(ignored);
}

bool FrameStream::stale()
{
    return !m_impl->input.empty() || isStale(m_impl->stream.socket());
}

bool FrameStream::hasBufferedInput() const
{
    return !m_impl->input.empty();
}

asio::any_io_executor FrameStream::executor()
{
    return m_impl->stream.get_executor();
}

}
