#include "shallotrelay/bundle/ledger.h"

#include <fmt/format.h>

#include <algorithm>

namespace shallotrelay
{

const char *toString(SubmitVerdict verdict)
{
    switch (verdict) {
    case SubmitVerdict::Accepted:
        return "accepted";
    case SubmitVerdict::SameAsAccepted:
        return "same-as-accepted";
    case SubmitVerdict::Conflict:
        return "conflict";
    case SubmitVerdict::Refused:
        return "refused";
    case SubmitVerdict::Unknown:
        return "unknown";
    }
    return "invalid";
}

SubmitAnswer BundleLedger::decide(const SignedBundle &bundle) const
{
    SubmitAnswer response;
    response.verdict = SubmitVerdict::Accepted;
    response.revision = nextRevision();
    response.digest = bundle.digest;
    const auto firm = m_firms.find(bundle.bundle.firm);
    if (firm == m_firms.end()) {
        return response;
    }
    const auto accepted = firm->second.byVersion.find(bundle.bundle.version);
    if (accepted != firm->second.byVersion.end()) {
        const bool equal = accepted->second.digest == bundle.digest;
        response.verdict = equal ? SubmitVerdict::SameAsAccepted : SubmitVerdict::Conflict;
        response.revision = accepted->second.revision;
        response.digest = accepted->second.digest;
        response.reason = equal ? ""
                                : fmt::format("version {} was already accepted with digest {}", bundle.bundle.version,
                                              response.digest);
        return response;
    }
    if (bundle.bundle.version < firm->second.latestVersion) {
        response.verdict = SubmitVerdict::Refused;
        const LedgerEntry &latest = firm->second.byVersion.at(firm->second.latestVersion);
        response.revision = latest.revision;
        response.digest = latest.digest;
        response.reason
            = fmt::format("version {} is below the latest accepted version {}", bundle.bundle.version, latest.version);
    }
    return response;
}

void BundleLedger::apply(const LedgerEntry &entry)
{
    m_lastRevision = entry.revision;
    FirmHistory &firm = m_firms[entry.firm];
    firm.byVersion[entry.version] = entry;
    firm.latestVersion = std::max(firm.latestVersion, entry.version);
}

std::uint64_t BundleLedger::nextRevision() const
{
    return m_lastRevision + 1;
}

std::vector<LedgerEntry> BundleLedger::history(const std::string &firm) const
{
    std::vector<LedgerEntry> out;
    for (const auto &it : m_firms) {
        if (!firm.empty() && it.first != firm) {
            continue;
        }
        for (const auto &entry : it.second.byVersion) {
            out.push_back(entry.second);
        }
    }
    const auto older = [](const LedgerEntry &a, const LedgerEntry &b) { return a.revision < b.revision; };
    std::sort(out.begin(), out.end(), older);
    return out;
}

}
