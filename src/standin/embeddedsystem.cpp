#include "standin/embeddedsystem.h"

#include "net/httpserver.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace shallotrelay
{
namespace
{

constexpr Duration PollInterval = std::chrono::milliseconds(5);
constexpr Duration SubmitTimeout = std::chrono::seconds(5);
constexpr std::uint32_t ColdSlots = 2;
constexpr std::uint32_t ColdRampMs = 500;
constexpr std::uint32_t QueueWaitMs = 1000;
const Address loopbackAnyPort{"127.0.0.1", 0};

bool pollUntil(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

nlohmann::json makeBundle(const SampleFirm &firm, std::uint64_t version, const std::set<std::string> &out)
{
    nlohmann::json dataCentres = nlohmann::json::object();
    for (const std::string &it : firm.dataCentres) {
        dataCentres[it] = out.contains(it) ? "out" : "in";
    }
    nlohmann::json services = nlohmann::json::object();
    for (const SampleService &it : firm.services) {
        services[it.name] = {{"data_centres", firm.dataCentres},
                             {"slots", it.slots},
                             {"connections", it.connections},
                             {"cold", {{"slots", ColdSlots}, {"ramp_ms", ColdRampMs}}},
                             {"queue", {{"length", 2 * it.slots}, {"wait_ms", QueueWaitMs}}}};
    }
    return {{"format", 1},
            {"firm", firm.name},
            {"version", version},
            {"data_centres", dataCentres},
            {"services", services}};
}

}

std::vector<SampleFirm> sampleFirms()
{
    return {{"tipar", {"brasov-a", "brasov-b", "sibiu-c"}, {{"redactie", 6, 12, 240}, {"arhiva", 4, 12, 240}}},
            {"consorcio",
             {"recife-a", "recife-b", "fortaleza", "salvador"},
             {{"fichas", 7, 17, 260}, {"cartela", 4, 17, 260}}}};
}

EmbeddedSystem::EmbeddedSystem(std::vector<SampleFirm> firms, std::uint32_t threads, const std::string &dataFolder,
                               EventLog &log)
    : m_firms(std::move(firms))
    , m_log(log)
    , m_runtime(threads)
    , m_dataFolder(dataFolder)
{
}

EmbeddedSystem::~EmbeddedSystem()
{
    m_runtime.stop();
}

absl::Status EmbeddedSystem::start()
{
    nlohmann::json trust = nlohmann::json::object();
    for (const SampleFirm &it : m_firms) {
        m_keys[it.name] = generateKeyPair();
        trust[it.name] = {{"keys", {m_keys[it.name].publicKey}}, {"threshold", 1}, {"data_centres", it.dataCentres}};
    }
    ControlSettings settings;
    settings.listen = loopbackAnyPort;
    settings.operatorListen = loopbackAnyPort;
    settings.name = "control-1";
    settings.dataFolder = m_dataFolder;
    settings.lease = std::chrono::seconds(3);
    settings.heartbeat = std::chrono::seconds(1);
    settings.maxNodes = 4096;
    m_control = std::make_unique<ControlDaemon>(m_runtime, m_clock, settings, m_log);
    const absl::Status status = m_control->start(nlohmann::json{{"firms", trust}}.dump());
    if (!status.ok()) {
        return status;
    }
    for (const SampleFirm &firm : m_firms) {
        for (const SampleService &service : firm.services) {
            for (std::uint32_t i = 0; i < service.targets; ++i) {
                const absl::Status started = startTarget(firm, service, i);
                if (!started.ok()) {
                    return started;
                }
            }
        }
    }
    m_runtime.start();
    return absl::OkStatus();
}

absl::Status EmbeddedSystem::startTarget(const SampleFirm &firm, const SampleService &service, std::uint32_t index)
{
    auto out = std::make_unique<EmbeddedTarget>();
    out->firm = firm.name;
    out->service = service.name;
    out->name = fmt::format("{}-{}", service.name, index + 1);
    out->dataCentre = firm.dataCentres[index % firm.dataCentres.size()];
    auto node = parseNodeSettings({{"name", "node-" + out->name},
                                   {"data-centre", out->dataCentre},
                                   {"listen", loopbackAnyPort.text()},
                                   {"peer-listen", loopbackAnyPort.text()},
                                   {"admin-listen", loopbackAnyPort.text()},
                                   {"control", m_control->nodeAddress().text()}});
    if (!node.ok()) {
        return node.status();
    }
    out->node = std::make_unique<NodeDaemon>(m_runtime, m_clock, *node, m_log);
    if (const absl::Status status = out->node->start(); !status.ok()) {
        return status;
    }
    TargetSettings target;
    target.listen = loopbackAnyPort;
    target.nodeAdmin = out->node->adminAddress();
    target.name = out->name;
    target.firm = firm.name;
    target.service = service.name;
    target.dataCentre = out->dataCentre;
    target.slots = service.slots;
    target.connections = service.connections;
    target.coldSlots = ColdSlots;
    out->target = std::make_unique<StandInTarget>(m_runtime, m_clock, target);
    if (const absl::Status status = out->target->start(); !status.ok()) {
        return status;
    }
    m_targets.push_back(std::move(out));
    return absl::OkStatus();
}

const SampleFirm &EmbeddedSystem::findFirm(const std::string &name) const
{
    const auto hasName = [&](const SampleFirm &it) { return it.name == name; };
    return *std::find_if(m_firms.begin(), m_firms.end(), hasName);
}

absl::StatusOr<std::uint64_t> EmbeddedSystem::submitBundle(const std::string &firm, const std::set<std::string> &out)
{
    const nlohmann::json bundle = makeBundle(findFirm(firm), ++m_versions[firm], out);
    auto text = addSignature(bundle.dump(), m_keys.at(firm).secretKey);
    if (!text.ok()) {
        return text.status();
    }
    const auto response
        = blockingHttpCall(m_control->operatorAddress(), {"POST", "/v1/bundles", "", *std::move(text)}, SubmitTimeout);
    if (!response.ok()) {
        return response.status();
    }
    const auto result = nlohmann::json::parse(response->body);
    if (result["verdict"] != toString(SubmitVerdict::Accepted)) {
        return absl::FailedPreconditionError(result.dump());
    }
    return result["revision"].get<std::uint64_t>();
}

bool EmbeddedSystem::waitUntilInEffect(const std::string &firm, std::uint64_t revision, Duration timeout) const
{
    const auto applies = [&](const auto &it) { return it->node->applies(firm, revision); };
    return pollUntil([&] { return std::all_of(m_targets.begin(), m_targets.end(), applies); }, timeout);
}

bool EmbeddedSystem::waitForTargets(const std::string &firm, const std::string &service, std::size_t targets,
                                    Duration timeout) const
{
    const auto hasUsableTargets = [&](const auto &it) { return it->node->usableTargets(firm, service) == targets; };
    return pollUntil([&] { return std::all_of(m_targets.begin(), m_targets.end(), hasUsableTargets); }, timeout);
}

const std::vector<SampleFirm> &EmbeddedSystem::firms() const
{
    return m_firms;
}

const std::vector<std::unique_ptr<EmbeddedTarget>> &EmbeddedSystem::targets() const
{
    return m_targets;
}

}
