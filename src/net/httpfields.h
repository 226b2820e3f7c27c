/// Checks and conversions of HTTP heads that door, target client and admin server share.
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/name.h"
#include "shallotrelay/messages.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotrelay
{

namespace http = boost::beast::http;

/// Response field that tells whether the request ran: "not-run", "ran" or "unknown".
inline constexpr std::string_view ExecutionHeader = "Shallotrelay-Execution";

/// Request field that gives the caller's deadline in milliseconds from now.
inline constexpr std::string_view DeadlineHeader = "Shallotrelay-Deadline-Ms";

/// Response field that names the request.
inline constexpr std::string_view RequestIdHeader = "Shallotrelay-Request-Id";

/// Path prefix that names the service in place of the Host field: /s/FIRM/SERVICE/REST.
inline constexpr std::string_view ServicePathPrefix = "/s/";

/// A service and the path within it.
struct ServicePath {
    ServiceId service; ///< The service that is called.
    std::string path; ///< The path that the target sees.
};

/// Finds the service by the path prefix, or else by the Host field, which reads SERVICE.FIRM with anything behind it.
absl::StatusOr<ServicePath> findServicePath(std::string_view target, std::string_view host);

/// Checks what the parser lets pass but a relay must not forward; the code of an error tells the HTTP status.
absl::Status checkRequestHead(const http::request_header<> &head);

/// Returns the end-to-end fields: without connection fields, lengths, and fields of the system itself.
std::vector<HeaderField> endToEndFields(const http::fields &fields);

/// Returns the deadline that the caller asks for, or none; an error if the field is not a whole number.
absl::StatusOr<std::optional<Duration>> requestedDeadline(const http::fields &fields);

/// Returns a field by name without regard to case, or an empty text.
std::string_view findField(const std::vector<HeaderField> &fields, std::string_view name);

/// Returns the text of a request head to a target.
std::string requestHeadText(const RequestHead &head, std::string_view host);

/// Returns the text of a response head to a caller.
std::string responseHeadText(const ResponseHead &head, unsigned version, bool keepAlive, bool chunked);

/// Appends one part of a chunked body; an empty part ends the body.
void appendChunk(std::string *out, std::string_view data);

}
