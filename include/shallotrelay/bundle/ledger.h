/// The ledger of accepted bundles: decides whether to accept a submitted bundle and records the accepted ones.
///
/// The ledger does no I/O. Call decide(); if the verdict is Accepted, store the entry durably and then call apply().
#pragma once

#include "shallotrelay/bundle/signature.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// The result of the submission of a bundle.
enum class SubmitVerdict {
    Accepted, ///< The bundle is accepted under a new revision.
    SameAsAccepted, ///< The same bundle was accepted earlier; the response has the revision assigned then.
    Conflict, ///< Another bundle was accepted with the same version.
    Refused, ///< The bundle is invalid, lacks trusted signatures, or its version is below the latest accepted one.
    Unknown, ///< Whether the bundle was accepted is unknown; submit it again to find out.
};

/// Returns the name of a verdict as used in responses.
const char *toString(SubmitVerdict verdict);

/// The response to a submitted bundle.
struct SubmitAnswer {
    SubmitVerdict verdict = SubmitVerdict::Unknown; ///< The result of the submission.
    std::uint64_t revision = 0; ///< Revision of the accepted bundle that the verdict refers to.
    std::string digest; ///< Digest of the accepted bundle that the verdict refers to.
    std::string reason; ///< Explanation for the operator, in one line.
};

/// The record of an accepted bundle.
struct LedgerEntry {
    std::uint64_t revision = 0; ///< Revision, which increases by one with each accepted bundle of any firm.
    std::string firm; ///< The firm of the bundle.
    std::uint64_t version = 0; ///< The version of the bundle.
    std::string digest; ///< Digest of the bundle's canonical form, in hexadecimal digits.
};

/// Records the accepted bundles of all firms.
class BundleLedger
{
public:
    /// Returns the response to a submitted bundle without recording it.
    SubmitAnswer decide(const SignedBundle &bundle) const;

    /// Records an accepted bundle; its revision must be nextRevision().
    void apply(const LedgerEntry &entry);

    /// Returns the revision that the next accepted bundle gets.
    std::uint64_t nextRevision() const;

    /// Returns the entries of a firm, or of all firms if the name is empty, in order of revision.
    std::vector<LedgerEntry> history(const std::string &firm) const;

private:
    struct FirmHistory {
        std::uint64_t latestVersion = 0;
        std::map<std::uint64_t, LedgerEntry> byVersion;
    };

    std::uint64_t m_lastRevision = 0;
    std::map<std::string, FirmHistory> m_firms;
};

}
