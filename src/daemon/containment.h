/// Containment of requests that crash targets, shared by the front end and the guards of a node.
///
/// Use it to record crashes and complete runs, to exchange them with other nodes, and to look up the suspicion level of
/// a request.
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

/// Owns the crash ledger of one node and notifies other nodes of changes. Thread-safe.
class Containment
{
public:
    /// Callbacks that send notices to other nodes.
    struct Hooks {
        std::function<void(const CrashNotice &notice)> sendCrashNotice; ///< Reports a crash of a target of this node.
        std::function<void(const CleanRunNotice &notice)>
            sendCleanRunNotice; ///< Reports a request that ran without a crash.
    };

    Containment(const Clock &clock, std::uint64_t seed, Hooks hooks, EventLog &log, Metrics &metrics);

    /// Records a crash of a target of this node.
    void recordCrash(const Crash &crash);

    /// Records that a request ran to completion at a target of this node.
    void recordCleanRun(const RequestPrint &fingerprint);

    /// Applies a notice of another node.
    void applyNotice(const CrashNotice &notice);
    void applyNotice(const CleanRunNotice &notice);

    /// Merges the ledger of another node into this one. Returns whether anything was new.
    bool merge(const CrashLedgerState &state, const std::string &from);

    /// Returns the suspicion level of a request.
    SuspicionLevel suspicionLevel(const RequestPrint &fingerprint) const;

    /// Returns whether a request with this head may be suspect, without reading its body.
    bool mayBeSuspect(const RequestHead &head) const;

    /// Returns the digest of the ledger.
    std::uint64_t digest() const;

    /// Returns the contents of the ledger.
    CrashLedgerState state() const;

    /// Removes expired ledger entries.
    void expire();

private:
    void logLevelChanges(const std::vector<RequestPrint> &fingerprints, const std::string &source);
    void updateSummary();

    const Clock &m_clock;
    Hooks m_hooks;
    EventLog &m_log;
    prometheus::Gauge &m_entryGauge;
    mutable std::mutex m_mutex;
    Random m_random;
    CrashLedger m_ledger;
    std::map<std::uint64_t, SuspicionLevel> m_loggedLevels; // last logged levels other than Clear, by fingerprint
    std::atomic<std::uint64_t> m_digest = 0;
    std::atomic<bool> m_hasSuspects = false; // avoids hashing each head while no request is suspect
};

}
