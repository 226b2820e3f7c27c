#include "shallotrelay/containment/trialdesk.h"

namespace shallotrelay
{

const char *toString(TrialAnswer decision)
{
    switch (decision) {
    case TrialAnswer::Run:
        return "run";
    case TrialAnswer::RunAlone:
        return "run-alone";
    case TrialAnswer::Elsewhere:
        return "another suspect is on trial at this target";
    case TrialAnswer::UnderTrial:
        return "the same request is on trial";
    case TrialAnswer::Refused:
        return "the request has crashed targets";
    }
    return "invalid";
}

TrialAnswer TrialDesk::acquire(std::uint64_t fingerprint, Standing level)
{
    if (level == Standing::Clear) {
        return TrialAnswer::Run;
    }
    if (level == Standing::Contained) {
        return TrialAnswer::Refused;
    }
    if (m_onTrial) {
        return *m_onTrial == fingerprint ? TrialAnswer::UnderTrial : TrialAnswer::Elsewhere;
    }
    m_onTrial = fingerprint;
    return level == Standing::Isolated ? TrialAnswer::RunAlone : TrialAnswer::Run;
}

void TrialDesk::release(std::uint64_t fingerprint)
{
    if (m_onTrial == fingerprint) {
        m_onTrial.reset();
    }
}

std::optional<std::uint64_t> TrialDesk::onTrial() const
{
    return m_onTrial;
}

}
