/// The ledger of accepted bundles: decides what a submitted bundle becomes and keeps what was accepted.
///
/// The ledger does no I/O. Ask decide(), make the entry durable if the answer is Accepted, then call apply().
#pragma once

#include "shallotrelay/bundle/signature.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotrelay
{

/// What became of a submitted bundle.
enum class SubmitVerdict {
    Accepted, ///< It is applied under a new revision.
    SameAsAccepted, ///< The same bundle was accepted before; the revision is the one given then.
    Conflict, ///< Another bundle holds the version.
    Refused, ///< It is faulty, not signed off, or not above the accepted version.
    Unknown, ///< It may or may not have been accepted; submit it again to learn which.
};

/// Returns the name of a verdict for answers.
const char *toString(SubmitVerdict verdict);

/// The answer to a submitted bundle.
struct SubmitAnswer {
    SubmitVerdict verdict = SubmitVerdict::Unknown; ///< What became of the bundle.
    std::uint64_t revision = 0; ///< Revision of the accepted bundle that the answer speaks of.
    std::string digest; ///< Digest of the accepted bundle that the answer speaks of.
    std::string reason; ///< One line for the operator.
};

/// A bundle that was accepted.
struct LedgerEntry {
    std::uint64_t revision = 0; ///< Rises by one with each acceptance of any firm.
    std::string firm; ///< The firm of the bundle.
    std::uint64_t version = 0; ///< The version of the bundle.
    std::string digest; ///< Digest of its canonical form.
};

/// Keeps which bundles were accepted.
class BundleLedger
{
public:
    /// Returns what the bundle would become; changes nothing.
    SubmitAnswer decide(const SignedBundle &bundle) const;

    /// Records an accepted bundle; its revision must be nextRevision().
    void apply(const LedgerEntry &entry);

    /// Returns the revision of the next acceptance.
    std::uint64_t nextRevision() const;

    /// Returns the entries in order of acceptance, of one firm or of all if the name is empty.
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
