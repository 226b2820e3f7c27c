/// The ledger of idempotency keys at one node: makes sure that a request with a key runs at most once.
///
/// A key runs only at the node that holds the claim to it. Claims are granted by the control VMs, once and for good;
/// they name the node, its incarnation and the target. The ledger keeps what became of each key that this node may
/// hold: a node without a record of a key that it holds has restarted or forgotten it, and says that the outcome is
/// unknown.
///
/// The ledger does no I/O and is not thread-safe. Ask begin() what to do; after asking for a claim call
/// claimAnswered(); after running call ran().
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace shallotrelay
{

/// An answer that is kept for resends.
struct KeptAnswer {
    ResponseHead head; ///< Its head.
    std::string body; ///< Its whole body.
};

/// Who a node is, as claims name it.
struct ClaimOwner {
    std::string address; ///< Where it takes requests of other nodes.
    std::string target; ///< The target that runs the request.
    std::uint64_t incarnation = 0; ///< Rises each time that the node starts.

    bool operator==(const ClaimOwner &other) const = default;
};

/// What to do with a request that has a key.
enum class KeyStep {
    Claim, ///< Ask for the claim, then call claimAnswered().
    Run, ///< Run it now, then call ran().
    Wait, ///< Another request with the key is in progress; ask again soon.
    Replay, ///< Answer with the kept answer.
    Redirect, ///< Another node holds the claim.
    Unknown, ///< It may have run; it must not run again.
    Mismatch, ///< The key was used for a different request.
    Unavailable, ///< The claim could not be made; this request did not run, but an earlier one with the key may have.
};

/// What the ledger says of a request.
struct KeyDecision {
    KeyStep step = KeyStep::Unknown; ///< What to do.
    std::shared_ptr<const KeptAnswer> answer; ///< The kept answer, if the step is Replay.
    ClaimOwner owner; ///< The holder, if the step is Redirect.
};

/// How a run ended.
enum class RunEnd {
    Answered, ///< A whole answer came.
    NotRun, ///< It is proved that it did not run.
    Lost, ///< It may have run, and there is no answer.
};

/// Keeps what became of keys.
class KeyLedger
{
public:
    /// Keeps records for the retention, and bodies of kept answers up to the bound in bytes.
    KeyLedger(Duration retention, std::size_t maxAnswerBytes);

    /// Returns what to do with a request; the fingerprint tells requests with the same key apart. A request that was
    /// sent here because this node holds the claim says so.
    KeyDecision begin(const std::string &key, const std::string &fingerprint, bool toOwner, TimePoint now);

    /// Takes in the answer to a claim, or none if none came; self is who asked.
    KeyDecision claimAnswered(const std::string &key, const ClaimAnswer *answer, const ClaimOwner &self);

    /// Notes how a run ended; the answer belongs to Answered.
    void ran(const std::string &key, RunEnd end, std::shared_ptr<const KeptAnswer> answer);

    /// Returns how many records are kept.
    std::size_t size() const;

private:
    enum class State { Claiming, MayHold, Running, Done, Lost };

    struct Record {
        State state = State::Claiming;
        bool reclaiming = false; // whether an earlier claim of this node may have been granted
        std::string fingerprint;
        std::shared_ptr<const KeptAnswer> answer;
        TimePoint made;
    };

    void forgetOld(TimePoint now);
    void dropAnswers();

    Duration m_retention;
    std::size_t m_maxAnswerBytes;
    std::size_t m_answerBytes = 0;
    std::map<std::string, Record> m_records;
    std::deque<std::string> m_order;
    std::deque<std::string> m_answered;
};

}
