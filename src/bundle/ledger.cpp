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
    SubmitAnswer answer;
    answer.verdict = SubmitVerdict::Accepted;
    answer.revision = nextRevision();
    answer.digest = bundle.digest;
    const auto firm = m_firms.find(bundle.bundle.firm);
    if (firm == m_firms.end()) {
        return answer;
    }
    const auto same = firm->second.byVersion.find(bundle.bundle.version);
    if (same != firm->second.byVersion.end()) {
        const bool equal = same->second.digest == bundle.digest;
        answer.verdict = equal ? SubmitVerdict::SameAsAccepted : SubmitVerdict::Conflict;
        answer.revision = same->second.revision;
        answer.digest = same->second.digest;
        answer.reason
            = equal ? "" : fmt::format("version {} is held by the bundle {}", bundle.bundle.version, answer.digest);
        return answer;
    }
    if (bundle.bundle.version < firm->second.latestVersion) {
        answer.verdict = SubmitVerdict::Refused;
        const LedgerEntry &latest = firm->second.byVersion.at(firm->second.latestVersion);
        answer.revision = latest.revision;
        answer.digest = latest.digest;
        answer.reason
            = fmt::format("version {} is below the accepted version {}", bundle.bundle.version, latest.version);
    }
    return answer;
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
