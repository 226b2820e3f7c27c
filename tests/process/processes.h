/// Starts real processes of the program on loopback, for tests and benches.
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

/// Returns a port of loopback that is free at present.
std::uint16_t freePort();

/// Returns an address of loopback with a free port.
Address freeAddress();

/// Waits until a condition holds; returns whether it did within the time.
bool eventually(const std::function<bool()> &condition, Duration bound = 10s);

/// A folder that is removed with the object.
class WorkFolder
{
public:
    WorkFolder();
    ~WorkFolder();

    WorkFolder(const WorkFolder &) = delete;
    WorkFolder &operator=(const WorkFolder &) = delete;

    /// Returns the path of a file in the folder.
    std::string path(const std::string &name) const;

private:
    std::string m_path;
};

/// One process of the program; it is killed with the object.
class Process
{
public:
    /// Starts the program with arguments; its output goes to the file.
    Process(const std::vector<std::string> &args, const std::string &outputFile);
    ~Process();

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Sends a signal.
    void signal(int number) const;

    /// Waits for the end and returns the exit status, or -1 if a signal ended it or the time passed.
    int wait(Duration bound = 10s);

    /// Returns whether it still runs.
    bool running();

    /// Returns its resident memory in bytes.
    std::uint64_t residentBytes() const;

    /// Returns the processor time that it has used.
    Duration processorTime() const;

private:
    pid_t m_pid = -1;
    int m_status = 0;
    bool m_ended = false;
};

/// A node process with its addresses.
struct NodeProcess {
    std::string name; ///< Name of the node.
    Address callers; ///< Where callers connect.
    Address peers; ///< Where other nodes connect.
    Address admin; ///< Where targets announce themselves.
    std::vector<std::string> args; ///< What it was started with.
    std::unique_ptr<Process> process; ///< The process.
};

/// Control, nodes and stand-in targets of one firm with one service, each in a process of its own.
class Deployment
{
public:
    /// Starts a control process for the firm "tipar" with the service "redactie".
    Deployment();

    /// Starts a node in a data centre; more settings may follow.
    NodeProcess &addNode(const std::string &dataCentre, const std::vector<std::string> &more = {});

    /// Starts a stand-in target beside a node; more settings may follow.
    Process &addTarget(const NodeProcess &node, const std::string &name, const std::vector<std::string> &more = {});

    /// Starts the control process, again after it was ended.
    void startControl();

    /// Rolls a bundle with the next version; data centres named in the list are out of service.
    HttpResponse roll(const std::vector<std::string> &out = {});

    /// Waits until each node may choose from a number of targets and serves a request.
    bool ready(std::size_t targets);

    /// Sends one request to a node and returns the answer; status 0 stands for none.
    HttpResponse call(const NodeProcess &node, const std::string &method, const std::string &path,
                      const std::string &body = "");

    /// Sends a save with an idempotency key.
    HttpResponse save(const NodeProcess &node, const std::string &key, const std::string &body,
                      const std::string &query = "");

    /// Starts the process of a node again with the same settings, after it was ended.
    void restart(NodeProcess &node);

    /// Returns how many targets a node may choose from.
    std::size_t usableTargets(const NodeProcess &node);

    /// Returns what the control process says about bundles.
    HttpResponse bundleStatus();

    /// Returns the path of a file in the work folder.
    std::string path(const std::string &name) const;

    /// The control process, for tests that end it.
    std::unique_ptr<Process> control;

private:
    std::string signedBundle(const std::vector<std::string> &out);

    WorkFolder m_folder;
    Address m_nodesAddress;
    Address m_operators;
    std::string m_secretKey;
    std::uint64_t m_version = 0;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::vector<std::unique_ptr<Process>> m_targets;
};

/// Sends raw bytes to an address and returns all that comes back until the connection ends or the time passes.
std::string rawExchange(const Address &address, const std::string &bytes, Duration bound = 3s);

}
