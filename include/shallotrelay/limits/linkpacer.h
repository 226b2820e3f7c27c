/// Decides when the pieces of large bodies are sent over a narrow link, so that small requests are not held up.
///
/// Load pattern: bulky bodies beside small requests on a narrow link. A body of half a megabyte occupies a link of
/// 14 Mbit/s for 0.3 s, and everything that is sent behind it waits.
///
/// Large bodies are sent in pieces, at less than the bandwidth of the link, so that no queue of them forms in front of
/// the link. The first bytes of each body are sent without waiting; a small body ends with them. A piece that waits is
/// granted by priority, objective and arrival.
///
///     LinkPacer pacer({.bytesPerSecond = 14e6 / 8});
///     pacer.wait({.ticket = 1, .bytes = 8192}, now);
///     for (LinkTicket it : pacer.grant(now)) send(it);
///     sleepUntil(pacer.nextGrantAt());
#pragma once

#include "shallotrelay/limits/linkturns.h"

#include <optional>
#include <vector>

namespace shallotrelay
{

/// Parameters of a LinkPacer.
struct LinkPacerOptions {
    double bytesPerSecond = 0; ///< Bandwidth of the link; 0 disables pacing.
    double bulkShare = 0.85; ///< Maximum share of the bandwidth that large bodies use.
    Duration burst = std::chrono::milliseconds(5); ///< Link time for which pieces may be sent ahead.
};

/// Paces the large bodies that one node sends. Not thread-safe.
class LinkPacer
{
public:
    explicit LinkPacer(LinkPacerOptions options);

    /// Adds a piece that waits to be sent.
    void wait(const LinkTurn &piece);

    /// Removes a piece that is no longer needed; returns whether it was waiting.
    bool withdraw(LinkTicket ticket);

    /// Counts bytes that are sent without waiting, so that large bodies leave room for them.
    void charge(double bytes, TimePoint now);

    /// Returns the pieces that are sent now, in order.
    std::vector<LinkTicket> grant(TimePoint now);

    /// Returns when the next piece may be sent, none if no piece waits.
    std::optional<TimePoint> nextGrantAt() const;

private:
    Duration linkTime(double bytes) const;

    LinkPacerOptions m_options;
    LinkTurns m_turns;
    TimePoint m_busyUntil{}; // when the bytes sent so far have passed the share of the link
};

}
