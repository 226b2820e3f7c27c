#include "cli/settingvalue.h"

#include "base/text.h"
#include "shallotrelay/base/name.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace shallotrelay
{
namespace
{

absl::StatusOr<double> unitInNanoseconds(std::string_view unit)
{
    static const std::map<std::string_view, double> units
        = {{"ns", 1.0}, {"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}};
    const auto it = units.find(unit);
    if (it == units.end()) {
        return absl::InvalidArgumentError("a duration needs one of the units ns, us, ms, s, m, h");
    }
    return it->second;
}

absl::Status checkLogLevel(std::string_view text)
{
    static const std::set<std::string_view> levels = {"trace", "debug", "info", "warn", "error", "off"};
    if (!levels.contains(text)) {
        return absl::InvalidArgumentError("must be one of trace, debug, info, warn, error, off");
    }
    return absl::OkStatus();
}

}

std::string Address::text() const
{
    const bool v6 = host.find(':') != std::string::npos;
    return v6 ? fmt::format("[{}]:{}", host, port) : fmt::format("{}:{}", host, port);
}

absl::StatusOr<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return absl::InvalidArgumentError("an address must have the form HOST:PORT");
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    boost::asio::ip::make_address(host, ec);
    if (ec) {
        return absl::InvalidArgumentError("the host must be an IP address");
    }
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(toAbsl(text.substr(colon + 1)), &port) || port > 65535) {
        return absl::InvalidArgumentError("the port must be a number from 0 to 65535");
    }
    return Address{host, static_cast<std::uint16_t>(port)};
}

absl::StatusOr<Duration> parseDuration(std::string_view text)
{
    const std::size_t end = text.find_first_not_of("0123456789.");
    if (end == std::string_view::npos) {
        return absl::InvalidArgumentError("a duration needs one of the units ns, us, ms, s, m, h");
    }
    double number = 0;
    if (!absl::SimpleAtod(toAbsl(text.substr(0, end)), &number)) {
        return absl::InvalidArgumentError("a duration must be a number with a unit, such as 250ms");
    }
    const auto unit = unitInNanoseconds(text.substr(end));
    if (!unit.ok()) {
        return unit.status();
    }
    constexpr double MaxNanoseconds = 1e18;
    const double total = number * *unit;
    if (total > MaxNanoseconds) {
        return absl::InvalidArgumentError("the duration must be at most 1000000000s");
    }
    return Duration(std::llround(total));
}

SettingConverter::SettingConverter(const std::vector<SettingSpec> &specs, const RawSettings &raw)
    : m_specs(specs)
    , m_raw(raw)
{
}

const SettingSpec &SettingConverter::spec(const std::string &name) const
{
    const auto same = [&](const SettingSpec &it) { return it.name == name; };
    return *std::find_if(m_specs.begin(), m_specs.end(), same);
}

std::string SettingConverter::text(const std::string &name) const
{
    const auto it = m_raw.find(name);
    return it == m_raw.end() ? spec(name).defaultText : it->second;
}

void SettingConverter::fail(const std::string &name, std::string_view reason)
{
    if (m_status.ok()) {
        m_status = absl::InvalidArgumentError(fmt::format("--{} \"{}\": {}", name, text(name), reason));
    }
}

void SettingConverter::read(const std::string &name, std::string *out)
{
    *out = text(name);
    absl::Status status;
    const SettingKind kind = spec(name).kind;
    if (kind == SettingKind::Name && !out->empty()) {
        status = checkName(*out);
    }
    if (kind == SettingKind::LogLevel) {
        status = checkLogLevel(*out);
    }
    if (!status.ok()) {
        fail(name, toStd(status.message()));
    }
}

void SettingConverter::read(const std::string &name, Address *out)
{
    const auto address = parseAddress(text(name));
    if (!address.ok()) {
        fail(name, toStd(address.status().message()));
        return;
    }
    *out = *address;
}

void SettingConverter::read(const std::string &name, std::vector<Address> *out)
{
    const std::string list = text(name);
    for (const auto part : absl::StrSplit(list, ',', absl::SkipEmpty())) {
        const auto address = parseAddress(toStd(part));
        if (!address.ok()) {
            fail(name, fmt::format("\"{}\": {}", toStd(part), toStd(address.status().message())));
            return;
        }
        out->push_back(*address);
    }
    if (out->empty()) {
        fail(name, "must contain at least one address");
    }
}

void SettingConverter::read(const std::string &name, std::uint32_t *out)
{
    const SettingSpec &limits = spec(name);
    if (!absl::SimpleAtoi(text(name), out) || *out < limits.low || *out > limits.high) {
        fail(name, fmt::format("must be a whole number from {} to {}", limits.low, limits.high));
    }
}

void SettingConverter::read(const std::string &name, Duration *out)
{
    const auto duration = parseDuration(text(name));
    if (!duration.ok()) {
        fail(name, toStd(duration.status().message()));
        return;
    }
    *out = *duration;
}

void SettingConverter::read(const std::string &name, double *out)
{
    constexpr double MaxValue = 1e9;
    if (!absl::SimpleAtod(text(name), out) || !(*out >= 0 && *out <= MaxValue)) {
        fail(name, "must be a number from 0 to 1000000000");
    }
}

const absl::Status &SettingConverter::status() const
{
    return m_status;
}

}
