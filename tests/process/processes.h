/// Starts the program as real processes on loopback and sends requests to them.
///
/// Use Deployment in process tests and benchmarks that need a control process, nodes and targets; use Process for a
/// single process.
#pragma once

#include "cli/settingvalue.h"
#include "net/httpserver.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace shallotrelay
{

using namespace std::chrono_literals;

/// Returns a loopback port that no process listens on at present.
std::uint16_t freePort();

/// Returns a loopback address with a free port.
Address freeAddress();

/// Polls a condition every 20 ms until it holds; returns false on timeout.
bool eventually(const std::function<bool()> &condition, Duration timeout = 10s);

/// Temporary folder that the destructor removes with its contents.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();

    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    /// Returns the path of a file in the folder.
    std::string path(const std::string &name) const;

private:
    std::string m_path;
};

/// One process of the program, which the destructor kills if it is still running.
class Process
{
public:
    /// Starts the program with arguments and appends its standard output and standard error to a file.
    Process(const std::vector<std::string> &args, const std::string &outputFile);
    ~Process();

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Sends a signal to the process.
    void signal(int number) const;

    /// Waits for the process to end and returns its exit status, or -1 if a signal ended it or on timeout.
    int wait(Duration timeout = 10s);

    /// Returns whether the process is still running.
    bool running();

    /// Returns the resident memory of the process in bytes.
    std::uint64_t residentBytes() const;

    /// Returns the highest resident memory of the process so far, in bytes.
    std::uint64_t peakResidentBytes() const;

    /// Returns the processor time consumed so far, user and system time together.
    Duration processorTime() const;

private:
    pid_t m_pid = -1;
    int m_status = 0;
    bool m_ended = false;
};

/// Node process with its addresses.
struct NodeProcess {
    std::string name; ///< Name of the node.
    Address callers; ///< Address for callers.
    Address peers; ///< Address for other nodes.
    Address admin; ///< Address for announcements of targets and for status requests.
    std::vector<std::string> args; ///< Command line arguments.
    std::unique_ptr<Process> process; ///< The running process.
};

/// Control process, nodes and stand-in targets of one firm with one service, each in its own process.
class Deployment
{
public:
    /// Starts a control process for the firm "tipar" with the service "redactie".
    Deployment();

    /// Starts a node in a data centre, with optional additional arguments.
    NodeProcess &addNode(const std::string &dataCentre, const std::vector<std::string> &extraArgs = {});

    /// Starts a stand-in target that announces itself to a node, with optional additional arguments.
    Process &addTarget(const NodeProcess &node, const std::string &name,
                       const std::vector<std::string> &extraArgs = {});

    /// Starts or restarts the control process; a previous one must have ended.
    void startControl();

    /// Submits a bundle with the next version, in which the given data centres are out of service. Retries until there
    /// is a response, for up to 10 s, and returns it, or status 0 if there was none.
    HttpResponse roll(const std::vector<std::string> &outOfService = {});

    /// Waits up to 10 s until every node has applied the bundle, has exactly this number of usable targets and serves a
    /// request; returns whether this happened.
    bool ready(std::size_t targets);

    /// Sends one request to a node and returns the response, with status 0 if there was none within 10 s.
    HttpResponse call(const NodeProcess &node, const std::string &method, const std::string &path,
                      const std::string &body = "");

    /// Sends a save request with an idempotency key to a node and returns the response, with status 0 if there was none
    /// within 8 s.
    HttpResponse save(const NodeProcess &node, const std::string &key, const std::string &body,
                      const std::string &query = "");

    /// Restarts a node with the same arguments; the previous process must have ended.
    void restart(NodeProcess &node);

    /// Returns the number of usable targets in the status of a node, or 0 if the node does not respond.
    std::size_t usableTargets(const NodeProcess &node);

    /// Returns the response of the control process with the status of the bundles, or status 0 if there was none.
    HttpResponse bundleStatus();

    /// Returns the path of a file in the temporary folder.
    std::string path(const std::string &name) const;

    /// The control process, public for tests that kill or pause it.
    std::unique_ptr<Process> control;

private:
    std::string signedBundle(const std::vector<std::string> &outOfService);

    TemporaryDirectory m_folder;
    Address m_nodesAddress;
    Address m_operatorsAddress;
    std::string m_secretKey;
    std::uint64_t m_version = 0;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::vector<std::unique_ptr<Process>> m_targets;
};

/// Sends raw bytes to an address and returns all bytes received until the connection closes or no byte arrives within
/// the timeout.
std::string rawExchange(const Address &address, const std::string &bytes, Duration timeout = 3s);

}
