#include "shallotrelay/intent/intentledger.h"

namespace shallotrelay
{

const char *toString(IntentVerdict verdict)
{
    switch (verdict) {
    case IntentVerdict::Accepted:
        return "accepted";
    case IntentVerdict::Repeated:
        return "repeated";
    case IntentVerdict::Superseded:
        return "superseded";
    case IntentVerdict::Outdated:
        return "outdated";
    case IntentVerdict::Conflict:
        return "conflict";
    }
    return "invalid";
}

bool IntentLedger::accepted(std::uint64_t version, const std::string &digest) const
{
    const auto it = m_accepted.find(version);
    return it != m_accepted.end() && it->second == digest;
}

IntentVerdict IntentLedger::check(const IntentOrder &order) const
{
    if (isRolloutOrder(order.kind)) {
        return m_rollouts.check(order);
    }
    if (order.kind != IntentKind::State) {
        const bool out = m_outOfService.contains(order.dataCentre);
        return out == (order.kind == IntentKind::TakeOut) ? IntentVerdict::Repeated : IntentVerdict::Accepted;
    }
    if (accepted(order.version, order.digest)) {
        return IntentVerdict::Repeated;
    }
    if (order.basedOn != m_version) {
        return IntentVerdict::Superseded;
    }
    return order.version > m_version ? IntentVerdict::Accepted : IntentVerdict::Outdated;
}

IntentVerdict IntentLedger::apply(const IntentOrder &order, std::uint64_t index)
{
    const IntentVerdict verdict = check(order);
    if (verdict != IntentVerdict::Accepted) {
        return verdict;
    }
    m_revision = index;
    switch (order.kind) {
    case IntentKind::State:
        m_version = order.version;
        m_document = order.document;
        m_accepted[order.version] = order.digest;
        break;
    case IntentKind::TakeOut:
        m_outOfService.insert(order.dataCentre);
        break;
    case IntentKind::TakeBack:
        m_outOfService.erase(order.dataCentre);
        break;
    case IntentKind::RolloutStart:
    case IntentKind::RolloutSwitch:
    case IntentKind::RolloutEnd:
        m_rollouts.apply(order, index);
        break;
    }
    return verdict;
}

std::uint64_t IntentLedger::revision() const
{
    return m_revision;
}

std::uint64_t IntentLedger::version() const
{
    return m_version;
}

const std::string &IntentLedger::document() const
{
    return m_document;
}

const RolloutRegister &IntentLedger::rollouts() const
{
    return m_rollouts;
}

IntentUpdate IntentLedger::update() const
{
    return {m_revision, m_version, m_document, {m_outOfService.begin(), m_outOfService.end()}, m_rollouts.records()};
}

IntentSnapshot IntentLedger::snapshot() const
{
    IntentSnapshot out;
    out.revision = m_revision;
    out.version = m_version;
    out.document = m_document;
    out.outOfService.assign(m_outOfService.begin(), m_outOfService.end());
    out.rollouts = m_rollouts.records();
    for (const auto &it : m_accepted) {
        out.accepted.push_back({it.first, it.second});
    }
    return out;
}

void IntentLedger::restore(const IntentSnapshot &snapshot)
{
    m_revision = snapshot.revision;
    m_version = snapshot.version;
    m_document = snapshot.document;
    m_outOfService = {snapshot.outOfService.begin(), snapshot.outOfService.end()};
    m_rollouts.restore(snapshot.rollouts);
    m_accepted.clear();
    for (const AcceptedDigest &it : snapshot.accepted) {
        m_accepted[it.version] = it.digest;
    }
}

}
