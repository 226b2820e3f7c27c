/// Order in which large bodies get their turns on a narrow link.
///
/// LinkPacer and LinkBudget keep the bodies that wait in it.
#pragma once

#include "shallotrelay/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace shallotrelay
{

/// Identifies a body that waits for a link or uses it.
using LinkTicket = std::uint64_t;

/// A body that waits for its turn.
struct LinkTurn {
    LinkTicket ticket = 0; ///< Identifies the body; a ticket given later is higher.
    std::uint32_t priority = 0; ///< Priority of its request; 0 is the highest.
    TimePoint objective = TimePoint::max(); ///< Time by which its request should be complete.
    double bytes = 0; ///< Number of bytes that wait.
    TimePoint deadline = TimePoint::max(); ///< Time by which it must have been transferred.
};

/// Bodies that wait, ordered by priority, objective and arrival.
class LinkTurns
{
public:
    /// Adds a body.
    void add(const LinkTurn &turn);

    /// Removes a body; returns whether it was waiting.
    bool remove(LinkTicket ticket);

    /// Returns the body whose turn is next, or nullptr if none waits. Every fourth turn belongs to the body that has
    /// waited longest, so that a low priority is never starved.
    const LinkTurn *next() const;

    /// Removes and returns the body whose turn is next; one must wait.
    LinkTurn take();

    /// Removes and returns the bodies for which the predicate is true.
    template<class Predicate>
    std::vector<LinkTurn> takeIf(Predicate predicate)
    {
        std::vector<LinkTurn> out;
        std::erase_if(m_waiting, [&](const LinkTurn &it) {
            const bool taken = predicate(it);
            if (taken) {
                out.push_back(it);
            }
            return taken;
        });
        return out;
    }

    /// Calls the function with each body that waits.
    template<class Function>
    void forEach(Function function) const
    {
        std::for_each(m_waiting.begin(), m_waiting.end(), function);
    }

    /// Returns the number of bytes that wait before a body would get its turn.
    double bytesBefore(const LinkTurn &turn) const;

    /// Returns the number of bytes that wait.
    double bytes() const;

    /// Returns the number of bodies that wait.
    std::size_t size() const;

private:
    std::size_t nextIndex() const;

    std::vector<LinkTurn> m_waiting; // ordered by priority, objective and ticket
    std::uint64_t m_taken = 0;
};

}
