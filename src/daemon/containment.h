/// What this node knows of requests that crash targets, shared by its door and its guards.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/containment/crashdetector.h"
#include "shallotrelay/containment/crashledger.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace shallotrelay
{

/// Owns the ledger of one node and tells other nodes of news. Safe for use by several threads.
class Containment
{
public:
    /// Tells other nodes what this one saw.
    struct Hooks {
        std::function<void(const CrashNotice &notice)> tellCrash; ///< A target of this node crashed.
        std::function<void(const CleanRunNotice &notice)> tellCleanRun; ///< A request ran to its end.
    };

    Containment(const Clock &clock, std::uint64_t seed, Hooks hooks, EventLog &log, Metrics &metrics);

    /// Takes in a crash of a target of this node.
    void crashed(const Crash &crash);

    /// Notes that a request ran to its end at a target of this node.
    void recordCleanRun(const RequestPrint &print);

    /// Takes in what another node told.
    void take(const CrashNotice &notice);
    void take(const CleanRunNotice &notice);

    /// Takes in all that another node remembers; returns whether something was new.
    bool merge(const CrashLedgerState &state, const std::string &from);

    /// Returns whether a request may run.
    SuspicionLevel standing(const RequestPrint &print) const;

    /// Returns whether a request with this head may be under suspicion.
    bool mayBeSuspect(const RequestHead &head) const;

    /// Returns the digest of what is remembered.
    std::uint64_t digest() const;

    /// Returns all that is remembered.
    CrashLedgerState state() const;

    /// Forgets what is too old.
    void expire();

private:
    void noteStanding(const std::vector<RequestPrint> &prints, const std::string &source);
    void noteChange();

    const Clock &m_clock;
    Hooks m_hooks;
    EventLog &m_log;
    prometheus::Gauge &m_remembered;
    mutable std::mutex m_mutex;
    Random m_random;
    CrashLedger m_ledger;
    std::map<std::uint64_t, SuspicionLevel> m_told; // standings other than clear that were logged, by print
    std::atomic<std::uint64_t> m_digest = 0;
    std::atomic<bool> m_doubtsAny = false; // spares the hash of a head while nothing is under suspicion
};

}
