#include "net/httpfields.h"

#include "base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace shallotrelay
{
namespace
{

using CaseInsensitiveSet = std::set<std::string, boost::beast::iless>;

/// Returns the names listed in the Connection field, whose fields must not be forwarded.
CaseInsensitiveSet connectionFields(const http::fields &fields)
{
    CaseInsensitiveSet out;
    const auto range = fields.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        for (const auto &token : http::token_list{it->value()}) {
            out.insert(std::string(token));
        }
    }
    return out;
}

bool isHopByHop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::proxy_connection:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
        return true;
    default:
        return false;
    }
}

absl::StatusOr<ServiceId> parseServiceId(std::string_view firm, std::string_view service)
{
    const ServiceId out{absl::AsciiStrToLower(toAbsl(firm)), absl::AsciiStrToLower(toAbsl(service))};
    if (!checkName(out.firm).ok() || !checkName(out.service).ok()) {
        return absl::NotFoundError("the request does not name a valid service");
    }
    return out;
}

absl::StatusOr<ServicePath> fromPathPrefix(std::string_view target)
{
    std::string_view rest = target.substr(ServicePathPrefix.size());
    const std::size_t firmEnd = rest.find('/');
    if (firmEnd == std::string_view::npos) {
        return absl::NotFoundError("the path must be /s/FIRM/SERVICE/REST");
    }
    const std::string_view firm = rest.substr(0, firmEnd);
    rest.remove_prefix(firmEnd + 1);
    const std::size_t serviceEnd = std::min(rest.find_first_of("/?"), rest.size());
    const auto service = parseServiceId(firm, rest.substr(0, serviceEnd));
    if (!service.ok()) {
        return service.status();
    }
    std::string path(rest.substr(serviceEnd));
    if (path.empty() || path.front() != '/') {
        path = "/" + path;
    }
    return ServicePath{*service, path};
}

absl::StatusOr<ServicePath> fromHost(std::string_view target, std::string_view host)
{
    const std::string_view name = host.substr(0, host.find(':'));
    const std::size_t serviceEnd = name.find('.');
    if (serviceEnd == std::string_view::npos) {
        return absl::NotFoundError("the Host field must be SERVICE.FIRM, or the path must be /s/FIRM/SERVICE/REST");
    }
    std::string_view firm = name.substr(serviceEnd + 1);
    firm = firm.substr(0, firm.find('.'));
    const auto service = parseServiceId(firm, name.substr(0, serviceEnd));
    if (!service.ok()) {
        return service.status();
    }
    return ServicePath{*service, std::string(target)};
}

/// Returns whether there is no transfer coding other than "chunked", the only one that can be forwarded unchanged.
bool hasOnlyChunkedCoding(const http::request_header<> &head)
{
    const auto range = head.equal_range(http::field::transfer_encoding);
    for (auto it = range.first; it != range.second; ++it) {
        if (!boost::beast::iequals(it->value(), "chunked")) {
            return false;
        }
    }
    return std::distance(range.first, range.second) <= 1;
}

bool requestsUpgrade(const http::request_header<> &head)
{
    const auto upgrade = head[http::field::upgrade];
    return !upgrade.empty() && !boost::beast::iequals(upgrade, "h2c");
}

void appendField(std::string *out, std::string_view name, std::string_view value)
{
    out->append(name).append(": ").append(value).append("\r\n");
}

void appendFields(std::string *out, const std::vector<HeaderField> &fields)
{
    for (const HeaderField &it : fields) {
        appendField(out, it.name, it.value);
    }
}

}

bool isFinalStatus(unsigned status)
{
    constexpr unsigned First = 200;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

absl::StatusOr<ServicePath> findServicePath(std::string_view target, std::string_view host)
{
    if (target.substr(0, ServicePathPrefix.size()) == ServicePathPrefix) {
        return fromPathPrefix(target);
    }
    return fromHost(target, host);
}

absl::Status checkRequestHead(const http::request_header<> &head)
{
    const auto hosts = head.count(http::field::host);
    if (hosts > 1 || (head.version() >= 11 && hosts == 0)) {
        return absl::InvalidArgumentError("the request must have exactly one Host field");
    }
    if (head.version() != 10 && head.version() != 11) {
        return absl::InvalidArgumentError("the request must be HTTP/1.0 or HTTP/1.1");
    }
    if (!hasOnlyChunkedCoding(head)) {
        return absl::UnimplementedError("unsupported transfer coding: only chunked is supported");
    }
    if (head.version() == 10 && head.count(http::field::transfer_encoding) > 0) {
        return absl::InvalidArgumentError("an HTTP/1.0 request must not have a transfer coding");
    }
    if (head.method() == http::verb::connect || requestsUpgrade(head)) {
        return absl::UnimplementedError("CONNECT and protocol upgrades are not supported");
    }
    if (head.target().empty() || head.target().front() != '/') {
        return absl::InvalidArgumentError("the request target must start with a slash");
    }
    const auto expect = head[http::field::expect];
    if (!expect.empty() && !boost::beast::iequals(expect, "100-continue")) {
        return absl::FailedPreconditionError("unsupported expectation: only 100-continue is supported");
    }
    return absl::OkStatus();
}

std::vector<HeaderField> endToEndFields(const http::fields &fields)
{
    const CaseInsensitiveSet connectionNames = connectionFields(fields);
    std::vector<HeaderField> out;
    for (const auto &it : fields) {
        const std::string name(it.name_string());
        const bool setByNode = boost::beast::iequals(name, ExecutionHeader)
                               || boost::beast::iequals(name, DeadlineHeader)
                               || boost::beast::iequals(name, RequestIdHeader);
        if (isHopByHop(it.name()) || setByNode || connectionNames.contains(name)) {
            continue;
        }
        out.push_back({name, std::string(it.value())});
    }
    return out;
}

absl::StatusOr<std::optional<Duration>> requestedDeadline(const http::fields &fields)
{
    const auto it = fields.find(std::string(DeadlineHeader));
    if (it == fields.end()) {
        return std::optional<Duration>();
    }
    std::uint32_t ms = 0;
    if (!absl::SimpleAtoi(absl::string_view(it->value().data(), it->value().size()), &ms) || ms == 0) {
        return absl::InvalidArgumentError(
            fmt::format("{} must be a positive whole number of milliseconds", DeadlineHeader));
    }
    return std::optional<Duration>(std::chrono::milliseconds(ms));
}

std::string_view findField(const std::vector<HeaderField> &fields, std::string_view name)
{
    for (const HeaderField &it : fields) {
        if (boost::beast::iequals(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

std::string requestHeadText(const RequestHead &head, std::string_view host)
{
    std::string out = head.method + " " + head.path + " HTTP/1.1\r\n";
    if (findField(head.headers, "Host").empty()) {
        appendField(&out, "Host", host);
    }
    appendFields(&out, head.headers);
    appendField(&out, RequestIdHeader, head.requestId);
    appendField(&out, DeadlineHeader, std::to_string(head.timeLeftMs));
    if (head.bodyKind == BodyKind::Sized) {
        appendField(&out, "Content-Length", std::to_string(head.contentLength));
    }
    if (head.bodyKind == BodyKind::Streamed) {
        appendField(&out, "Transfer-Encoding", "chunked");
    }
    return out + "\r\n";
}

std::string responseHeadText(const ResponseHead &head, unsigned version, bool keepAlive, bool chunked)
{
    constexpr unsigned Http10 = 10;
    std::string out = fmt::format("HTTP/1.{} {} {}\r\n", version - Http10, head.status, head.reason);
    appendFields(&out, head.headers);
    if (head.bodyKind == BodyKind::Sized) {
        appendField(&out, "Content-Length", std::to_string(head.contentLength));
    }
    if (chunked) {
        appendField(&out, "Transfer-Encoding", "chunked");
    }
    if (!keepAlive) {
        appendField(&out, "Connection", "close");
    } else if (version == Http10) {
        appendField(&out, "Connection", "keep-alive");
    }
    return out + "\r\n";
}

void appendChunk(std::string *out, std::string_view data)
{
    out->append(fmt::format("{:x}\r\n", data.size()));
    out->append(data);
    out->append("\r\n");
}

}
