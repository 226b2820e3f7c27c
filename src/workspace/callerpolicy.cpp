#include "shallotrelay/workspace/callerpolicy.h"

namespace shallotrelay
{
namespace
{

/// Time in which a node receives the newest state after it has regained contact.
constexpr Duration SettleTime = std::chrono::milliseconds(500);

CallerVerdict refusalOf(const Credential &credential, Duration silence, const CallerPolicy &policy)
{
    if (credential.kind == Credential::Kind::Malformed) {
        return CallerVerdict::MalformedKey;
    }
    if (silence > policy.doubtAfter) {
        return CallerVerdict::OutOfTouch;
    }
    return credential.kind == Credential::Kind::None ? CallerVerdict::NoKey : CallerVerdict::UnknownKey;
}

}

std::string_view toString(CallerVerdict verdict)
{
    switch (verdict) {
    case CallerVerdict::Admitted:
        return "admitted";
    case CallerVerdict::NoKey:
        return "no-key";
    case CallerVerdict::MalformedKey:
        return "malformed-key";
    case CallerVerdict::UnknownKey:
        return "unknown-key";
    case CallerVerdict::OutOfTouch:
        break;
    }
    return "out-of-touch";
}

CallerDecision decideCaller(const KeyTable &table, const Credential &credential, bool isPublic, Duration silence,
                            const CallerPolicy &policy)
{
    const bool trusted = !policy.failClosed || silence <= policy.failClosedAfter;
    const Workspace *workspace
        = credential.kind == Credential::Kind::Key && trusted ? table.find(credential.key) : nullptr;
    if (workspace != nullptr || isPublic) {
        return {CallerVerdict::Admitted, workspace};
    }
    if (!trusted && credential.kind == Credential::Kind::Key) {
        return {CallerVerdict::OutOfTouch, nullptr};
    }
    return {refusalOf(credential, silence, policy), nullptr};
}

void ControlContact::record(bool inTouch, TimePoint now)
{
    if (isSettled(now)) {
        m_lastSettled = now;
        m_everSettled = true;
    }
    if (inTouch && !m_inTouch) {
        m_regainedAt = now;
    }
    m_inTouch = inTouch;
}

Duration ControlContact::silence(TimePoint now) const
{
    if (isSettled(now)) {
        return Duration::zero();
    }
    return m_everSettled ? now - m_lastSettled : Duration::max();
}

bool ControlContact::isSettled(TimePoint now) const
{
    return m_inTouch && now - m_regainedAt >= SettleTime;
}

}
