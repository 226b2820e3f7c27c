/// Lets large bodies use a node's narrow link only as far as small requests leave room for them.
///
/// Use one LinkGate per node: pass it the backends of local targets for requests of other nodes, and the links to other
/// nodes, and send the responses to callers piece by piece. Without a bandwidth, or with a wide link, everything passes
/// unchanged. LinkPacer and LinkBudget make the decisions.
#pragma once

#include "daemon/dispatcher.h"
#include "shallotrelay/limits/linkbudget.h"
#include "shallotrelay/limits/linkpacer.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace shallotrelay
{

/// Bodies from this size count as large, in bytes; so much of each body is sent without waiting.
inline constexpr std::size_t LargeBodyBytes = 16 * 1024;

/// Gate of one node's link, owned by shared pointers: cancelled exchanges may outlive its user. Thread-safe.
class LinkGate : public std::enable_shared_from_this<LinkGate>
{
public:
    /// Creates the gate of a link with a bandwidth in Mbit/s; 0 if it is not limited.
    LinkGate(const Clock &clock, double megabitsPerSecond, Metrics &metrics);

    LinkGate(const LinkGate &) = delete;
    LinkGate &operator=(const LinkGate &) = delete;

    /// Returns whether the bandwidth is so low that large bodies are paced.
    bool isNarrow() const;

    /// Sets the hooks that pace what is sent to other nodes, and excludes large responses from hedging.
    void configure(Dispatcher::Options *options);

    /// Sets the hook that paces the responses to callers.
    void configure(FrontendOptions *options);

    /// Returns a backend that admits the large request bodies of other nodes and paces the responses to them.
    std::shared_ptr<Backend> serve(std::shared_ptr<Backend> target);

    /// Returns a backend that paces the request bodies sent to another node.
    std::shared_ptr<Backend> send(std::shared_ptr<Backend> link);

    /// Waits until the next piece of a body may be sent and returns its size in bytes, given how much of the body was
    /// sent and is left.
    asio::awaitable<std::size_t> nextPiece(LinkTurn turn, std::size_t bytesSent, std::size_t bytesLeft);

private:
    class Served;
    class Sender;
    class PacedSink;
    class PacedSource;
    class CountedSource;
    class Reception;
    struct Waiter;
    class Wait;

    asio::awaitable<LinkDecision> admit(LinkTurn body, std::shared_ptr<Waiter> waiter);
    LinkTicket newTicket();
    void received(LinkTicket ticket, std::size_t bytes);
    void finished(LinkTicket ticket);
    void wake(const LinkRelease &release);
    void wakeOne(LinkTicket ticket, bool admitted);

    const Clock &m_clock;
    bool m_narrow;
    std::mutex m_mutex; // guards the members below
    LinkPacer m_pacer;
    LinkBudget m_budget;
    LinkTicket m_lastTicket = 0;
    std::map<LinkTicket, std::shared_ptr<Waiter>> m_waiters;
    prometheus::Counter &m_piecesDelayed;
    prometheus::Counter &m_bodiesDelayed;
    prometheus::Counter &m_bodiesRefused;
};

}
