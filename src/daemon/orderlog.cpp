#include "daemon/orderlog.h"

#include "shallotrelay/rollout/rolloutregister.h"

namespace shallotrelay
{
namespace
{

/// Returns the state of the roll-out after the order, if it takes effect.
RolloutState resultingState(const IntentOrder &order)
{
    switch (order.kind) {
    case IntentKind::RolloutSwitch:
        return RolloutState::Switching;
    case IntentKind::RolloutEnd:
        return order.rollout.state;
    default:
        return RolloutState::Running;
    }
}

}

LogFields describeOrder(const IntentOrder &order, IntentVerdict verdict, std::uint64_t index)
{
    LogFields out;
    out.add("index", index).add("verdict", toString(verdict)).add("kind", toString(order.kind));
    if (!isRolloutOrder(order.kind)) {
        return out.add("version", order.version).add("base", order.basedOn).add("data_centre", order.dataCentre);
    }
    // An order that begins a roll-out is identified by its own index.
    const std::uint64_t id = order.kind == IntentKind::RolloutStart ? index : order.rollout.id;
    return out.add("service", order.rollout.service)
        .add("target_version", order.rollout.version)
        .add("rollout", id)
        .add("within_ms", std::uint64_t(order.rollout.durationMs))
        .add("state", toString(resultingState(order)));
}

}
