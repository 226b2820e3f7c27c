/// What a target states about itself in the head of each of its responses.
///
/// Use it to pass such statements from the decoder of a protocol to the guard of the target and to the node. A
/// statement is more recent than the last announcement of the target, and the only source if announcements are lost.
#pragma once

#include <optional>

namespace shallotrelay
{

/// The statements in the head of one response.
struct TargetStatement {
    /// Requests per second that the target accepts from all nodes together; none if it states no limit.
    std::optional<double> requestsPerSecond;
    /// Whether it states a limit that cannot be read, which says nothing about the limit known before.
    bool malformedLimit = false;
    /// Whether the target is about to exit and accepts no new requests.
    bool leaving = false;

    bool operator==(const TargetStatement &other) const = default;
};

/// The kind of response that contained a statement.
enum class StatementSource {
    Response, ///< The response to a request.
    SlowdownProbe, ///< The response to a probe for the slowdown of the target.
    HealthProbe, ///< The response to a health probe.
};

/// Returns the name of a source for logs.
const char *toString(StatementSource source);

}
