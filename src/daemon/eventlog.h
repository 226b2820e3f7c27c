/// Log lines as JSON objects, one for each event.
///
/// Lines are written by a thread of their own. When more come than can be written the oldest are dropped and counted,
/// so that logging never holds a request up.
#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace shallotrelay
{

/// Severity of a line.
enum class LogLevel {
    Debug, ///< For developers.
    Info, ///< Decisions and changes.
    Warn, ///< Something failed and was handled.
    Error, ///< Something failed and needs an operator.
};

/// Builds the fields of one line.
///
///     log.write(LogLevel::Info, "bundle-applied", LogFields().add("control", address).add("revision", revision));
class LogFields
{
public:
    /// Adds a text.
    LogFields &add(std::string_view name, std::string_view text);

    /// Adds a whole number.
    LogFields &add(std::string_view name, std::uint64_t number);

    /// Adds a number with a fraction.
    LogFields &add(std::string_view name, double number);

    /// Returns the fields as members of a JSON object, each behind a comma.
    const std::string &text() const;

private:
    std::string m_text;
};

/// Names standard output in place of a file.
inline constexpr std::string_view StandardOutput = "-";

/// Writes JSON lines. Safe for use by several threads.
class EventLog
{
public:
    /// Writes to the file, to standard output if the path is "-", or to standard error if it is empty.
    static absl::StatusOr<std::unique_ptr<EventLog>> open(const std::string &path, const std::string &level);

    ~EventLog();

    /// Writes one line; time, level and event come first, then the fields.
    void write(LogLevel level, const std::string &event, const LogFields &fields);

    /// Returns whether lines of a level are written.
    bool enabled(LogLevel level) const;

    /// Returns how many lines were dropped.
    std::uint64_t dropped() const;

private:
    struct Impl;

    explicit EventLog(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

}
