#include "net/keyedtarget.h"

#include "shallotrelay/retry/retry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

namespace shallotrelay
{
namespace
{

constexpr Duration PollInterval = std::chrono::milliseconds(2);
constexpr Duration ClaimRetryAfter = std::chrono::seconds(1);

std::string keyOf(const RequestHead &head)
{
    return head.firm + "/" + head.service + "/" + head.idempotencyKey;
}

/// Returns a fingerprint that distinguishes different requests with the same key.
std::string fingerprintOf(const RequestHead &head, const std::string &body)
{
    return fmt::format("{} {} {} {:x}", head.method, head.path, body.size(), std::hash<std::string>{}(body));
}

/// Provides a body that is buffered completely.
class BufferedBodySource : public BodySource
{
public:
    explicit BufferedBodySource(std::string body)
        : m_body(std::move(body))
    {
    }

    asio::awaitable<absl::StatusOr<std::string>> read() override
    {
        co_return std::exchange(m_body, {});
    }

    bool atEnd() const override
    {
        return m_body.empty();
    }

private:
    std::string m_body;
};

/// Records a response.
class RecordingSink : public ResponseSink
{
public:
    asio::awaitable<absl::Status> head(const ResponseHead &head, Flush) override
    {
        response->head = head;
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> chunk(std::string data, Flush) override
    {
        response->body += data;
        const bool fits = response->body.size() <= MaxKeyedBodyBytes;
        co_return fits
            ? absl::OkStatus()
            : absl::ResourceExhaustedError("the response to a request with an idempotency key exceeds 256 KiB");
    }

    asio::awaitable<absl::Status> end(const LoadReport &) override
    {
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> admitted(const LoadReport &) override
    {
        co_return absl::OkStatus();
    }

    std::shared_ptr<CachedResponse> response = std::make_shared<CachedResponse>();
};

/// Reads the complete body of a request; a truncated or too large body is an error.
asio::awaitable<absl::Status> readFullBody(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                           std::string *body)
{
    if (head.bodyKind == BodyKind::None) {
        co_return absl::OkStatus();
    }
    const absl::Status admitted = co_await sink.admitted({});
    if (!admitted.ok()) {
        co_return admitted;
    }
    for (;;) {
        const auto part = co_await source.read();
        if (!part.ok()) {
            co_return part.status();
        }
        if (part->empty()) {
            co_return absl::OkStatus();
        }
        if (body->size() + part->size() > MaxKeyedBodyBytes) {
            co_return absl::ResourceExhaustedError("the body of a request with an idempotency key exceeds 256 KiB");
        }
        *body += *part;
    }
}

ExchangeResult bodyRefusal(const absl::Status &status)
{
    constexpr std::uint16_t BadRequest = 400;
    constexpr std::uint16_t TooLarge = 413;
    ExchangeResult result;
    result.status = absl::IsResourceExhausted(status) ? TooLarge : BadRequest;
    result.reason = std::string(status.message());
    return result;
}

RunOutcome outcomeOf(const ExchangeResult &result)
{
    if (result.whole) {
        return RunOutcome::Completed;
    }
    return result.execution == Execution::NotRun ? RunOutcome::NotRun : RunOutcome::Lost;
}

}

bool isKeyed(const RequestHead &head)
{
    return !head.idempotencyKey.empty() && !isSafeMethod(head.method);
}

KeyedTarget::KeyedTarget(std::shared_ptr<GuardedTarget> target, std::shared_ptr<NodeKeyLedger> keys, ClaimOwner self,
                         const Clock &clock)
    : m_target(std::move(target))
    , m_keys(std::move(keys))
    , m_self(std::move(self))
    , m_clock(clock)
{
}

asio::awaitable<ExchangeResult> KeyedTarget::run(const RequestHead &head, BodySource &source, ResponseSink &sink,
                                                 ExchangeProgress &progress, TimePoint deadline)
{
    if (!isKeyed(head)) {
        co_return co_await m_target->run(head, source, sink, progress, deadline);
    }
    std::string body;
    const absl::Status status = co_await readFullBody(head, source, sink, &body);
    if (!status.ok()) {
        co_return bodyRefusal(status);
    }
    const std::shared_ptr<std::optional<ExchangeResult>> ownResult = std::make_shared<std::optional<ExchangeResult>>();
    const std::string key = keyOf(head);
    const std::string fingerprint = fingerprintOf(head, body);
    for (;;) {
        if (ownResult->has_value() && (*ownResult)->execution == Execution::NotRun) {
            ExchangeResult refused = **ownResult;
            refused.claimHeld = true;
            co_return refused;
        }
        KeyDecision decision;
        {
            const std::lock_guard lock(m_keys->mutex);
            decision = m_keys->ledger.begin(key, fingerprint, head.toOwner, m_clock.now());
        }
        if (decision.step == KeyStep::Claim) {
            decision = co_await claim(key);
        }
        if (decision.step == KeyStep::Run) {
            progress.execution = Execution::Unknown;
            const auto executor = co_await asio::this_coro::executor;
            asio::co_spawn(executor, runDetached(shared_from_this(), head, body, deadline, ownResult), asio::detached);
            decision.step = KeyStep::Wait;
        }
        if (decision.step == KeyStep::Replay) {
            co_return co_await replay(decision.answer, head, sink, progress);
        }
        if (decision.step != KeyStep::Wait) {
            co_return refusal(decision);
        }
        progress.execution = Execution::Unknown;
        co_await sleepFor(PollInterval);
    }
}

/// Requests the claim; the ledger is updated even if the caller disconnects meanwhile.
asio::awaitable<KeyDecision> KeyedTarget::claim(std::string key)
{
    /// Reports to the ledger that there was no response, unless the claim was completed.
    struct Pending {
        ~Pending()
        {
            if (!completed) {
                const std::lock_guard lock(keys.mutex);
                keys.ledger.completeClaim(key, nullptr, self);
            }
        }

        NodeKeyLedger &keys;
        const std::string &key;
        const ClaimOwner &self;
        bool completed = false;
    };
    Pending pending{*m_keys, key, m_self};
    ClaimRequest request;
    request.key = key;
    request.ownerAddress = m_self.address;
    request.ownerTarget = m_self.target;
    request.incarnation = m_self.incarnation;
    const std::optional<ClaimAnswer> response = co_await m_keys->claim(request);
    const std::lock_guard lock(m_keys->mutex);
    pending.completed = true;
    co_return m_keys->ledger.completeClaim(key, response ? &*response : nullptr, m_self);
}

asio::awaitable<void> KeyedTarget::runDetached(std::shared_ptr<KeyedTarget> self, RequestHead head, std::string body,
                                               TimePoint deadline,
                                               std::shared_ptr<std::optional<ExchangeResult>> ownResult)
{
    const std::string key = keyOf(head);
    BufferedBodySource source(std::move(body));
    RecordingSink sink;
    ExchangeProgress progress;
    head.mayQueue = true;
    const ExchangeResult result = co_await self->m_target->run(head, source, sink, progress, deadline);
    {
        const std::lock_guard lock(self->m_keys->mutex);
        self->m_keys->ledger.ran(key, outcomeOf(result), sink.response);
    }
    *ownResult = result;
}

asio::awaitable<ExchangeResult> KeyedTarget::replay(std::shared_ptr<const CachedResponse> response,
                                                    const RequestHead &head, ResponseSink &sink,
                                                    ExchangeProgress &progress)
{
    ExchangeResult result;
    result.execution = Execution::Ran;
    result.status = response->head.status;
    progress.execution = Execution::Ran;
    ResponseHead replayedHead = response->head;
    replayedHead.requestId = head.requestId;
    replayedHead.load = m_target->load();
    absl::Status status = co_await sink.head(replayedHead, Flush::WithNext);
    progress.responseStarted = status.ok();
    for (std::size_t at = 0; status.ok() && at < response->body.size(); at += BodyChunkBytes) {
        std::string part = response->body.substr(at, BodyChunkBytes);
        status = co_await sink.chunk(std::move(part), Flush::WithNext);
    }
    if (status.ok()) {
        status = co_await sink.end(replayedHead.load);
    }
    result.whole = status.ok();
    result.hasLoadReport = true;
    result.load = replayedHead.load;
    co_return result;
}

ExchangeResult KeyedTarget::refusal(const KeyDecision &decision) const
{
    ExchangeResult result;
    result.hasLoadReport = true;
    result.load = m_target->load();
    switch (decision.step) {
    case KeyStep::Redirect:
        result.status = 503;
        result.reason = "another node holds the claim to the idempotency key";
        result.ownerAddress = decision.owner.address;
        result.ownerTarget = decision.owner.target;
        break;
    case KeyStep::Mismatch:
        result.status = 422;
        result.reason = "the idempotency key was already used for a different request";
        break;
    case KeyStep::Unavailable:
        // This request did not run, but an earlier one with the same key may have.
        result.status = 503;
        result.execution = Execution::Unknown;
        result.reason = "no claim to the idempotency key could be obtained";
        result.retryAfter = ClaimRetryAfter;
        break;
    default:
        result.status = 502;
        result.execution = Execution::Unknown;
        result.reason = "a request with this idempotency key may have run and its response is not known";
        break;
    }
    return result;
}

}
