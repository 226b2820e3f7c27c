#include "daemon/eventlog.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace shallotrelay
{
namespace
{

constexpr std::size_t QueueLines = 8192;
constexpr std::size_t WriterThreads = 1;

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

}

struct EventLog::Impl {
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

absl::StatusOr<std::unique_ptr<EventLog>> EventLog::open(const std::string &path, const std::string &level)
{
    auto impl = std::make_unique<Impl>();
    try {
        spdlog::sink_ptr sink;
        if (path.empty()) {
            sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
        } else {
            sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(path);
        }
        impl->pool = std::make_shared<spdlog::details::thread_pool>(QueueLines, WriterThreads);
        impl->logger = std::make_shared<spdlog::async_logger>("events", sink, impl->pool,
                                                              spdlog::async_overflow_policy::overrun_oldest);
    } catch (const spdlog::spdlog_ex &error) {
        return absl::UnavailableError(error.what());
    }
    // The message is the rest of a JSON object, after the time and the level.
    impl->logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v)", spdlog::pattern_time_type::utc);
    impl->logger->set_level(spdlog::level::from_str(level));
    impl->logger->flush_on(spdlog::level::warn);
    return std::unique_ptr<EventLog>(new EventLog(std::move(impl)));
}

EventLog::EventLog(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

EventLog::~EventLog()
{
    m_impl->logger->flush();
}

void EventLog::write(LogLevel level, const std::string &event, const nlohmann::ordered_json &fields)
{
    if (!enabled(level)) {
        return;
    }
    nlohmann::ordered_json line = {{"event", event}};
    line.update(fields);
    const std::string text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    m_impl->logger->log(toSpdlog(level), std::string_view(text).substr(1));
}

bool EventLog::enabled(LogLevel level) const
{
    return m_impl->logger->should_log(toSpdlog(level));
}

std::uint64_t EventLog::dropped() const
{
    return m_impl->pool->overrun_counter();
}

void EventLog::flush()
{
    m_impl->logger->flush();
}

}
