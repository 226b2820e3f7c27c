/// A target beside this node, behind its guard: admission, connections and the exchange with the target itself.
#pragma once

#include "net/exchange.h"
#include "net/neterror.h"
#include "shallotrelay/guard/guard.h"

#include <functional>
#include <memory>
#include <string>

namespace shallotrelay
{

/// What a guarded target needs from its node.
struct GuardedTargetOptions {
    const Clock *clock = nullptr; ///< Tells the time.
    Duration stallTimeout = std::chrono::seconds(20); ///< Time without progress after which a body is given up.
    Duration abandonBound = std::chrono::seconds(60); ///< Longest wait for the target to end cancelled work.
    std::function<void(const GuardRefusal &)> onRefusal; ///< Called for each request that the guard refuses.
};

/// Runs exchanges with one target, never more at once than its guard allows. Safe for use by several threads.
class GuardedTarget : public Backend, public std::enable_shared_from_this<GuardedTarget>
{
public:
    explicit GuardedTarget(GuardedTargetOptions options);
    ~GuardedTarget() override;

    /// Takes in an announcement and where the target listens.
    void announced(const TargetAnnouncement &announcement, const Address &address);

    /// Notes that the announcement ended without renewal.
    void announcementEnded();

    /// Applies what the bundle says.
    void setPolicy(const GuardPolicy &policy);

    /// Notices slowness and ends waiting that took too long; call it every few milliseconds.
    void tick();

    /// Returns the load as the guard sees it.
    LoadReport load() const;

    /// Returns how many connections to the target are open.
    std::size_t openConnections() const;

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, AnswerSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    struct Impl;
    class Slot;
    class Exchange;

    std::shared_ptr<Impl> m_impl;
};

}
