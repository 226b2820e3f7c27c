// Measures how the cost of each component grows with its size on this machine. Fits a straight line to at least four
// points and extrapolates it to the size for which the system is designed. Prints the lines as slope.<role>.<what>, and
// the extrapolated values with their limits as bound.<role>.<what>.

#include "daemon/claimstore.h"
#include "daemon/servicetable.h"
#include "report.h"
#include "shallotrelay/guard/guard.h"
#include "support.h"
#include "wire/frame.h"

#include <sodium.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace shallotrelay;

namespace
{

constexpr double Workers = 1700;
constexpr double Services = 290;
constexpr double CallsPerSecond = 560000;
constexpr double ChangesPerDay = 1700;
constexpr double RestartsPerDay = 260;
constexpr double SecondsPerDay = 86400;
constexpr double NodeCpuPercentLimit = 1.6;
constexpr double NodeMemoryMbLimit = 32;
constexpr double NodeBytesPerSecondLimit = 3000;

/// A straight line, fitted to points by least squares.
struct Line {
    double slope = 0;
    double start = 0;
    double spread = 0; ///< Root mean square of the residuals.

    double at(double x) const
    {
        return start + slope * x;
    }
};

Line fit(const std::vector<std::pair<double, double>> &points)
{
    double meanX = 0;
    double meanY = 0;
    for (const auto &it : points) {
        meanX += it.first / double(points.size());
        meanY += it.second / double(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &it : points) {
        covariance += (it.first - meanX) * (it.second - meanY);
        variance += (it.first - meanX) * (it.first - meanX);
    }
    Line line;
    line.slope = covariance / variance;
    line.start = meanY - line.slope * meanX;
    for (const auto &it : points) {
        line.spread += std::pow(it.second - line.at(it.first), 2) / double(points.size());
    }
    line.spread = std::sqrt(line.spread);
    return line;
}

/// Returns the minimum time of several rounds in microseconds, which other load on the machine affects least.
double microseconds(const std::function<void()> &work, int rounds = 5)
{
    double best = 1e18;
    for (int i = 0; i < rounds; ++i) {
        const auto start = std::chrono::steady_clock::now();
        work();
        const double span = toMilliseconds(std::chrono::steady_clock::now() - start) * 1000;
        best = std::min(best, span);
    }
    return best;
}

Line reportSlope(const std::string &name, const std::vector<std::pair<double, double>> &points, const std::string &unit)
{
    const Line line = fit(points);
    report("slope." + name, line.slope, unit);
    report("slope." + name + ".start", line.start, unit.substr(0, unit.find('/')));
    report("slope." + name + ".spread", line.spread, unit.substr(0, unit.find('/')));
    return line;
}

void reportWithLimit(const std::string &name, double value, double limit, const std::string &unit)
{
    fmt::print("bound.{}: {:.4g} {:.4g} {}{}\n", name, value, limit, unit, value > limit ? " EXCEEDED" : "");
}

TargetRecord recordOf(int i)
{
    TargetRecord record;
    record.firm = "tipar";
    record.service = "service-" + std::to_string(i % int(Services));
    record.name = "target-" + std::to_string(i);
    record.dataCentre = "brasov-a";
    record.peerAddress = "10.1.2.3:8081";
    record.incarnation = 1764806400000000ULL;
    record.slots = 12;
    record.connections = 240;
    record.bootId = "0123456789abcdef0123456789abcdef";
    record.state = TargetState::Ready;
    return record;
}

nlohmann::json bundleWith(int services)
{
    nlohmann::json json = sampleBundle(1);
    const nlohmann::json one = json["services"]["redactie"];
    json["services"] = nlohmann::json::object();
    for (int i = 0; i < services; ++i) {
        json["services"]["service-" + std::to_string(i)] = one;
    }
    return json;
}

double residentMb()
{
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * double(::sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Measures routing decisions, which examine each target of the service.
void measureRouter()
{
    std::vector<std::pair<double, double>> points;
    for (const int n : {4, 8, 16, 32, 64}) {
        ServiceRouter router(RouterOptions{});
        std::vector<RouterTarget> targets;
        targets.reserve(std::size_t(n));
        for (int i = 0; i < n; ++i) {
            targets.push_back({"t" + std::to_string(i), "brasov-a", 12, TargetState::Ready, true, "b"});
        }
        router.setTargets(targets, at(0s));
        Random random(1);
        constexpr int Choices = 2000;
        const double total = microseconds([&] {
            for (int i = 0; i < Choices; ++i) {
                router.choose({}, at(1s), random);
            }
        });
        points.emplace_back(n, total / Choices);
    }
    const Line line = reportSlope("node.choice_us_by_targets", points, "us/target");
    constexpr double TargetsOfService = Workers / Services;
    report("node.choice_us_at_size", line.at(TargetsOfService), "us");
}

/// Measures the table of a node, which stores all targets and bundles and rebuilds its routers on each change.
void measureServiceTable()
{
    const KeyPair key = generateKeyPair();
    const std::string text = *addSignature(bundleWith(int(Services)).dump(), key.secretKey);
    const FakeClock clock;
    std::vector<std::pair<double, double>> times;
    std::vector<std::pair<double, double>> memory;
    std::vector<std::unique_ptr<ServiceTable>> keep;
    for (const int n : {200, 425, 850, 1700}) {
        const double before = residentMb();
        keep.push_back(std::make_unique<ServiceTable>(clock, RouterOptions{}, 1));
        ServiceTable &table = *keep.back();
        DirectoryUpdate all;
        all.full = true;
        all.sequence = 1;
        for (int i = 0; i < n; ++i) {
            all.records.push_back(recordOf(i));
        }
        table.applyBundle({1, text}).IgnoreError();
        table.applyDirectory("control-1", all);
        memory.emplace_back(n, residentMb() - before);
        DirectoryUpdate one;
        one.sequence = 2;
        one.records = {recordOf(0)};
        times.emplace_back(n, microseconds([&] { table.applyDirectory("control-1", one); }));
    }
    const Line time = reportSlope("node.change_us_by_targets", times, "us/target");
    const Line mb = reportSlope("node.table_mb_by_targets", memory, "MB/target");
    // A restart changes a record about four times: removed, cold, ready, and moved to the new node.
    const double changes = (4 * RestartsPerDay + ChangesPerDay) / SecondsPerDay;
    reportWithLimit("node.change_cpu_percent", changes * time.at(Workers) / 1e4, NodeCpuPercentLimit, "%");
    constexpr double IdleNodeMb = 12;
    reportWithLimit("node.resident_mb", IdleNodeMb + std::max(0.0, mb.at(Workers)), NodeMemoryMbLimit, "MB");
}

/// Measures parsing and size of bundles. Returns the bytes per second that bundles use on the link to one control VM.
double measureBundles()
{
    const KeyPair key = generateKeyPair();
    std::vector<std::pair<double, double>> times;
    std::vector<std::pair<double, double>> sizes;
    for (const int n : {20, 70, 145, 290}) {
        const std::string text = *addSignature(bundleWith(n).dump(), key.secretKey);
        sizes.emplace_back(n, double(text.size()));
        times.emplace_back(n, microseconds([&] { parseSignedBundle(text).IgnoreError(); }));
    }
    const Line time = reportSlope("node.bundle_us_by_services", times, "us/service");
    const Line size = reportSlope("node.bundle_bytes_by_services", sizes, "B/service");
    const double perSecond = ChangesPerDay / SecondsPerDay;
    reportWithLimit("node.bundle_cpu_percent", perSecond * time.at(Services) / 1e4, NodeCpuPercentLimit, "%");
    reportWithLimit("node.bundle_bytes_per_s", perSecond * size.at(Services), NodeBytesPerSecondLimit, "B/s");
    return perSecond * size.at(Services);
}

/// Computes the traffic between a node and the control VMs: when idle, and for the average number of changes per day.
void measureControlTraffic(double bundleBytesPerSecond)
{
    NodeReport heartbeat;
    heartbeat.node = "node-redactie-1";
    heartbeat.dataCentre = "brasov-a";
    heartbeat.applied = {{"tipar", 1, 1}, {"consorcio", 1, 1}};
    heartbeat.targets = {recordOf(1)};
    // The node sends a report to each of two control VMs per second; each responds and sends a heartbeat of its own.
    const double idle = 2 * (double(encodeFrame(heartbeat).size()) + 2 * double(encodeFrame(Heartbeat{1}).size()));
    DirectoryUpdate one;
    one.records = {recordOf(1)};
    const double changes = 2 * 4 * RestartsPerDay / SecondsPerDay * double(encodeFrame(one).size());
    report("node.idle_control_bytes_per_s", idle, "B/s");
    report("node.directory_bytes_per_s", changes, "B/s");
    reportWithLimit("node.control_bytes_per_s_without_bundles", idle + changes, NodeBytesPerSecondLimit, "B/s");
    // Each of the two control VMs sends each complete bundle.
    const double all = idle + changes + 2 * bundleBytesPerSecond;
    reportWithLimit("node.control_bytes_per_s", all, NodeBytesPerSecondLimit, "B/s");
    // The load reports in responses of other nodes are counted separately.
    report("node.load_report_bytes_per_call", 33, "B");
}

/// Measures the directory of a control VM, which processes one report per node and second.
void measureDirectory()
{
    std::vector<std::pair<double, double>> points;
    for (const int n : {200, 425, 850, 1700}) {
        Directory directory(3s);
        std::vector<NodeReport> reports;
        for (int i = 0; i < n; ++i) {
            NodeReport it;
            it.node = "node-" + std::to_string(i);
            it.incarnation = 1;
            it.targets = {recordOf(i)};
            reports.push_back(it);
            directory.report(it, at(0s));
        }
        points.emplace_back(n, microseconds([&] {
                                for (const NodeReport &it : reports) {
                                    directory.report(it, at(1s));
                                }
                            }));
    }
    const Line line = reportSlope("control.reports_us_by_nodes", points, "us/node");
    report("control.reports_us_per_s_at_size", points.back().second, "us");
    report("control.reports_linearity", points.back().second / (points.front().second * 8.5), "share");
    reportWithLimit("control.reports_cpu_percent", line.at(Workers) / 1e4, 100, "%");
}

/// Measures the durable storage of claims, one by one and in batches.
void measureClaimStore()
{
    const auto folder = std::filesystem::temp_directory_path() / "shallotrelay-slopes";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    auto store = *ClaimStore::open(folder.string());
    std::vector<std::pair<double, double>> points;
    int next = 0;
    for (const int n : {50, 100, 200, 400}) {
        const double total = microseconds(
            [&] {
                for (int i = 0; i < n; ++i) {
                    store->claim({1, "tipar/redactie/" + std::to_string(next++), "10.1.2.3:8081", "redactie-1", 1});
                }
            },
            1);
        points.emplace_back(n, total);
    }
    const Line line = reportSlope("control.claim_us_by_claims", points, "us/claim");
    report("control.claims_per_s_one_by_one", 1e6 / line.slope, "1/s");
    constexpr int Batch = 64;
    constexpr int Batches = 20;
    const double batched = microseconds(
        [&] {
            for (int k = 0; k < Batches; ++k) {
                std::vector<ClaimRequest> requests;
                requests.reserve(Batch);
                for (int i = 0; i < Batch; ++i) {
                    requests.push_back(
                        {1, "tipar/redactie/" + std::to_string(next++), "10.1.2.3:8081", "redactie-1", 1});
                }
                store->claimAll(requests);
            }
        },
        3);
    const double claimsPerSecond = 1e6 * Batch * Batches / batched;
    report("control.claims_per_s", claimsPerSecond, "1/s");
    report("control.claim_bytes_on_disk", double(std::filesystem::file_size(folder / "claims.log")) / next, "B");
    // Rate of claims if 1 % of all requests carry an idempotency key.
    reportWithLimit("control.claims_per_s_at_one_percent_keyed", CallsPerSecond / 100, claimsPerSecond, "1/s");
    std::filesystem::remove_all(folder);
}

}

int main()
{
    if (sodium_init() < 0) {
        return 1;
    }
    measureRouter();
    measureServiceTable();
    measureControlTraffic(measureBundles());
    measureDirectory();
    measureClaimStore();
    return 0;
}
