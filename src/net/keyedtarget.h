/// Runs requests with an idempotency key at a target of this node, each key at most once. Use it in front of a
/// GuardedTarget.
///
/// A request with a key runs detached from the caller that sent it, so that its response is cached even if that caller
/// disconnects; every caller with the same key gets the cached response. The bodies of these requests and of their
/// responses are buffered completely, up to MaxKeyedBodyBytes.
#pragma once

#include "net/guardedtarget.h"
#include "shallotrelay/idempotency/keyledger.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace shallotrelay
{

/// Maximum size of the body of a request with a key, and of its response, in bytes.
inline constexpr std::size_t MaxKeyedBodyBytes = 256 * 1024;

/// Returns whether a request has an idempotency key and a method that is not safe, so that it must run at most once.
bool isKeyed(const RequestHead &head);

/// The key ledger of a node and its access to claims, shared by the targets of the node.
struct NodeKeyLedger {
    /// Requests a claim; returns nullopt if no control VM responds in time.
    using Claim = std::function<asio::awaitable<std::optional<ClaimAnswer>>(ClaimRequest request)>;

    NodeKeyLedger(Duration retention, std::size_t maxResponseBytes, Claim claimFunction)
        : ledger(retention, maxResponseBytes)
        , claim(std::move(claimFunction))
    {
    }

    std::mutex mutex; ///< Guards the ledger.
    KeyLedger ledger; ///< State and cached response of each key.
    Claim claim; ///< Requests a claim from the control VMs.
};

/// Runs requests with a key at most once, and passes all others to the guarded target.
class KeyedTarget : public Backend, public std::enable_shared_from_this<KeyedTarget>
{
public:
    /// Creates the target from the guarded target, the node's key ledger and the identity of this node in claims.
    KeyedTarget(std::shared_ptr<GuardedTarget> target, std::shared_ptr<NodeKeyLedger> keys, ClaimOwner self,
                const Clock &clock);

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    asio::awaitable<KeyDecision> claim(std::string key);
    static asio::awaitable<void> runDetached(std::shared_ptr<KeyedTarget> self, RequestHead head, std::string body,
                                             TimePoint deadline,
                                             std::shared_ptr<std::optional<ExchangeResult>> ownResult);
    asio::awaitable<ExchangeResult> replay(std::shared_ptr<const CachedResponse> response, const RequestHead &head,
                                           ResponseSink &sink, ExchangeProgress &progress);
    ExchangeResult refusal(const KeyDecision &decision) const;

    std::shared_ptr<GuardedTarget> m_target;
    std::shared_ptr<NodeKeyLedger> m_keys;
    ClaimOwner m_self;
    const Clock &m_clock;
};

}
