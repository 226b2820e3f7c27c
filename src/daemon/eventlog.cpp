#include "daemon/eventlog.h"

#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

namespace shallotrelay
{
namespace
{

constexpr std::size_t MaxWaitingLines = 8192;
/// Lines gather for this long before they are written, so that a busy node does not wake its writer for each one.
constexpr std::chrono::milliseconds GatherTime{100};

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warn:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

/// Appends a JSON string; plain text, which is the rule, is copied as it is.
void appendQuoted(std::string *out, std::string_view text)
{
    const auto isPlain = [](char c) { return c >= ' ' && c < 127 && c != '"' && c != '\\'; };
    if (std::all_of(text.begin(), text.end(), isPlain)) {
        out->append(1, '"').append(text).append(1, '"');
        return;
    }
    out->append(nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// Writes to a descriptor that is open already, a whole batch of lines at once.
class DescriptorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit DescriptorSink(int fd)
        : m_fd(fd)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        formatter_->format(message, m_batch);
    }

    void flush_() override
    {
        std::size_t at = 0;
        while (at < m_batch.size()) {
            const ssize_t n = ::write(m_fd, m_batch.data() + at, m_batch.size() - at);
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n <= 0) {
                // Nobody reads the log any more; there is nowhere left to say so.
                break;
            }
            at += static_cast<std::size_t>(n);
        }
        m_batch.clear();
    }

private:
    int m_fd;
    spdlog::memory_buf_t m_batch;
};

/// A line with the time at which it was logged.
struct Line {
    spdlog::log_clock::time_point time;
    spdlog::level::level_enum level = spdlog::level::info;
    std::string text;
};

}

LogFields &LogFields::add(std::string_view name, std::string_view text)
{
    m_text.append(",\"").append(name).append("\":");
    appendQuoted(&m_text, text);
    return *this;
}

LogFields &LogFields::add(std::string_view name, std::uint64_t number)
{
    fmt::format_to(std::back_inserter(m_text), ",\"{}\":{}", name, number);
    return *this;
}

LogFields &LogFields::add(std::string_view name, double number)
{
    fmt::format_to(std::back_inserter(m_text), ",\"{}\":{:.3f}", name, number);
    return *this;
}

const std::string &LogFields::text() const
{
    return m_text;
}

/// Gathers lines and lets a thread of its own write them.
struct EventLog::Impl {
    explicit Impl(spdlog::sink_ptr sink, spdlog::level::level_enum level)
        : logger("events", std::move(sink))
    {
        // The text is the rest of a JSON object, after the time and the level.
        logger.set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)", spdlog::pattern_time_type::utc);
        logger.set_level(level);
        writer = std::thread([this] { writeAll(); });
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(mutex);
            stopped = true;
        }
        wake.notify_one();
        writer.join();
    }

    void add(Line line)
    {
        bool first = false;
        {
            const std::lock_guard lock(mutex);
            if (waiting.size() >= MaxWaitingLines) {
                ++dropped;
                return;
            }
            first = waiting.empty();
            waiting.push_back(std::move(line));
        }
        if (first) {
            wake.notify_one();
        }
    }

    void writeAll()
    {
        std::unique_lock lock(mutex);
        while (!stopped || !waiting.empty()) {
            wake.wait(lock, [this] { return stopped || !waiting.empty(); });
            wake.wait_for(lock, GatherTime, [this] { return stopped; });
            std::vector<Line> batch;
            batch.swap(waiting);
            lock.unlock();
            write(batch);
            lock.lock();
        }
    }

    void write(const std::vector<Line> &batch)
    {
        for (const Line &it : batch) {
            logger.log(it.time, spdlog::source_loc{}, it.level, it.text);
        }
        logger.flush();
    }

    spdlog::logger logger;
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<Line> waiting;
    bool stopped = false;
    std::atomic<std::uint64_t> dropped = 0;
    std::thread writer;
};

absl::StatusOr<std::unique_ptr<EventLog>> EventLog::open(const std::string &path, const std::string &level)
{
    try {
        spdlog::sink_ptr sink;
        if (path.empty() || path == StandardOutput) {
            sink = std::make_shared<DescriptorSink>(path.empty() ? STDERR_FILENO : STDOUT_FILENO);
        } else {
            sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(path);
        }
        auto impl = std::make_unique<Impl>(std::move(sink), spdlog::level::from_str(level));
        return std::unique_ptr<EventLog>(new EventLog(std::move(impl)));
    } catch (const spdlog::spdlog_ex &error) {
        return absl::UnavailableError(error.what());
    }
}

EventLog::EventLog(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

EventLog::~EventLog() = default;

void EventLog::write(LogLevel level, const std::string &event, const LogFields &fields)
{
    if (!enabled(level)) {
        return;
    }
    std::string text = "\"event\":";
    appendQuoted(&text, event);
    text += fields.text();
    text += '}';
    m_impl->add({spdlog::log_clock::now(), toSpdlog(level), std::move(text)});
}

bool EventLog::enabled(LogLevel level) const
{
    return m_impl->logger.should_log(toSpdlog(level));
}

std::uint64_t EventLog::dropped() const
{
    return m_impl->dropped;
}

}
