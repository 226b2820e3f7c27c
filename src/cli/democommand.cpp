#include "cli/commandsupport.h"
#include "daemon/eventlog.h"
#include "standin/embeddedsystem.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <thread>

namespace shallotrelay
{
namespace
{

constexpr std::size_t CallerThreads = 8;
constexpr int ReadsPerService = 400;
constexpr int SavesPerFirm = 100;
constexpr Duration CallTimeout = std::chrono::seconds(20);
constexpr Duration StartTimeout = std::chrono::seconds(10);
/// Time within which all nodes must apply a change of the operators.
constexpr Duration RolloutTimeout = std::chrono::seconds(4);

/// Result of one step of the demo.
struct StepResult {
    std::string name; ///< Name of the step in the table.
    std::uint64_t requests = 0; ///< Number of requests sent.
    std::uint64_t correct = 0; ///< Number of responses that were complete and correct.
    std::vector<Duration> latencies; ///< Times from the request to the complete response, sorted.
    std::string note; ///< Additional result, shown in the table.
    bool passed = true; ///< Whether the step met all its conditions.
};

/// Runs the steps of the demo on an embedded system and prints a table.
class Demo
{
public:
    Demo(EmbeddedSystem &system, std::uint64_t downloadBytes)
        : m_system(system)
        , m_downloadBytes(downloadBytes)
    {
    }

    bool run()
    {
        bool passed = rollOutAll();
        if (passed) {
            for (const SampleFirm &it : m_system.firms()) {
                runFirm(it);
            }
        }
        for (const StepResult &it : m_steps) {
            passed = passed && it.passed;
        }
        print();
        return passed;
    }

private:
    bool rollOutAll()
    {
        StepResult step;
        step.name = "roll out a signed bundle of each firm";
        const auto start = std::chrono::steady_clock::now();
        for (const SampleFirm &firm : m_system.firms()) {
            const auto revision = m_system.submitBundle(firm.name, {});
            step.passed
                = step.passed && revision.ok() && m_system.waitUntilInEffect(firm.name, *revision, RolloutTimeout);
            for (const SampleService &service : firm.services) {
                step.passed
                    = step.passed && m_system.waitForTargets(firm.name, service.name, service.targets, StartTimeout);
            }
        }
        step.note = fmt::format("{} nodes in service after {:.0f} ms", m_system.targets().size(), sinceMs(start));
        m_steps.push_back(step);
        return step.passed;
    }

    void runFirm(const SampleFirm &firm)
    {
        for (const SampleService &it : firm.services) {
            reads(firm, it, "reads");
        }
        saves(firm, firm.services.front());
        download(firm, firm.services.back());
        moveDataCentre(firm);
    }

    void reads(const SampleFirm &firm, const SampleService &service, const std::string &what)
    {
        StepResult step;
        step.name = fmt::format("{}/{}: {}", firm.name, service.name, what);
        parallel(ReadsPerService, step, [&](int i) {
            const std::string path = fmt::format("/item/{}", i);
            const auto response = call(firm, service, i, {"GET", path, "", ""});
            const bool correct = response.ok() && response->status == 200
                                 && response->body.find("\"" + path + "\"") != std::string::npos;
            if (!correct) {
                printIncorrect(response);
            }
            return correct;
        });
        step.passed = step.correct == step.requests;
        m_steps.push_back(step);
    }

    void saves(const SampleFirm &firm, const SampleService &service)
    {
        StepResult step;
        step.name = fmt::format("{}/{}: saves", firm.name, service.name);
        const std::uint64_t before = runsAt(firm, service);
        parallel(SavesPerFirm, step, [&](int i) {
            const auto response = call(firm, service, i, {"POST", "/save", "", std::string(1000, 'x')});
            return response.ok() && response->status == 200
                   && response->body.find("\"received_bytes\":1000") != std::string::npos;
        });
        const std::uint64_t runs = runsAt(firm, service) - before;
        step.note = fmt::format("{} requests run at the targets", runs);
        step.passed = step.correct == step.requests && runs == step.requests;
        m_steps.push_back(step);
    }

    void download(const SampleFirm &firm, const SampleService &service)
    {
        StepResult step;
        step.name = fmt::format("{}/{}: download of {} MiB", firm.name, service.name, m_downloadBytes >> 20);
        const std::string path = fmt::format("/bytes/{}", m_downloadBytes);
        parallel(1, step, [&](int i) {
            const auto response = call(firm, service, i, {"GET", path, "", ""});
            return response.ok() && matchesPattern(response->body);
        });
        step.passed = step.correct == step.requests;
        m_steps.push_back(step);
    }

    void moveDataCentre(const SampleFirm &firm)
    {
        const std::string &movedDataCentre = firm.dataCentres.front();
        const SampleService &service = firm.services.front();
        rollOutAndWait(firm, {movedDataCentre}, fmt::format("{}: take {} out of service", firm.name, movedDataCentre));
        const std::uint64_t before = requestsAt(firm, movedDataCentre);
        reads(firm, service, fmt::format("reads, {} out of service", movedDataCentre));
        const std::uint64_t requestsWhileOut = requestsAt(firm, movedDataCentre) - before;
        m_steps.back().note = fmt::format("{} requests at {}", requestsWhileOut, movedDataCentre);
        m_steps.back().passed = m_steps.back().passed && requestsWhileOut == 0;
        rollOutAndWait(firm, {}, fmt::format("{}: take {} back into service", firm.name, movedDataCentre));
        reads(firm, service, fmt::format("reads, {} back in service", movedDataCentre));
        const std::uint64_t requestsSinceOut = requestsAt(firm, movedDataCentre) - before;
        m_steps.back().note = fmt::format("{} requests at {}", requestsSinceOut, movedDataCentre);
        m_steps.back().passed = m_steps.back().passed && requestsSinceOut > 0;
    }

    void rollOutAndWait(const SampleFirm &firm, const std::set<std::string> &out, const std::string &name)
    {
        StepResult step;
        step.name = name;
        const auto start = std::chrono::steady_clock::now();
        const auto revision = m_system.submitBundle(firm.name, out);
        step.passed = revision.ok() && m_system.waitUntilInEffect(firm.name, *revision, RolloutTimeout);
        step.note = fmt::format("applied everywhere after {:.0f} ms", sinceMs(start));
        m_steps.push_back(step);
    }

    /// Sends the requests from several threads and records latencies and the number of correct responses.
    void parallel(int requests, StepResult &step, const std::function<bool(int)> &request)
    {
        std::mutex mutex;
        std::atomic<int> next = 0;
        std::vector<std::thread> threads;
        const auto work = [&] {
            for (int i = next++; i < requests; i = next++) {
                const auto start = std::chrono::steady_clock::now();
                const bool correct = request(i);
                const std::lock_guard lock(mutex);
                ++step.requests;
                step.correct += correct ? 1 : 0;
                step.latencies.push_back(std::chrono::steady_clock::now() - start);
            }
        };
        for (std::size_t i = 0; i < CallerThreads; ++i) {
            threads.emplace_back(work);
        }
        for (std::thread &it : threads) {
            it.join();
        }
        std::sort(step.latencies.begin(), step.latencies.end());
    }

    /// Calls a service through the nodes of its firm, in round-robin order by the index of the request.
    absl::StatusOr<HttpResponse> call(const SampleFirm &firm, const SampleService &service, int i, HttpRequest request)
    {
        std::vector<const EmbeddedTarget *> nodes;
        for (const auto &it : m_system.targets()) {
            if (it->firm == firm.name) {
                nodes.push_back(it.get());
            }
        }
        const EmbeddedTarget &frontend = *nodes[static_cast<std::size_t>(i) % nodes.size()];
        request.path = fmt::format("/s/{}/{}{}", firm.name, service.name, request.path);
        return blockingHttpCall(frontend.node->callerAddress(), request, CallTimeout);
    }

    std::uint64_t requestsAt(const SampleFirm &firm, const std::string &dataCentre) const
    {
        std::uint64_t n = 0;
        for (const auto &it : m_system.targets()) {
            n += it->firm == firm.name && it->dataCentre == dataCentre ? it->target->counts().requests : 0;
        }
        return n;
    }

    std::uint64_t runsAt(const SampleFirm &firm, const SampleService &service) const
    {
        std::uint64_t n = 0;
        for (const auto &it : m_system.targets()) {
            if (it->firm == firm.name && it->service == service.name) {
                n += it->target->counts().requests;
            }
        }
        return n;
    }

    bool matchesPattern(const std::string &body) const
    {
        if (body.size() != m_downloadBytes) {
            return false;
        }
        for (std::size_t i = 0; i < body.size(); ++i) {
            if (body[i] != standInByte(i)) {
                return false;
            }
        }
        return true;
    }

    /// Prints an incorrect response on standard error.
    static void printIncorrect(const absl::StatusOr<HttpResponse> &response)
    {
        const std::string text
            = response.ok() ? fmt::format("{} {}", response->status, response->body) : response.status().ToString();
        fmt::print(stderr, "incorrect response: {}\n", text);
    }

    static double sinceMs(std::chrono::steady_clock::time_point start)
    {
        return toMilliseconds(std::chrono::steady_clock::now() - start);
    }

    void print() const
    {
        fmt::print("{:<52} {:>8} {:>8} {:>9}  {:<7} {}\n", "step", "requests", "right", "p99 ms", "result", "note");
        for (const StepResult &it : m_steps) {
            const std::size_t last = it.latencies.empty() ? 0 : (it.latencies.size() - 1) * 99 / 100;
            const std::string p99
                = it.latencies.empty() ? "" : fmt::format("{:.1f}", toMilliseconds(it.latencies[last]));
            fmt::print("{:<52} {:>8} {:>8} {:>9}  {:<7} {}\n", it.name, it.requests, it.correct, p99,
                       it.passed ? "ok" : "FAILED", it.note);
        }
    }

    EmbeddedSystem &m_system;
    std::uint64_t m_downloadBytes;
    std::vector<StepResult> m_steps;
};

/// Folder for the accepted bundles: the configured one, or a temporary one that the destructor removes.
class DemoFolder
{
public:
    explicit DemoFolder(const std::string &configured)
        : m_path(configured)
        , m_temporary(configured.empty())
    {
        if (m_temporary) {
            std::string name = (std::filesystem::temp_directory_path() / "shallotrelay-demo-XXXXXX").string();
            m_path = ::mkdtemp(name.data());
        }
    }

    ~DemoFolder()
    {
        if (m_temporary) {
            std::error_code ignored;
            std::filesystem::remove_all(m_path, ignored);
        }
    }

    DemoFolder(const DemoFolder &) = delete;
    DemoFolder &operator=(const DemoFolder &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
    bool m_temporary;
};

int runDemo(const DemoSettings &settings, const Arguments &)
{
    const auto log = EventLog::open(settings.logFile, settings.logLevel);
    if (!log.ok()) {
        return failWith(ExitFailed, std::string(log.status().message()));
    }
    const DemoFolder folder(settings.dataFolder);
    EmbeddedSystem system(sampleFirms(), settings.threads, folder.path(), **log);
    if (const absl::Status status = system.start(); !status.ok()) {
        return failWith(ExitFailed, std::string(status.message()));
    }
    Demo demo(system, settings.downloadBytes);
    return demo.run() ? ExitOk : ExitFailed;
}

}

int runDemoCommand(const Arguments &args)
{
    return runWithSettings<DemoSettings>(
        "demo", "Runs both sample deployments on loopback in one process and prints a table of the results",
        demoSettingSpecs(), args, parseDemoSettings, [](const DemoSettings &) { return absl::OkStatus(); }, runDemo);
}

}
