#include "shallotrelay/rollout/canarybudget.h"

#include <algorithm>
#include <cmath>

namespace shallotrelay
{

CanaryBudget::CanaryBudget(double share, double slack)
    : m_share(share)
    , m_slack(slack)
{
}

void CanaryBudget::observe(const Key &key, std::uint64_t starts, std::uint64_t allowed, bool isNew)
{
    const auto [start, isFirstSample] = m_starts.try_emplace(key, 0);
    std::uint64_t &known = start->second;
    if (m_isSuccessor && isFirstSample) {
        // The predecessor may have granted for these, to targets that were not heard either.
        m_baseStarts += starts;
    }
    m_startsSum += std::max(known, starts) - known;
    known = std::max(known, starts);
    if (!isNew) {
        return;
    }
    const auto [it, isFirst] = m_allowed.try_emplace(key, 0);
    const std::uint64_t more = std::max(it->second, allowed) - it->second;
    it->second += more;
    m_allowedSum += more;
    if (isFirst) {
        m_reserve = std::max(0.0, m_reserve - static_cast<double>(more));
    }
}

void CanaryBudget::assumePredecessor()
{
    const auto heard = static_cast<double>(m_allowedSum);
    m_base = std::max(heard, m_slack + m_share * static_cast<double>(m_startsSum));
    m_reserve = m_base - heard;
    m_baseStarts = m_startsSum;
    m_isSuccessor = true;
}

std::uint64_t CanaryBudget::grant(const Key &key, std::uint64_t wanted, double part, std::uint64_t most)
{
    std::uint64_t &allowed = m_allowed[key];
    const double room = std::floor(std::max(0.0, limit(part) - spent()));
    const std::uint64_t more = std::max(allowed, wanted) - allowed;
    const std::uint64_t granted = std::min({more, most, static_cast<std::uint64_t>(room)});
    allowed += granted;
    m_allowedSum += granted;
    return allowed;
}

double CanaryBudget::spent() const
{
    return static_cast<double>(m_allowedSum) + m_reserve;
}

double CanaryBudget::limit(double part) const
{
    if (m_isSuccessor) {
        return m_base + part * m_share * static_cast<double>(m_startsSum - m_baseStarts);
    }
    return part * (m_slack + m_share * static_cast<double>(m_startsSum));
}

std::uint64_t CanaryBudget::starts() const
{
    return m_startsSum;
}

}
