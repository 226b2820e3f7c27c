/// Structured event log that writes one JSON object per line.
///
/// A background thread writes the lines. When its queue is full, new lines are dropped and counted, so that logging
/// never blocks a request.
#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Severity of a log line.
enum class LogLevel {
    Debug, ///< Details for developers.
    Info, ///< Decisions and state changes.
    Warn, ///< Failure that the daemon handled.
    Error, ///< Failure that needs an operator.
};

/// Builds the fields of one log line.
///
///     log.write(LogLevel::Info, "bundle-applied", LogFields().add("control", address).add("revision", revision));
class LogFields
{
public:
    /// Adds a string field.
    LogFields &add(std::string_view name, std::string_view text);

    /// Adds an integer field.
    LogFields &add(std::string_view name, std::uint64_t number);

    /// Adds a floating-point field with three decimal places.
    LogFields &add(std::string_view name, double number);

    /// Returns the fields as members of a JSON object, each preceded by a comma.
    const std::string &text() const;

private:
    std::string m_text;
};

/// Path that selects standard output instead of a file.
inline constexpr std::string_view StandardOutput = "-";

/// Writes log lines in JSON. Thread-safe.
class EventLog
{
public:
    /// Opens a log that writes to the file, to standard output if the path is "-", or to standard error if it is empty.
    /// Returns an error if the file cannot be opened.
    static absl::StatusOr<std::unique_ptr<EventLog>> open(const std::string &path, const std::string &level);

    ~EventLog();

    /// Writes one line: time, level and event, followed by the fields.
    void write(LogLevel level, const std::string &event, const LogFields &fields);

    /// Returns whether lines of this level are written.
    bool enabled(LogLevel level) const;

    /// Returns the number of dropped lines.
    std::uint64_t dropped() const;

private:
    struct Impl;

    explicit EventLog(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

}
