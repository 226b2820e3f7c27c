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

constexpr std::size_t Callers = 8;
constexpr int ReadsOfEachService = 400;
constexpr int SavesOfEachFirm = 100;
constexpr Duration CallTimeout = std::chrono::seconds(20);
constexpr Duration StartBound = std::chrono::seconds(10);
/// Time within which a decision of the operators is in force everywhere.
constexpr Duration InForceBound = std::chrono::seconds(4);

/// What became of the requests of one step.
struct StepResult {
    std::string name; ///< What the step did.
    std::uint64_t requests = 0; ///< Requests that were sent.
    std::uint64_t right = 0; ///< Answers that were whole and right.
    std::vector<Duration> latencies; ///< Times until the whole answer.
    std::string note; ///< What else is worth telling.
    bool passed = true; ///< Whether all was as it must be.
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
        bool passed = rollAll();
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
    bool rollAll()
    {
        StepResult step;
        step.name = "roll a signed bundle of each firm";
        const auto start = std::chrono::steady_clock::now();
        for (const SampleFirm &firm : m_system.firms()) {
            const auto revision = m_system.submitBundle(firm.name, {});
            step.passed
                = step.passed && revision.ok() && m_system.waitUntilInEffect(firm.name, *revision, InForceBound);
            for (const SampleService &service : firm.services) {
                step.passed
                    = step.passed && m_system.waitForTargets(firm.name, service.name, service.targets, StartBound);
            }
        }
        step.note = fmt::format("{} nodes serve after {:.0f} ms", m_system.targets().size(), sinceMs(start));
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
        parallel(ReadsOfEachService, step, [&](int i) {
            const std::string path = fmt::format("/item/{}", i);
            const auto reply = call(firm, service, i, {"GET", path, "", ""});
            const bool right
                = reply.ok() && reply->status == 200 && reply->body.find("\"" + path + "\"") != std::string::npos;
            if (!right) {
                noteWrong(reply);
            }
            return right;
        });
        step.passed = step.right == step.requests;
        m_steps.push_back(step);
    }

    void saves(const SampleFirm &firm, const SampleService &service)
    {
        StepResult step;
        step.name = fmt::format("{}/{}: saves", firm.name, service.name);
        const std::uint64_t before = runsOf(firm, service);
        parallel(SavesOfEachFirm, step, [&](int i) {
            const auto reply = call(firm, service, i, {"POST", "/save", "", std::string(1000, 'x')});
            return reply.ok() && reply->status == 200
                   && reply->body.find("\"received_bytes\":1000") != std::string::npos;
        });
        const std::uint64_t runs = runsOf(firm, service) - before;
        step.note = fmt::format("{} runs at the targets", runs);
        step.passed = step.right == step.requests && runs == step.requests;
        m_steps.push_back(step);
    }

    void download(const SampleFirm &firm, const SampleService &service)
    {
        StepResult step;
        step.name = fmt::format("{}/{}: download of {} MiB", firm.name, service.name, m_downloadBytes >> 20);
        const std::string path = fmt::format("/bytes/{}", m_downloadBytes);
        parallel(1, step, [&](int i) {
            const auto reply = call(firm, service, i, {"GET", path, "", ""});
            return reply.ok() && isPattern(reply->body);
        });
        step.passed = step.right == step.requests;
        m_steps.push_back(step);
    }

    void moveDataCentre(const SampleFirm &firm)
    {
        const std::string &place = firm.dataCentres.front();
        const SampleService &service = firm.services.front();
        rollAndWait(firm, {place}, fmt::format("{}: take {} out", firm.name, place));
        const std::uint64_t before = requestsAt(firm, place);
        reads(firm, service, fmt::format("reads while {} is out", place));
        const std::uint64_t late = requestsAt(firm, place) - before;
        m_steps.back().note = fmt::format("{} requests in {}", late, place);
        m_steps.back().passed = m_steps.back().passed && late == 0;
        rollAndWait(firm, {}, fmt::format("{}: bring {} back", firm.name, place));
        reads(firm, service, fmt::format("reads after {} is back", place));
        const std::uint64_t back = requestsAt(firm, place) - before;
        m_steps.back().note = fmt::format("{} requests in {}", back, place);
        m_steps.back().passed = m_steps.back().passed && back > 0;
    }

    void rollAndWait(const SampleFirm &firm, const std::set<std::string> &out, const std::string &name)
    {
        StepResult step;
        step.name = name;
        const auto start = std::chrono::steady_clock::now();
        const auto revision = m_system.submitBundle(firm.name, out);
        step.passed = revision.ok() && m_system.waitUntilInEffect(firm.name, *revision, InForceBound);
        step.note = fmt::format("in force everywhere after {:.0f} ms", sinceMs(start));
        m_steps.push_back(step);
    }

    /// Runs a number of requests on some threads and notes which were answered rightly.
    void parallel(int requests, StepResult &step, const std::function<bool(int)> &request)
    {
        std::mutex mutex;
        std::atomic<int> next = 0;
        std::vector<std::thread> threads;
        const auto work = [&] {
            for (int i = next++; i < requests; i = next++) {
                const auto start = std::chrono::steady_clock::now();
                const bool right = request(i);
                const std::lock_guard lock(mutex);
                ++step.requests;
                step.right += right ? 1 : 0;
                step.latencies.push_back(std::chrono::steady_clock::now() - start);
            }
        };
        for (std::size_t i = 0; i < Callers; ++i) {
            threads.emplace_back(work);
        }
        for (std::thread &it : threads) {
            it.join();
        }
        std::sort(step.latencies.begin(), step.latencies.end());
    }

    /// Calls a service through the nodes of its firm in turn.
    absl::StatusOr<HttpResponse> call(const SampleFirm &firm, const SampleService &service, int i, HttpRequest request)
    {
        std::vector<const EmbeddedTarget *> doors;
        for (const auto &it : m_system.targets()) {
            if (it->firm == firm.name) {
                doors.push_back(it.get());
            }
        }
        const EmbeddedTarget &door = *doors[static_cast<std::size_t>(i) % doors.size()];
        request.path = fmt::format("/s/{}/{}{}", firm.name, service.name, request.path);
        return blockingHttpCall(door.node->callerAddress(), request, CallTimeout);
    }

    std::uint64_t requestsAt(const SampleFirm &firm, const std::string &dataCentre) const
    {
        std::uint64_t n = 0;
        for (const auto &it : m_system.targets()) {
            n += it->firm == firm.name && it->dataCentre == dataCentre ? it->target->counts().requests : 0;
        }
        return n;
    }

    std::uint64_t runsOf(const SampleFirm &firm, const SampleService &service) const
    {
        std::uint64_t n = 0;
        for (const auto &it : m_system.targets()) {
            if (it->firm == firm.name && it->service == service.name) {
                n += it->target->counts().requests;
            }
        }
        return n;
    }

    bool isPattern(const std::string &body) const
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

    /// Prints an answer that is not what it must be.
    static void noteWrong(const absl::StatusOr<HttpResponse> &reply)
    {
        const std::string text
            = reply.ok() ? fmt::format("{} {}", reply->status, reply->body) : reply.status().ToString();
        fmt::print(stderr, "wrong answer: {}\n", text);
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
            fmt::print("{:<52} {:>8} {:>8} {:>9}  {:<7} {}\n", it.name, it.requests, it.right, p99,
                       it.passed ? "ok" : "FAILED", it.note);
        }
    }

    EmbeddedSystem &m_system;
    std::uint64_t m_downloadBytes;
    std::vector<StepResult> m_steps;
};

/// Returns a folder for the accepted bundles: the one that is set, or a new one that is removed at the end.
class DemoFolder
{
public:
    explicit DemoFolder(const std::string &set)
        : m_path(set)
        , m_temporary(set.empty())
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
    return withSettings<DemoSettings>(
        "demo", "Runs both sample deployments on loopback", demoSettingSpecs(), args, parseDemoSettings,
        [](const DemoSettings &) { return absl::OkStatus(); }, runDemo);
}

}
