/// Validation and conversion of HTTP message heads, shared by the front end, the target client and the admin server.
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

/// Response field that states whether the request ran: "not-run", "ran" or "unknown".
inline constexpr std::string_view ExecutionHeader = "Shallotrelay-Execution";

/// Request field with the time until the caller's deadline, in milliseconds.
inline constexpr std::string_view DeadlineHeader = "Shallotrelay-Deadline-Ms";

/// Field with the id of the request.
inline constexpr std::string_view RequestIdHeader = "Shallotrelay-Request-Id";

/// Prefix of paths that name the service instead of the Host field: /s/FIRM/SERVICE/REST.
inline constexpr std::string_view ServicePathPrefix = "/s/";

/// A service and the path within it.
struct ServicePath {
    ServiceId service; ///< The called service.
    std::string path; ///< The path that is sent to the target, with the query.
};

/// Returns whether a number is the status of a final response, 200 to 599.
bool isFinalStatus(unsigned status);

/// Returns the service that the path prefix names, or else the Host field in the form SERVICE.FIRM with an optional
/// suffix; NotFound if there is none.
absl::StatusOr<ServicePath> findServicePath(std::string_view target, std::string_view host);

/// Rejects request heads that the parser accepts but a proxy must not forward; the error code determines the HTTP
/// status.
absl::Status checkRequestHead(const http::request_header<> &head);

/// Returns the end-to-end fields: all except hop-by-hop fields, Content-Length and the fields that the node sets
/// itself.
std::vector<HeaderField> endToEndFields(const http::fields &fields);

/// Returns the time that the caller allows for the request, if stated; InvalidArgument if the field is not a positive
/// whole number.
absl::StatusOr<std::optional<Duration>> requestedDeadline(const http::fields &fields);

/// Returns the value of the field with this name, ignoring case, or an empty string.
std::string_view findField(const std::vector<HeaderField> &fields, std::string_view name);

/// Returns the serialized head of a request to a target.
std::string requestHeadText(const RequestHead &head, std::string_view host);

/// Returns the serialized head of a response to a caller.
std::string responseHeadText(const ResponseHead &head, unsigned version, bool keepAlive, bool chunked);

/// Appends one chunk of a chunked body; an empty chunk ends the body.
void appendChunk(std::string *out, std::string_view data);

}
