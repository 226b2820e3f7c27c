#include "shallotrelay/limits/linkpacer.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// Maximum time for which bytes that do not wait hold up the pieces of large bodies.
constexpr Duration MaxCharge = std::chrono::milliseconds(100);

}

LinkPacer::LinkPacer(LinkPacerOptions options)
    : m_options(options)
{
}

void LinkPacer::wait(const LinkTurn &piece)
{
    m_turns.add(piece);
}

bool LinkPacer::withdraw(LinkTicket ticket)
{
    return m_turns.remove(ticket);
}

void LinkPacer::charge(double bytes, TimePoint now)
{
    if (m_options.bytesPerSecond <= 0) {
        return;
    }
    const TimePoint busyUntil = std::max(m_busyUntil, now) + linkTime(bytes);
    m_busyUntil = std::max(m_busyUntil, std::min(busyUntil, now + MaxCharge));
}

std::vector<LinkTicket> LinkPacer::grant(TimePoint now)
{
    std::vector<LinkTicket> out;
    while (m_turns.size() > 0 && (m_options.bytesPerSecond <= 0 || m_busyUntil <= now + m_options.burst)) {
        const LinkTurn piece = m_turns.take();
        out.push_back(piece.ticket);
        if (m_options.bytesPerSecond > 0) {
            m_busyUntil = std::max(m_busyUntil, now) + linkTime(piece.bytes);
        }
    }
    return out;
}

std::optional<TimePoint> LinkPacer::nextGrantAt() const
{
    return m_turns.size() > 0 ? std::optional(m_busyUntil - m_options.burst) : std::nullopt;
}

Duration LinkPacer::linkTime(double bytes) const
{
    const double seconds = bytes / (m_options.bytesPerSecond * m_options.bulkShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
