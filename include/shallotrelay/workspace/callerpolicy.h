/// The decision whether a request may be served, by its key and by how current the node's state is.
///
/// Load pattern: keyed requests while keys come and go, at nodes that start, restart or lose control meanwhile. A node
/// out of touch may miss a key that was added or removed, so it does not tell a caller for good that its key is
/// unknown. Call ControlContact::record() at a fixed interval and decideCaller() for each request.
///
///     contact.record(isInTouch, now);
///     CallerDecision decision = decideCaller(table, credential, route.isPublic, contact.silence(now), policy);
#pragma once

#include "shallotrelay/base/clock.h"
#include "shallotrelay/workspace/credential.h"
#include "shallotrelay/workspace/keytable.h"

#include <string_view>

namespace shallotrelay
{

/// How a node treats keys while it is out of touch with control.
struct CallerPolicy {
    bool failClosed = false; ///< Whether known keys are refused once the node is out of touch for too long.
    Duration failClosedAfter = std::chrono::seconds(5); ///< How long such a node still accepts known keys.
    Duration doubtAfter = std::chrono::milliseconds(500); ///< After this time out of touch an unknown key may be new.
};

/// What becomes of a request.
enum class CallerVerdict {
    Admitted, ///< It is served, for the workspace if there is one.
    NoKey, ///< The route needs a key and the request has none.
    MalformedKey, ///< The route needs a key and the request has none that can be read.
    UnknownKey, ///< No workspace holds the key.
    OutOfTouch, ///< The node cannot tell, because its state may be outdated.
};

/// Returns the name of a verdict in logs and metrics.
std::string_view toString(CallerVerdict verdict);

/// The verdict on a request.
struct CallerDecision {
    CallerVerdict verdict = CallerVerdict::Admitted; ///< Whether the request is served.
    const Workspace *workspace = nullptr; ///< The workspace that holds the key; nullptr if there is none.
};

/// Decides on a request; `silence` is the time for which the node has been out of touch with control.
CallerDecision decideCaller(const KeyTable &table, const Credential &credential, bool isPublic, Duration silence,
                            const CallerPolicy &policy);

/// Tells for how long a node may have missed changes of the state.
class ControlContact
{
public:
    /// Records whether the node has a link to a control VM that is in touch with a majority of them.
    void record(bool inTouch, TimePoint now);

    /// Returns the time since the node was last in touch, Duration::max() if it never was. A node that has just
    /// regained contact still counts as out of touch until it can have received the newest state.
    Duration silence(TimePoint now) const;

private:
    bool isSettled(TimePoint now) const;

    bool m_inTouch = false;
    TimePoint m_regainedAt{};
    TimePoint m_lastSettled{};
    bool m_everSettled = false;
};

}
