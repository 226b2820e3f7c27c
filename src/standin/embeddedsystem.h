/// Complete system in one process on loopback: the control daemon, the nodes, and stand-in targets of several firms.
///
/// Use it for demos or embed it in a test. All listeners are bound to 127.0.0.1.
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
    std::uint32_t targets = 0; ///< Number of targets, assigned to the data centres round-robin.
    std::uint32_t slots = 0; ///< In-flight limit of each target.
    std::uint32_t connections = 0; ///< Connection limit of each target.
};

/// A firm with its data centres and services.
struct SampleFirm {
    std::string name; ///< Name of the firm.
    std::vector<std::string> dataCentres; ///< Data centres of the firm.
    std::vector<SampleService> services; ///< Services of the firm.
};

/// Returns the two deployments that this project is designed for, at full size.
std::vector<SampleFirm> sampleFirms();

/// A target of the system and its node.
struct EmbeddedTarget {
    std::string firm; ///< The firm that owns the service.
    std::string service; ///< The service.
    std::string name; ///< Name of the target.
    std::string dataCentre; ///< Data centre of the target.
    std::unique_ptr<NodeDaemon> node; ///< The node that guards the target.
    std::unique_ptr<StandInTarget> target; ///< The target itself.
};

/// Owns and runs the control daemon, the nodes and the targets of the given firms.
class EmbeddedSystem
{
public:
    /// Creates the system with a number of threads; the control daemon stores its data in the given folder.
    EmbeddedSystem(std::vector<SampleFirm> firms, std::uint32_t threads, const std::string &dataFolder, EventLog &log);
    ~EmbeddedSystem();

    /// Starts all parts and returns the first error. Targets receive requests after a bundle has been submitted.
    absl::Status start();

    /// Signs and submits the next bundle version of a firm, with some data centres out of service, and returns its
    /// revision; returns an error if the bundle was not accepted.
    absl::StatusOr<std::uint64_t> submitBundle(const std::string &firm, const std::set<std::string> &out);

    /// Waits until all nodes apply a revision of a firm and returns whether they did before the timeout.
    bool waitUntilInEffect(const std::string &firm, std::uint64_t revision, Duration timeout) const;

    /// Waits until all nodes have exactly this number of usable targets of a service and returns whether they did
    /// before the timeout.
    bool waitForTargets(const std::string &firm, const std::string &service, std::size_t targets,
                        Duration timeout) const;

    /// Returns the firms of the system.
    const std::vector<SampleFirm> &firms() const;

    /// Returns the targets of all firms.
    const std::vector<std::unique_ptr<EmbeddedTarget>> &targets() const;

private:
    absl::Status startTarget(const SampleFirm &firm, const SampleService &service, std::uint32_t index);
    const SampleFirm &findFirm(const std::string &name) const;

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
