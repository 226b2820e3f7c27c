/// A whole system in one process on loopback: control, nodes, and stand-in targets of several firms.
///
/// Use it to try the system out or to embed it in a test. Nothing listens on other addresses than 127.0.0.1.
#pragma once

#include "daemon/controldaemon.h"
#include "daemon/nodedaemon.h"
#include "shallotrelay/bundle/signature.h"
#include "standin/standintarget.h"

#include <absl/status/status.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotrelay
{

/// A service of a sample deployment.
struct SampleService {
    std::string name; ///< Name of the service.
    std::uint32_t workers = 0; ///< Targets, spread over the data centres in turn.
    std::uint32_t slots = 0; ///< Requests at once for each target.
    std::uint32_t connections = 0; ///< Connections at once for each target.
};

/// A firm with its data centres and services.
struct SampleFirm {
    std::string name; ///< Name of the firm.
    std::vector<std::string> dataCentres; ///< Its data centres.
    std::vector<SampleService> services; ///< Its services.
};

/// Returns the two deployments that the project is built for, at their sizes.
std::vector<SampleFirm> sampleFirms();

/// One target of the system, with the node beside it.
struct EmbeddedTarget {
    std::string firm; ///< The firm that owns the service.
    std::string service; ///< The service.
    std::string name; ///< Name of the target.
    std::string dataCentre; ///< Its data centre.
    std::unique_ptr<NodeDaemon> node; ///< The node beside it.
    std::unique_ptr<StandInTarget> target; ///< The target.
};

/// Owns all parts of the system.
class EmbeddedSystem
{
public:
    EmbeddedSystem(std::vector<SampleFirm> firms, std::uint32_t threads, const std::string &dataFolder, EventLog &log);
    ~EmbeddedSystem();

    /// Starts everything; targets take work once a bundle was rolled.
    absl::Status start();

    /// Signs and submits a bundle of a firm with its next version; some data centres may be out of service.
    absl::StatusOr<std::uint64_t> roll(const std::string &firm, const std::set<std::string> &out);

    /// Waits until each node applies a revision of a firm.
    bool waitUntilInForce(const std::string &firm, std::uint64_t revision, Duration bound) const;

    /// Waits until each node may choose from a number of targets of a service.
    bool waitForTargets(const std::string &firm, const std::string &service, std::size_t targets, Duration bound) const;

    /// Returns the firms.
    const std::vector<SampleFirm> &firms() const;

    /// Returns the targets.
    const std::vector<std::unique_ptr<EmbeddedTarget>> &targets() const;

private:
    absl::Status startTarget(const SampleFirm &firm, const SampleService &service, std::uint32_t index);
    const SampleFirm &firmOf(const std::string &name) const;

    std::vector<SampleFirm> m_firms;
    SystemClock m_clock;
    EventLog &m_log;
    Runtime m_runtime;
    std::map<std::string, KeyPair> m_keys;
    std::map<std::string, std::uint64_t> m_versions;
    std::string m_dataFolder;
    std::unique_ptr<ControlDaemon> m_control;
    std::vector<std::unique_ptr<EmbeddedTarget>> m_targets;
};

}
