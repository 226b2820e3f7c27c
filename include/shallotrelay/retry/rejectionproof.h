/// Decides whether a rejection that arrives on a connection belongs to the request that was sent on it last.
///
/// Load pattern: a faulty target writes an earlier rejection once more on a kept connection, while it runs the next
/// request. A caller must not be told that this request has not run.
///
///     proof.beginExchange();
///     if (proof.isProven(response.requestId, request.requestId)) { proof.recordRejection(request.requestId); }
#pragma once

#include <set>
#include <string>

namespace shallotrelay
{

/// The rejections on one connection.
class RejectionProof
{
public:
    /// Notes that a request is sent on the connection.
    void beginExchange();

    /// Returns whether a rejection with this request id, which may be empty, can only be that of the request. On a kept
    /// connection it must state the id, and the request must not have been rejected there before.
    bool isProven(const std::string &statedId, const std::string &requestId) const;

    /// Records that the request was rejected.
    void recordRejection(const std::string &requestId);

    /// Returns whether the connection may be kept: the number of rejections that are remembered is limited.
    bool mayBeKept() const;

private:
    std::size_t m_exchanges = 0;
    std::set<std::string> m_rejected; // ids of requests
};

}
