#include "standin/loadtool.h"

#include "net/neterror.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>

namespace shallotrelay
{
namespace
{

namespace http = boost::beast::http;

constexpr std::uint64_t MaxResponseBodyBytes = 1ULL << 32;

/// Generates the requests of one load test.
class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadSettings &settings)
        : m_settings(settings)
        , m_queueChanged(m_loop)
        , m_requestText(
              fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n\r\n", settings.method, settings.path, settings.host))
    {
    }

    LoadResult run()
    {
        m_start = std::chrono::steady_clock::now();
        asio::co_spawn(m_loop, scheduleRequests(), asio::detached);
        for (std::uint32_t i = 0; i < m_settings.connections; ++i) {
            asio::co_spawn(m_loop, runConnection(), asio::detached);
        }
        m_loop.run();
        m_result.elapsed = std::chrono::steady_clock::now() - m_start;
        std::sort(m_result.latencies.begin(), m_result.latencies.end());
        return std::move(m_result);
    }

private:
    /// Adds each request to the queue at its scheduled time.
    asio::awaitable<void> scheduleRequests()
    {
        const Duration interval = Duration(std::chrono::seconds(1)) / m_settings.rate;
        const auto total = static_cast<std::uint64_t>(m_settings.duration / interval);
        asio::steady_timer timer(m_loop);
        for (std::uint64_t i = 0; i < total; ++i) {
            const TimePoint scheduledAt = m_start + interval * i;
            timer.expires_at(scheduledAt);
            co_await timer.async_wait(AsTuple);
            m_queue.push_back(scheduledAt);
            m_queueChanged.cancel_one();
        }
        m_scheduleDone = true;
        m_queueChanged.cancel();
    }

    asio::awaitable<void> runConnection()
    {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        boost::beast::flat_buffer buffer;
        for (;;) {
            while (m_queue.empty() && !m_scheduleDone) {
                m_queueChanged.expires_at(asio::steady_timer::time_point::max());
                co_await m_queueChanged.async_wait(AsTuple);
            }
            if (m_queue.empty()) {
                co_return;
            }
            const TimePoint scheduledAt = m_queue.front();
            m_queue.pop_front();
            if (!stream) {
                auto socket = co_await connectTo(m_loop.get_executor(), m_settings.address, m_settings.timeout);
                if (!socket.ok()) {
                    ++m_result.failed;
                    continue;
                }
                stream = std::make_unique<boost::beast::tcp_stream>(*std::move(socket));
                buffer.clear();
            }
            if (!co_await sendRequest(*stream, buffer, scheduledAt)) {
                stream.reset();
            }
        }
    }

    /// Sends one request, reads the response and returns whether the connection can be reused.
    asio::awaitable<bool> sendRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
                                      TimePoint scheduledAt)
    {
        stream.expires_after(m_settings.timeout);
        const auto [writeError, n] = co_await asio::async_write(stream, asio::buffer(m_requestText), AsTuple);
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxResponseBodyBytes);
        parser.skip(m_settings.method == "HEAD");
        boost::system::error_code ec = writeError;
        if (!ec) {
            std::size_t readBytes = 0;
            std::tie(ec, readBytes) = co_await http::async_read(stream, buffer, parser, AsTuple);
        }
        if (ec) {
            ++m_result.failed;
            co_return false;
        }
        const unsigned status = parser.get().result_int();
        ++m_result.statuses[status];
        constexpr unsigned FirstServerError = 500;
        if (status < FirstServerError) {
            m_result.latencies.push_back(std::chrono::steady_clock::now() - scheduledAt);
        }
        co_return parser.keep_alive();
    }

    LoadSettings m_settings;
    asio::io_context m_loop{1};
    asio::steady_timer m_queueChanged;
    std::string m_requestText;
    TimePoint m_start;
    std::deque<TimePoint> m_queue;
    bool m_scheduleDone = false;
    LoadResult m_result;
};

}

Duration LoadResult::quantile(double share) const
{
    if (latencies.empty()) {
        return {};
    }
    const auto last = static_cast<double>(latencies.size() - 1);
    return latencies[static_cast<std::size_t>(last * share)];
}

LoadResult runLoad(const LoadSettings &settings)
{
    return LoadGenerator(settings).run();
}

}
