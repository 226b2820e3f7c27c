#include "shallotrelay/retry/rejectionproof.h"

namespace shallotrelay
{
namespace
{

/// Number of rejections that are remembered for a connection.
constexpr std::size_t MaxRemembered = 16;

}

void RejectionProof::beginExchange()
{
    ++m_exchanges;
}

bool RejectionProof::isProven(const std::string &statedId, const std::string &requestId) const
{
    if (m_exchanges <= 1) {
        return statedId.empty() || statedId == requestId;
    }
    return !statedId.empty() && statedId == requestId && !m_rejected.contains(requestId);
}

void RejectionProof::recordRejection(const std::string &requestId)
{
    m_rejected.insert(requestId);
}

bool RejectionProof::mayBeKept() const
{
    return m_rejected.size() < MaxRemembered;
}

}
