#include "shallotrelay/containment/trialslot.h"

namespace shallotrelay
{

const char *toString(TrialDecision decision)
{
    switch (decision) {
    case TrialDecision::Run:
        return "run";
    case TrialDecision::RunAlone:
        return "run-alone";
    case TrialDecision::Elsewhere:
        return "another suspect is on trial at this target";
    case TrialDecision::AlreadyOnTrial:
        return "the same request is on trial";
    case TrialDecision::Refused:
        return "the request has crashed targets";
    }
    return "invalid";
}

TrialDecision TrialSlot::acquire(std::uint64_t fingerprint, SuspicionLevel level)
{
    if (level == SuspicionLevel::Clear) {
        return TrialDecision::Run;
    }
    if (level == SuspicionLevel::Contained) {
        return TrialDecision::Refused;
    }
    if (m_onTrial) {
        return *m_onTrial == fingerprint ? TrialDecision::AlreadyOnTrial : TrialDecision::Elsewhere;
    }
    m_onTrial = fingerprint;
    return level == SuspicionLevel::Isolated ? TrialDecision::RunAlone : TrialDecision::Run;
}

void TrialSlot::release(std::uint64_t fingerprint)
{
    if (m_onTrial == fingerprint) {
        m_onTrial.reset();
    }
}

std::optional<std::uint64_t> TrialSlot::onTrial() const
{
    return m_onTrial;
}

}
