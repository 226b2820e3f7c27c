/// Resolves the requests of callers at the node where they arrive: who is calling, the route, the service, and how the
/// request may be handled.
///
/// Use it as the resolve hook of the front end of a cluster's node, from one event loop only.
#pragma once

#include "daemon/eventlog.h"
#include "daemon/metrics.h"
#include "daemon/originlog.h"
#include "daemon/servicetable.h"
#include "net/guardedtarget.h"
#include "net/httpfrontend.h"
#include "shallotrelay/admission/requestageestimator.h"
#include "shallotrelay/base/clock.h"
#include "shallotrelay/base/random.h"
#include "shallotrelay/bundle/bundle.h"
#include "shallotrelay/workspace/callerpolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotrelay
{

/// Turns the head of a caller's request into a request for a service, or refuses it.
class CallerResolver
{
public:
    struct Options {
        std::string firm; ///< The firm whose bundle applies.
        CallerPolicy policy; ///< How keys are treated while the node is out of touch with control.
        /// Removes the header fields that only the system may set from a caller's request.
        std::function<void(std::vector<HeaderField> *fields)> removeReservedFields;
        std::function<std::string()> localService; ///< Returns the service of the VM.
        std::function<std::shared_ptr<GuardedTarget>()> localTarget; ///< Returns the target of the VM, or nullptr.
    };

    CallerResolver(const Clock &clock, Options options, ServiceTable &services, Random &random, OriginLog &origins,
                   EventLog &log, Metrics &metrics);

    /// Removes the keys from a bundle and returns their table. Thread-safe.
    KeyTable takeKeys(Bundle *bundle) const;

    /// Takes over the routes of a bundle that takes effect, and the table of its keys.
    void apply(const AppliedBundle &bundle, KeyTable keys);

    /// Records whether the node is in touch with control; call it at a fixed interval.
    void recordContact(bool inTouch);

    /// Resolves a request; Unavailable means that the node does not know enough, Unauthenticated that the request has
    /// no key that a workspace holds, and NotFound that no route matches.
    absl::Status resolve(const CallerHead &caller, CallerRequest *request);

private:
    absl::Status authenticate(const Route &route, CallerRequest *request);
    absl::Status refuse(const Route &route, CallerVerdict verdict, CallerRequest *request);
    bool isLocalTargetBusy() const;
    void chargeRepeatedCalls(const RequestHead &head);

    const Clock &m_clock;
    Options m_options;
    ServiceTable &m_services;
    Random &m_random;
    OriginLog &m_origins;
    EventLog &m_log;
    Metrics &m_metrics;
    KeyTable::Secret m_secret{};
    bool m_hasWorkspaces = false;
    KeyTable m_keys;
    ControlContact m_contact;
    std::map<std::string, RequestAgeEstimator> m_requestAges; // by route
    TimePoint m_nextLine; // when the next refusal may be logged
};

}
