/// Decides when the sender of a large body may start to send it over the narrow link of the receiver.
///
/// Load pattern: bulky bodies beside small requests on a narrow link. Several senders, each within its own bandwidth,
/// together send faster than the link of one receiver carries; what is sent to it meanwhile waits behind them.
///
/// The receiver admits large bodies only while all admitted ones together need no more link time than the limit, and at
/// least one. Further ones wait by priority, objective and arrival. A body that cannot arrive by its deadline is
/// refused at once, with the time after which it could.
///
///     LinkBudget budget({.bytesPerSecond = 6e6 / 8});
///     const LinkDecision decision = budget.offer({.ticket = 1, .bytes = 60000, .deadline = deadline}, now);
///     if (decision.kind == LinkDecision::Kind::Admitted) receive();
///     wake(budget.received(1, part.size(), now));
///     wake(budget.finished(1, now));
#pragma once

#include "shallotrelay/limits/linkturns.h"

#include <map>
#include <optional>
#include <vector>

namespace shallotrelay
{

/// Parameters of a LinkBudget.
struct LinkBudgetOptions {
    double bytesPerSecond = 0; ///< Bandwidth of the link; 0 admits everything.
    Duration limit = std::chrono::milliseconds(60); ///< Maximum link time of all admitted bodies together.
};

/// Decision on a body.
struct LinkDecision {
    enum class Kind {
        Admitted, ///< Its sender may start.
        Queued, ///< It waits for its turn.
        Refused, ///< It cannot arrive by its deadline.
    };

    Kind kind = Kind::Admitted; ///< The decision.
    Duration retryAfter{}; ///< For a refused body, the time after which it could be admitted.
};

/// Bodies that need not wait any longer.
struct LinkRelease {
    std::vector<LinkTicket> admitted; ///< Their senders may start.
    std::vector<LinkTicket> expired; ///< They can no longer arrive by their deadlines.
};

/// Admits the large bodies that one node receives. Not thread-safe.
class LinkBudget
{
public:
    explicit LinkBudget(LinkBudgetOptions options);

    /// Offers a body before its sender starts.
    LinkDecision offer(const LinkTurn &body, TimePoint now);

    /// Records received bytes of an admitted body.
    LinkRelease received(LinkTicket ticket, double bytes, TimePoint now);

    /// Ends a body, whether it was admitted, waits, or is unknown.
    LinkRelease finished(LinkTicket ticket, TimePoint now);

    /// Releases bodies whose wait has ended by the passage of time.
    LinkRelease tick(TimePoint now);

    /// Returns when tick() next has an effect, none if no body waits.
    std::optional<TimePoint> nextTickAt() const;

    /// Returns the link time that the admitted bodies still need.
    Duration committed() const;

    /// Returns the number of bodies that wait.
    std::size_t waiting() const;

private:
    struct Admission {
        double bytesLeft = 0;
        TimePoint countsUntil; // a sender that is far slower than the link does not hold room
    };

    void forgetSlowSenders(TimePoint now);
    bool hasRoom(double bytes) const;
    void admit(const LinkTurn &body, TimePoint now);
    double committedBytes() const;
    Duration linkTime(double bytes) const;

    LinkBudgetOptions m_options;
    LinkTurns m_turns;
    std::map<LinkTicket, Admission> m_admitted;
};

}
