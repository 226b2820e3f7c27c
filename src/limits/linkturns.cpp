#include "shallotrelay/limits/linkturns.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace shallotrelay
{
namespace
{

/// One turn in this many belongs to the body that has waited longest.
constexpr std::uint64_t TurnsPerOldest = 4;

bool precedes(const LinkTurn &a, const LinkTurn &b)
{
    return std::tie(a.priority, a.objective, a.ticket) < std::tie(b.priority, b.objective, b.ticket);
}

double sumBytes(double sum, const LinkTurn &turn)
{
    return sum + turn.bytes;
}

}

void LinkTurns::add(const LinkTurn &turn)
{
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), turn, precedes), turn);
}

bool LinkTurns::remove(LinkTicket ticket)
{
    return std::erase_if(m_waiting, [&](const LinkTurn &it) { return it.ticket == ticket; }) > 0;
}

const LinkTurn *LinkTurns::next() const
{
    return m_waiting.empty() ? nullptr : &m_waiting[nextIndex()];
}

LinkTurn LinkTurns::take()
{
    const auto it = m_waiting.begin() + static_cast<std::ptrdiff_t>(nextIndex());
    const LinkTurn out = *it;
    m_waiting.erase(it);
    ++m_taken;
    return out;
}

double LinkTurns::bytesBefore(const LinkTurn &turn) const
{
    const auto end = std::upper_bound(m_waiting.begin(), m_waiting.end(), turn, precedes);
    return std::accumulate(m_waiting.begin(), end, 0.0, sumBytes);
}

double LinkTurns::bytes() const
{
    return std::accumulate(m_waiting.begin(), m_waiting.end(), 0.0, sumBytes);
}

std::size_t LinkTurns::size() const
{
    return m_waiting.size();
}

std::size_t LinkTurns::nextIndex() const
{
    if (m_taken % TurnsPerOldest != TurnsPerOldest - 1) {
        return 0;
    }
    const auto oldest = std::min_element(m_waiting.begin(), m_waiting.end(),
                                         [](const LinkTurn &a, const LinkTurn &b) { return a.ticket < b.ticket; });
    return static_cast<std::size_t>(oldest - m_waiting.begin());
}

}
