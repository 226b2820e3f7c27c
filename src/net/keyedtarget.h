/// A target beside this node for requests with an idempotency key: each key runs at most once.
///
/// A request with a key runs apart from the caller that brought it, so that its answer is kept even if that caller has
/// gone; every caller with the key is answered from the kept answer. Bodies of such requests and of their answers are
/// held whole, up to MaxKeyedBytes.
#pragma once

#include "net/guardedtarget.h"
#include "shallotrelay/idempotency/keyledger.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace shallotrelay
{

/// Largest body of a request with a key, and of its answer, in bytes.
inline constexpr std::size_t MaxKeyedBytes = 256 * 1024;

/// Returns whether a request must run at most once and can be told apart by its key.
bool isKeyed(const RequestHead &head);

/// The keys of one node, shared by its targets.
struct NodeKeys {
    /// Asks for a claim; returns none if no control VM answers in time.
    using Claim = std::function<asio::awaitable<std::optional<ClaimAnswer>>(ClaimRequest request)>;

    NodeKeys(Duration retention, std::size_t maxAnswerBytes, Claim c)
        : ledger(retention, maxAnswerBytes)
        , claim(std::move(c))
    {
    }

    std::mutex mutex; ///< Guards the ledger.
    KeyLedger ledger; ///< What became of keys.
    Claim claim; ///< How a claim is asked for.
};

/// Runs requests with a key at most once, and passes others on to the guard.
class KeyedTarget : public Backend, public std::enable_shared_from_this<KeyedTarget>
{
public:
    /// Takes the guarded target, the node's keys, and who this node is in claims.
    KeyedTarget(std::shared_ptr<GuardedTarget> target, std::shared_ptr<NodeKeys> keys, ClaimOwner self,
                const Clock &clock);

    asio::awaitable<ExchangeResult> run(const RequestHead &head, BodySource &source, AnswerSink &sink,
                                        ExchangeProgress &progress, TimePoint deadline) override;

private:
    asio::awaitable<KeyDecision> claim(std::string key);
    static asio::awaitable<void> runApart(std::shared_ptr<KeyedTarget> self, RequestHead head, std::string body,
                                          TimePoint deadline, std::shared_ptr<std::optional<ExchangeResult>> own);
    asio::awaitable<ExchangeResult> replay(std::shared_ptr<const CachedResponse> answer, const RequestHead &head,
                                           AnswerSink &sink, ExchangeProgress &progress);
    ExchangeResult refusal(const KeyDecision &decision) const;

    std::shared_ptr<GuardedTarget> m_target;
    std::shared_ptr<NodeKeys> m_keys;
    ClaimOwner m_self;
    const Clock &m_clock;
};

}
