/// Limits for HTTP pipelining on caller connections.
///
/// Callers may send several requests on one connection without waiting for responses. If these are served one after the
/// other, a single request at a slow target or in a long queue delays all requests behind it while other targets are
/// idle. If they are served concurrently, each response is buffered until the responses before it have been sent.
/// Pipelined requests are therefore served concurrently, up to a limit per connection and per node.
#pragma once

#include <cstddef>

namespace shallotrelay
{

/// Limits for requests that are read before the responses to earlier requests are complete.
struct PipelineLimits {
    std::size_t perConnection = 16; ///< Unanswered requests per connection; browsers and libraries send fewer.
    /// Unanswered pipelined requests of all connections; each may buffer one response twice, at most 128 KiB each time.
    std::size_t perNode = 256;
};

/// Requests in progress when more data can be read from a connection.
struct PipelineLoad {
    std::size_t unanswered = 0; ///< Requests read from the connection whose responses are not complete.
    std::size_t pipelinedOnNode = 0; ///< Unanswered pipelined requests of all connections of the node.
    bool closes = false; ///< Whether the connection closes after the requests read so far.
};

/// Returns whether another request may be read from the connection.
bool mayReadPipelined(const PipelineLimits &limits, const PipelineLoad &load);

/// Returns whether a request that has been read may start. A request that must not run twice starts only after all
/// earlier responses are complete: if one of them closes the connection, the caller assumes that the requests behind it
/// were not read and sends them again.
bool mayStartPipelined(const PipelineLoad &load, bool repeatable);

}
