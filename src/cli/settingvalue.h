/// Conversion of setting texts to typed values, with checks that name the setting and the value.
#pragma once

#include "shallotrelay/base/clock.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

/// An IP number and a TCP port.
struct Address {
    std::string host; ///< IPv4 or IPv6 number without brackets.
    std::uint16_t port = 0; ///< Port, 0 for any.

    bool operator==(const Address &other) const = default;

    /// Returns HOST:PORT, with brackets around an IPv6 number.
    std::string text() const;
};

/// Reads HOST:PORT; the host must be an IP number.
absl::StatusOr<Address> parseAddress(std::string_view text);

/// Reads a number with the unit ns, us, ms, s, m or h.
absl::StatusOr<Duration> parseDuration(std::string_view text);

/// What kind of value a setting takes.
enum class SettingKind {
    Address, ///< One IP number and port.
    AddressList, ///< Some of them, separated by commas.
    Name, ///< A name as checkName() takes it.
    Text, ///< Any text.
    Path, ///< A path of the file system.
    Count, ///< A whole number within bounds.
    Duration, ///< A span of time with its unit.
    Fraction, ///< A number from 0 with a fraction.
    LogLevel, ///< trace, debug, info, warn, error or off.
};

/// Describes one setting.
struct SettingSpec {
    std::string name; ///< Name of the flag, without dashes.
    SettingKind kind = SettingKind::Text; ///< Kind of its value.
    std::string defaultText; ///< Value if neither flag nor variable is given.
    std::string doc; ///< One line of help.
    std::uint32_t low = 0; ///< Least value of a count.
    std::uint32_t high = 0; ///< Greatest value of a count.
};

/// Setting texts by name.
using RawSettings = std::map<std::string, std::string>;

/// Converts the texts of one command and keeps the first error.
class SettingConverter
{
public:
    SettingConverter(const std::vector<SettingSpec> &specs, const RawSettings &raw);

    /// Reads one setting into a variable of the type that belongs to its kind.
    void read(const std::string &name, std::string *out);
    void read(const std::string &name, Address *out);
    void read(const std::string &name, std::vector<Address> *out);
    void read(const std::string &name, std::uint32_t *out);
    void read(const std::string &name, Duration *out);
    void read(const std::string &name, double *out);

    /// Returns the first error, or OK.
    const absl::Status &status() const;

private:
    const SettingSpec &spec(const std::string &name) const;
    std::string text(const std::string &name) const;
    void fail(const std::string &name, std::string_view reason);

    const std::vector<SettingSpec> &m_specs;
    const RawSettings &m_raw;
    absl::Status m_status;
};

}
