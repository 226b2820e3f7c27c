#include "shallotrelay/rollout/startallowance.h"

#include <algorithm>
#include <tuple>

namespace shallotrelay
{
namespace
{

/// Number of samples whose sending times are kept; grants are valid for far less than the time in which they are sent.
constexpr std::size_t MaxSamples = 64;

}

void StartAllowance::setTerms(const StartTerms &terms)
{
    const bool continues = terms.rollout == m_terms.rollout && terms.incarnation == m_terms.incarnation;
    if (!continues) {
        *this = StartAllowance();
    }
    m_terms = terms;
}

void StartAllowance::recordSample(std::uint64_t sequence, TimePoint sentAt)
{
    m_samples.push_back({sequence, sentAt});
    if (m_samples.size() > MaxSamples) {
        m_samples.pop_front();
    }
}

std::optional<TimePoint> StartAllowance::sentAt(std::uint64_t sequence) const
{
    const auto it = std::find_if(m_samples.begin(), m_samples.end(),
                                 [&](const Sample &sample) { return sample.sequence == sequence; });
    return it == m_samples.end() ? std::nullopt : std::optional(it->sentAt);
}

bool StartAllowance::applyGrant(const RolloutGrant &grant)
{
    const bool concerns
        = m_terms.rollout != 0 && grant.rollout == m_terms.rollout && grant.incarnation == m_terms.incarnation;
    const bool isNewer = std::tie(grant.term, grant.sequence) > std::tie(m_grantTerm, m_grantSequence);
    const std::optional<TimePoint> sent = sentAt(grant.sequence);
    if (!concerns || !isNewer || !sent) {
        return false;
    }
    m_grantTerm = grant.term;
    m_grantSequence = grant.sequence;
    m_allowed = grant.allowed;
    m_validUntil = *sent + std::chrono::milliseconds(grant.validMs);
    return true;
}

void StartAllowance::recordStart()
{
    m_starts += m_terms.rollout != 0 ? 1 : 0;
}

std::uint32_t StartAllowance::remaining(TimePoint now) const
{
    if (!m_terms.byGrant) {
        return UINT32_MAX;
    }
    if (now >= m_validUntil || m_allowed <= m_starts) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(m_allowed - m_starts, UINT32_MAX));
}

std::uint64_t StartAllowance::starts() const
{
    return m_starts;
}

std::uint64_t StartAllowance::allowed() const
{
    return m_allowed;
}

}
