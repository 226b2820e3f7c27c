#include "process/processes.h"

#include "support.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace shallotrelay
{

std::uint16_t freePort()
{
    // The range is below the ephemeral ports of Linux, so that no outgoing connection takes the port before it is used.
    constexpr int FirstPort = 15000;
    constexpr int PortCount = 15000;
    static int next = ::getpid() * 40 % PortCount;
    asio::io_context loop;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next);
        next = (next + 1) % PortCount;
        tcp::acceptor acceptor(loop);
        boost::system::error_code ec;
        acceptor.open(tcp::v4(), ec);
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, ec);
        if (!ec) {
            return port;
        }
    }
}

Address freeAddress()
{
    return {"127.0.0.1", freePort()};
}

bool eventually(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

TemporaryDirectory::TemporaryDirectory()
{
    std::string name = (std::filesystem::temp_directory_path() / "shallotrelay-process-XXXXXX").string();
    m_path = ::mkdtemp(name.data());
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::filesystem::remove_all(m_path);
}

std::string TemporaryDirectory::path(const std::string &name) const
{
    return m_path + "/" + name;
}

Process::Process(const std::vector<std::string> &args, const std::string &outputFile)
{
    std::vector<std::string> all = {SHALLOTRELAY_BINARY};
    all.insert(all.end(), args.begin(), args.end());
    std::vector<char *> argv;
    argv.reserve(all.size() + 1);
    for (std::string &it : all) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid == 0) {
        const int fd = ::open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execv(SHALLOTRELAY_BINARY, argv.data());
        ::_exit(127);
    }
}

Process::~Process()
{
    if (!m_ended) {
        ::kill(m_pid, SIGKILL);
        ::kill(m_pid, SIGCONT);
        ::waitpid(m_pid, &m_status, 0);
    }
}

void Process::signal(int number) const
{
    ::kill(m_pid, number);
}

bool Process::running()
{
    if (!m_ended && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_ended = true;
    }
    return !m_ended;
}

int Process::wait(Duration timeout)
{
    if (!eventually([&] { return !running(); }, timeout)) {
        return -1;
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

std::uint64_t Process::residentBytes() const
{
    std::ifstream in(fmt::format("/proc/{}/statm", m_pid));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::uint64_t Process::peakResidentBytes() const
{
    std::ifstream in(fmt::format("/proc/{}/status", m_pid));
    constexpr std::uint64_t BytesPerKilobyte = 1024;
    std::string name;
    while (in >> name) {
        std::uint64_t kilobytes = 0;
        if (name == "VmHWM:" && in >> kilobytes) {
            return kilobytes * BytesPerKilobyte;
        }
    }
    return 0;
}

Duration Process::processorTime() const
{
    std::ifstream in(fmt::format("/proc/{}/stat", m_pid));
    std::string line;
    std::getline(in, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::vector<std::string> parts(std::istream_iterator<std::string>(fields), {});
    constexpr std::size_t UserTime = 11;
    constexpr std::size_t SystemTime = 12;
    const double ticks = std::stod(parts.at(UserTime)) + std::stod(parts.at(SystemTime));
    const double seconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Deployment::Deployment()
    : m_nodesAddress(freeAddress())
    , m_operatorsAddress(freeAddress())
{
    const KeyPair key = generateKeyPair();
    m_secretKey = key.secretKey;
    const nlohmann::json trust
        = {{"firms",
            {{"tipar",
              {{"keys", {key.publicKey}}, {"threshold", 1}, {"data_centres", {"brasov-a", "brasov-b", "sibiu-c"}}}}}}};
    std::ofstream(path("trust.json")) << trust.dump();
    startControl();
}

void Deployment::startControl()
{
    control = std::make_unique<Process>(
        std::vector<std::string>{"control", "--name", "control-1", "--listen", m_nodesAddress.text(),
                                 "--operator-listen", m_operatorsAddress.text(), "--data-folder", path("control"),
                                 "--trust-file", path("trust.json"), "--heartbeat", "200ms", "--lease", "1500ms"},
        path("control.log"));
}

NodeProcess &Deployment::addNode(const std::string &dataCentre, const std::vector<std::string> &extraArgs)
{
    auto node = std::make_unique<NodeProcess>();
    node->name = fmt::format("node-{}", m_nodes.size() + 1);
    node->callers = freeAddress();
    node->peers = freeAddress();
    node->admin = freeAddress();
    std::vector<std::string> args = {"node",
                                     "--name",
                                     node->name,
                                     "--data-centre",
                                     dataCentre,
                                     "--listen",
                                     node->callers.text(),
                                     "--peer-listen",
                                     node->peers.text(),
                                     "--admin-listen",
                                     node->admin.text(),
                                     "--control",
                                     m_nodesAddress.text(),
                                     "--heartbeat",
                                     "200ms",
                                     "--announce-lease",
                                     "1500ms",
                                     "--seed",
                                     std::to_string(m_nodes.size() + 1)};
    args.insert(args.end(), extraArgs.begin(), extraArgs.end());
    node->args = args;
    node->process = std::make_unique<Process>(args, path(node->name + ".log"));
    m_nodes.push_back(std::move(node));
    return *m_nodes.back();
}

void Deployment::restart(NodeProcess &node)
{
    node.process = std::make_unique<Process>(node.args, path(node.name + ".log"));
}

Process &Deployment::addTarget(const NodeProcess &node, const std::string &name,
                               const std::vector<std::string> &extraArgs)
{
    std::vector<std::string> args = {"target", "--firm", "tipar", "--service", "redactie", "--name", name};
    const std::vector<std::string> location = {"--node-admin", node.admin.text(), "--data-centre", "any"};
    args.insert(args.end(), location.begin(), location.end());
    if (std::find(extraArgs.begin(), extraArgs.end(), "--listen") == extraArgs.end()) {
        args.insert(args.end(), {"--listen", freeAddress().text()});
    }
    args.insert(args.end(), {"--journal", path(name + ".journal")});
    args.insert(args.end(), extraArgs.begin(), extraArgs.end());
    m_targets.push_back(std::make_unique<Process>(args, path(name + ".log")));
    return *m_targets.back();
}

std::string Deployment::signedBundle(const std::vector<std::string> &outOfService)
{
    nlohmann::json bundle = sampleBundle(++m_version);
    for (const std::string &it : outOfService) {
        bundle["data_centres"][it] = "out";
    }
    return *addSignature(bundle.dump(), m_secretKey);
}

HttpResponse Deployment::roll(const std::vector<std::string> &outOfService)
{
    const std::string text = signedBundle(outOfService);
    HttpResponse response;
    response.status = 0;
    eventually([&] {
        const auto result = blockingHttpCall(m_operatorsAddress, {"POST", "/v1/bundles", "", text}, 2s);
        if (result.ok()) {
            response = *result;
        }
        return result.ok();
    });
    return response;
}

bool Deployment::ready(std::size_t targets)
{
    return eventually([&] {
        const HttpResponse status = bundleStatus();
        if (status.status != 200) {
            return false;
        }
        const auto json = nlohmann::json::parse(status.body);
        if (json["firms"].empty() || json["firms"][0]["nodes_applying"] != m_nodes.size()) {
            return false;
        }
        const auto serves
            = [&](const auto &it) { return usableTargets(*it) == targets && call(*it, "GET", "/").status == 200; };
        return std::all_of(m_nodes.begin(), m_nodes.end(), serves);
    });
}

HttpResponse Deployment::call(const NodeProcess &node, const std::string &method, const std::string &path,
                              const std::string &body)
{
    const auto result = blockingHttpCall(node.callers, {method, "/s/tipar/redactie" + path, "", body}, 10s);
    return result.value_or(HttpResponse{0, "", ""});
}

HttpResponse Deployment::save(const NodeProcess &node, const std::string &key, const std::string &body,
                              const std::string &query)
{
    const std::string request
        = fmt::format("POST /s/tipar/redactie/save{} HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {}\r\n"
                      "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                      query, key, body.size(), body);
    const std::string bytes = rawExchange(node.callers, request, 8s);
    HttpResponse response;
    constexpr std::size_t StatusAt = 9;
    constexpr std::size_t StatusDigits = 3;
    response.status
        = bytes.size() > StatusAt ? static_cast<std::uint16_t>(std::stoi(bytes.substr(StatusAt, StatusDigits))) : 0;
    const std::size_t end = bytes.find("\r\n\r\n");
    response.body = end == std::string::npos ? "" : bytes.substr(end + 4);
    return response;
}

std::size_t Deployment::usableTargets(const NodeProcess &node)
{
    const auto result = blockingHttpCall(node.admin, {"GET", "/v1/services", "", ""}, 2s);
    if (!result.ok() || result->status != 200) {
        return 0;
    }
    const auto services = nlohmann::json::parse(result->body)["services"];
    return services.empty() ? 0 : services[0]["usable"].get<std::size_t>();
}

HttpResponse Deployment::bundleStatus()
{
    const auto result = blockingHttpCall(m_operatorsAddress, {"GET", "/v1/bundles/status", "", ""}, 2s);
    return result.value_or(HttpResponse{0, "", ""});
}

std::string Deployment::path(const std::string &name) const
{
    return m_folder.path(name);
}

std::string rawExchange(const Address &address, const std::string &bytes, Duration timeout)
{
    asio::io_context loop;
    tcp::socket socket(loop);
    boost::system::error_code ec;
    socket.connect(toEndpoint(address), ec);
    asio::write(socket, asio::buffer(bytes), ec);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    const timeval receiveTimeout{static_cast<time_t>(milliseconds.count() / 1000),
                                 (milliseconds.count() % 1000) * 1000};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
    std::string out;
    std::string buf(4096, '\0');
    for (;;) {
        const ssize_t n = ::recv(socket.native_handle(), buf.data(), buf.size(), 0);
        if (n <= 0) {
            return out;
        }
        out.append(buf.data(), static_cast<std::size_t>(n));
    }
}

}
