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

constexpr std::size_t MaxQueuedLines = 8192;
/// Delay before a batch is written, so that a busy node does not wake the writer thread for every line.
constexpr std::chrono::milliseconds BatchDelay{100};

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

/// Appends a JSON string. Text without characters to escape, the usual case, is copied unchanged.
void appendQuoted(std::string *out, std::string_view text)
{
    const auto isPlain = [](char c) { return c >= ' ' && c < 127 && c != '"' && c != '\\'; };
    if (std::all_of(text.begin(), text.end(), isPlain)) {
        out->append(1, '"').append(text).append(1, '"');
        return;
    }
    out->append(nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// Writes batches of lines to a file descriptor that is already open.
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
        std::size_t written = 0;
        while (written < m_batch.size()) {
            const ssize_t n = ::write(m_fd, m_batch.data() + written, m_batch.size() - written);
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n <= 0) {
                // The reader of the log is gone, so the error cannot be reported anywhere.
                break;
            }
            written += static_cast<std::size_t>(n);
        }
        m_batch.clear();
    }

private:
    int m_fd;
    spdlog::memory_buf_t m_batch;
};

/// Log line with its time stamp.
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

/// Queues lines and writes them in batches on a background thread.
struct EventLog::Impl {
    explicit Impl(spdlog::sink_ptr sink, spdlog::level::level_enum level)
        : logger("events", std::move(sink))
    {
        // The pattern opens a JSON object with the time and level; each line's text supplies the rest.
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
        bool wasEmpty = false;
        {
            const std::lock_guard lock(mutex);
            if (queued.size() >= MaxQueuedLines) {
                ++dropped;
                return;
            }
            wasEmpty = queued.empty();
            queued.push_back(std::move(line));
        }
        if (wasEmpty) {
            wake.notify_one();
        }
    }

    void writeAll()
    {
        std::unique_lock lock(mutex);
        while (!stopped || !queued.empty()) {
            wake.wait(lock, [this] { return stopped || !queued.empty(); });
            wake.wait_for(lock, BatchDelay, [this] { return stopped; });
            std::vector<Line> batch;
            batch.swap(queued);
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
    std::vector<Line> queued;
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
