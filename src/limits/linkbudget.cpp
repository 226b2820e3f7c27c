#include "shallotrelay/limits/linkbudget.h"

#include <algorithm>

namespace shallotrelay
{
namespace
{

/// An admitted body counts for this multiple of its link time at most, plus the grace.
constexpr int SlowSenderFactor = 4;
constexpr Duration SlowSenderGrace = std::chrono::milliseconds(200);
/// Minimum time after which a refused body may be offered again.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);

}

LinkBudget::LinkBudget(LinkBudgetOptions options)
    : m_options(options)
{
}

LinkDecision LinkBudget::offer(const LinkTurn &body, TimePoint now)
{
    forgetSlowSenders(now);
    LinkDecision out;
    if (m_turns.size() == 0 && hasRoom(body.bytes)) {
        admit(body, now);
        return out;
    }
    const double bytesAhead = committedBytes() + m_turns.bytesBefore(body);
    if (now + linkTime(bytesAhead + body.bytes) > body.deadline) {
        out.kind = LinkDecision::Kind::Refused;
        out.retryAfter = std::max(MinRetryAfter, linkTime(committedBytes() + m_turns.bytes()) - m_options.limit);
        return out;
    }
    m_turns.add(body);
    out.kind = LinkDecision::Kind::Queued;
    return out;
}

LinkRelease LinkBudget::received(LinkTicket ticket, double bytes, TimePoint now)
{
    const auto it = m_admitted.find(ticket);
    if (it == m_admitted.end()) {
        return {};
    }
    it->second.bytesLeft = std::max(0.0, it->second.bytesLeft - bytes);
    return tick(now);
}

LinkRelease LinkBudget::finished(LinkTicket ticket, TimePoint now)
{
    m_turns.remove(ticket);
    m_admitted.erase(ticket);
    return tick(now);
}

LinkRelease LinkBudget::tick(TimePoint now)
{
    forgetSlowSenders(now);
    LinkRelease out;
    const auto late = m_turns.takeIf([&](const LinkTurn &it) { return now + linkTime(it.bytes) > it.deadline; });
    for (const LinkTurn &it : late) {
        out.expired.push_back(it.ticket);
    }
    while (m_turns.size() > 0 && hasRoom(m_turns.next()->bytes)) {
        const LinkTurn body = m_turns.take();
        admit(body, now);
        out.admitted.push_back(body.ticket);
    }
    return out;
}

std::optional<TimePoint> LinkBudget::nextTickAt() const
{
    if (m_turns.size() == 0) {
        return std::nullopt;
    }
    TimePoint out = TimePoint::max();
    for (const auto &[ticket, admission] : m_admitted) {
        out = std::min(out, admission.countsUntil);
    }
    m_turns.forEach([&](const LinkTurn &it) {
        out = it.deadline == TimePoint::max() ? out : std::min(out, it.deadline - linkTime(it.bytes));
    });
    return out;
}

Duration LinkBudget::committed() const
{
    return linkTime(committedBytes());
}

std::size_t LinkBudget::waiting() const
{
    return m_turns.size();
}

void LinkBudget::forgetSlowSenders(TimePoint now)
{
    std::erase_if(m_admitted, [now](const auto &it) { return it.second.countsUntil <= now; });
}

bool LinkBudget::hasRoom(double bytes) const
{
    const double committed = committedBytes();
    return m_options.bytesPerSecond <= 0 || committed <= 0 || linkTime(committed + bytes) <= m_options.limit;
}

void LinkBudget::admit(const LinkTurn &body, TimePoint now)
{
    const TimePoint countsUntil = now + SlowSenderFactor * linkTime(body.bytes) + SlowSenderGrace;
    m_admitted[body.ticket] = {body.bytes, countsUntil};
}

double LinkBudget::committedBytes() const
{
    double out = 0;
    for (const auto &[ticket, admission] : m_admitted) {
        out += admission.bytesLeft;
    }
    return out;
}

Duration LinkBudget::linkTime(double bytes) const
{
    if (m_options.bytesPerSecond <= 0) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / m_options.bytesPerSecond));
}

}
