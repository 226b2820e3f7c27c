/// Converts the texts of settings to typed values. Use it to parse flags and environment variables; an error names the
/// setting and the value.
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

/// An IP address and a TCP port.
struct Address {
    std::string host; ///< IPv4 or IPv6 address without brackets.
    std::uint16_t port = 0; ///< Port; 0 lets the system choose one.

    bool operator==(const Address &other) const = default;

    /// Returns HOST:PORT, with brackets around an IPv6 address.
    std::string text() const;
};

/// Parses HOST:PORT; returns InvalidArgument unless the host is an IP address and the port is from 0 to 65535.
absl::StatusOr<Address> parseAddress(std::string_view text);

/// Parses a number with the unit ns, us, ms, s, m or h; returns InvalidArgument for other texts and above 1e9 s.
absl::StatusOr<Duration> parseDuration(std::string_view text);

/// The type of the value of a setting.
enum class SettingKind {
    Address, ///< An IP address and port.
    AddressList, ///< IP addresses and ports, separated by commas.
    Name, ///< A name that checkName() accepts.
    Text, ///< Any text.
    Path, ///< A file system path.
    Count, ///< An integer between the limits of the setting.
    Duration, ///< A duration with its unit.
    Fraction, ///< A non-negative decimal number.
    LogLevel, ///< trace, debug, info, warn, error or off.
};

/// Describes one setting.
struct SettingSpec {
    std::string name; ///< Name of the flag, without dashes.
    SettingKind kind = SettingKind::Text; ///< Type of the value.
    std::string defaultText; ///< Value if neither the flag nor the environment variable is set.
    std::string doc; ///< Help text on one line.
    std::uint32_t low = 0; ///< Minimum of a count.
    std::uint32_t high = 0; ///< Maximum of a count.
};

/// Texts of the settings by name.
using RawSettings = std::map<std::string, std::string>;

/// Converts the texts of the settings of one command and keeps the first error.
class SettingConverter
{
public:
    SettingConverter(const std::vector<SettingSpec> &specs, const RawSettings &raw);

    /// Converts one setting, or its default if it is not set, to the type of its kind. A failure sets status().
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
