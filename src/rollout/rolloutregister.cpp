#include "shallotrelay/rollout/rolloutregister.h"

namespace shallotrelay
{

bool isRolloutOrder(IntentKind kind)
{
    return kind == IntentKind::RolloutStart || kind == IntentKind::RolloutSwitch || kind == IntentKind::RolloutEnd;
}

bool isInProgress(RolloutState state)
{
    return state == RolloutState::Running || state == RolloutState::Switching;
}

IntentVerdict RolloutRegister::check(const IntentOrder &order) const
{
    if (order.kind == IntentKind::RolloutStart) {
        return checkStart(order.rollout);
    }
    const RolloutRecord *known = find(order.rollout.service);
    if (known == nullptr || known->id != order.rollout.id) {
        return IntentVerdict::Superseded;
    }
    if (order.kind == IntentKind::RolloutSwitch) {
        return known->state == RolloutState::Running ? IntentVerdict::Accepted : IntentVerdict::Repeated;
    }
    const bool isEnd = !isInProgress(order.rollout.state);
    if (!isEnd || !isInProgress(known->state)) {
        return known->state == order.rollout.state ? IntentVerdict::Repeated : IntentVerdict::Superseded;
    }
    // Requests may still run at targets of the old version until they were withdrawn.
    const bool skipsSwitch = order.rollout.state == RolloutState::Succeeded && known->state == RolloutState::Running;
    return skipsSwitch ? IntentVerdict::Superseded : IntentVerdict::Accepted;
}

/// An order carries nothing that tells a repetition from a second order with the same content, so that it counts as
/// repeated.
IntentVerdict RolloutRegister::checkStart(const RolloutRecord &rollout) const
{
    const RolloutRecord *known = find(rollout.service);
    if (known == nullptr) {
        return IntentVerdict::Accepted;
    }
    if (known->version == rollout.version && known->durationMs == rollout.durationMs) {
        return IntentVerdict::Repeated;
    }
    const bool inEffect = known->state == RolloutState::Succeeded && known->version == rollout.version;
    return isInProgress(known->state) || inEffect ? IntentVerdict::Conflict : IntentVerdict::Accepted;
}

void RolloutRegister::apply(const IntentOrder &order, std::uint64_t index)
{
    RolloutRecord &record = m_rollouts[order.rollout.service];
    if (order.kind == IntentKind::RolloutStart) {
        record = order.rollout;
        record.id = index;
        record.state = RolloutState::Running;
        return;
    }
    record.state = order.kind == IntentKind::RolloutSwitch ? RolloutState::Switching : order.rollout.state;
}

const RolloutRecord *RolloutRegister::find(const std::string &service) const
{
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() ? nullptr : &it->second;
}

std::vector<RolloutRecord> RolloutRegister::records() const
{
    std::vector<RolloutRecord> out;
    for (const auto &it : m_rollouts) {
        out.push_back(it.second);
    }
    return out;
}

void RolloutRegister::restore(const std::vector<RolloutRecord> &records)
{
    m_rollouts.clear();
    for (const RolloutRecord &it : records) {
        m_rollouts[it.service] = it;
    }
}

}
