#include "net/httpfrontend.h"
#include "support.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace shallotrelay
{
namespace
{

using namespace std::chrono_literals;

/// Front end whose behaviour is scripted by the request path: "/KIND/MS/NAME" waits MS milliseconds and then responds
/// with NAME ("ok"), fails without a response ("fail"), truncates a streamed response ("cut"), or sends a response of
/// 640 chunks ("big").
class ScriptedFrontend
{
public:
    explicit ScriptedFrontend(std::size_t responseBufferBytes = 128 * 1024)
        : m_runtime(1)
        , m_frontend(m_runtime, m_clock, options(responseBufferBytes),
                     [this](CallerRequest &request, BodySource &source, CallerSink &sink, ExchangeProgress &) {
                         return dispatch(request, source, sink);
                     })
    {
        REQUIRE(m_frontend.start(Address{"127.0.0.1", 0}).ok());
        m_runtime.start();
    }

    ~ScriptedFrontend()
    {
        m_runtime.stop();
    }

    ScriptedFrontend(const ScriptedFrontend &) = delete;
    ScriptedFrontend &operator=(const ScriptedFrontend &) = delete;

    HttpFrontend &frontend()
    {
        return m_frontend;
    }

    std::vector<std::string> events() const
    {
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

    std::size_t countOf(const std::string &event) const
    {
        const auto all = events();
        return static_cast<std::size_t>(std::count(all.begin(), all.end(), event));
    }

    std::atomic<int> running = 0;
    std::atomic<int> maxRunning = 0;
    std::atomic<std::size_t> producedBytes = 0; // body bytes of "big" responses

private:
    static FrontendOptions options(std::size_t responseBufferBytes)
    {
        FrontendOptions out;
        out.resolve = [](const CallerHead &head, CallerRequest *request) -> absl::Status {
            request->head.path = head.target;
            if (head.target.starts_with("/none/")) {
                return absl::NotFoundError("no route");
            }
            return absl::OkStatus();
        };
        out.acceptsRequestIds = true;
        out.responseBufferBytes = responseBufferBytes;
        out.headTimeout = 300ms;
        return out;
    }

    /// Counts a request while it runs.
    struct RunningCount {
        explicit RunningCount(ScriptedFrontend &owner)
            : frontend(owner)
        {
            frontend.maxRunning = std::max<int>(frontend.maxRunning, ++frontend.running);
        }

        RunningCount(const RunningCount &) = delete;
        RunningCount &operator=(const RunningCount &) = delete;

        ~RunningCount()
        {
            --frontend.running;
        }

        ScriptedFrontend &frontend;
    };

    void recordEvent(const std::string &event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(event);
    }

    asio::awaitable<ExchangeResult> dispatch(CallerRequest &request, BodySource &source, CallerSink &sink)
    {
        const RunningCount runningCount(*this);
        const std::string path = request.head.path;
        const std::size_t slash = path.find('/', 1);
        const std::size_t last = path.find('/', slash + 1);
        const std::string kind = path.substr(1, slash - 1);
        const std::string name = path.substr(last + 1);
        recordEvent("begin " + name);
        std::string body = name;
        while (!source.atEnd()) {
            const auto chunk = co_await source.read();
            if (!chunk.ok()) {
                recordEvent("cut " + name);
                co_return ExchangeResult{};
            }
            body += *chunk;
        }
        co_await sleepFor(std::chrono::milliseconds(std::stoi(path.substr(slash + 1, last - slash - 1))));
        ExchangeResult result;
        result.status = 502;
        if (kind == "fail") {
            co_return result;
        }
        ResponseHead head;
        head.status = 200;
        head.reason = "OK";
        head.bodyKind = kind == "ok" ? BodyKind::Sized : BodyKind::Streamed;
        head.contentLength = body.size();
        absl::Status status = co_await sink.head(head, Flush::Now);
        // The response to HEAD has no body.
        const int parts = request.head.method == "HEAD" ? 0 : kind == "big" ? 640 : 1;
        for (int i = 0; i < parts && status.ok(); ++i) {
            std::string chunk = kind == "ok" ? body : std::string(BodyChunkBytes, 'x');
            producedBytes += kind == "big" ? chunk.size() : 0;
            status = co_await sink.chunk(std::move(chunk), Flush::Now);
        }
        if (kind == "cut" || !status.ok()) {
            co_return result;
        }
        status = co_await sink.end({});
        result.whole = status.ok();
        result.status = 200;
        recordEvent("end " + name);
        co_return result;
    }

    SystemClock m_clock;
    Runtime m_runtime;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_events;
    HttpFrontend m_frontend;
};

/// Connection of a caller, with blocking calls.
class Caller
{
public:
    explicit Caller(const ScriptedFrontend &, HttpFrontend &frontend)
        : m_socket(m_loop)
    {
        m_socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), frontend.port()));
        timeval timeout{5, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    }

    void send(const std::string &text)
    {
        asio::write(m_socket, asio::buffer(text));
    }

    void close()
    {
        m_socket.close();
    }

    /// Reads until the text has been received the given number of times, or the connection has ended.
    std::string readUntil(const std::string &text, int times)
    {
        std::string out;
        std::size_t from = 0; // where the search for the text continues
        while (times > 0) {
            const std::size_t found = out.find(text, from);
            if (found != std::string::npos) {
                from = found + text.size();
                --times;
                continue;
            }
            from = std::max(from, out.size() - std::min(out.size(), text.size() - 1));
            const std::string chunk = readSome();
            if (chunk.empty()) {
                break;
            }
            out += chunk;
        }
        return out;
    }

    /// Reads until the connection ends and sets the flag if it was reset.
    std::string readAll(bool *reset = nullptr)
    {
        std::string out;
        for (;;) {
            const std::string chunk = readSome(reset);
            if (chunk.empty()) {
                return out;
            }
            out += chunk;
        }
    }

    static int countIn(const std::string &all, const std::string &text)
    {
        int out = 0;
        for (std::size_t i = all.find(text); i != std::string::npos; i = all.find(text, i + text.size())) {
            ++out;
        }
        return out;
    }

private:
    std::string readSome(bool *reset = nullptr)
    {
        std::string buf(64 * 1024, '\0');
        // Asio's blocking read ignores SO_RCVTIMEO, so this calls recv().
        const auto n = ::recv(m_socket.native_handle(), buf.data(), buf.size(), 0);
        if (n < 0 && reset != nullptr) {
            *reset = errno == ECONNRESET;
        }
        buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return buf;
    }

    asio::io_context m_loop;
    tcp::socket m_socket;
};

std::string get(const std::string &path, const std::string &more = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}

std::string post(const std::string &path, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

/// Returns the bodies of the responses in order.
std::vector<std::string> bodiesOf(std::string all)
{
    std::vector<std::string> out;
    for (;;) {
        const std::size_t end = all.find("\r\n\r\n");
        const std::size_t length = all.find("Content-Length: ");
        if (end == std::string::npos || length > end) {
            return out;
        }
        const std::size_t n = std::stoul(all.substr(length + 16));
        out.push_back(all.substr(end + 4, n));
        all.erase(0, end + 4 + n);
    }
}

}

TEST_CASE("Pipelined GET requests run concurrently and get their responses in order")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    const auto startTime = std::chrono::steady_clock::now();
    caller.send(get("/ok/400/a") + get("/ok/5/b") + get("/ok/400/c") + get("/ok/200/d"));
    const auto bodies = bodiesOf(caller.readUntil("200 OK", 4));
    CHECK(bodies == std::vector<std::string>{"a", "b", "c", "d"});
    CHECK(scripted.maxRunning == 4);
    CHECK(std::chrono::steady_clock::now() - startTime < 800ms);
}

TEST_CASE(
    "A pipelined POST starts after earlier responses are complete and later GET requests run concurrently with it")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/100/a") + post("/ok/100/save", "+body") + get("/ok/1/b"));
    const auto bodies = bodiesOf(caller.readUntil("200 OK", 3));
    CHECK(bodies == std::vector<std::string>{"a", "save+body", "b"});
    const auto events = scripted.events();
    const auto at
        = [&](const std::string &event) { return std::find(events.begin(), events.end(), event) - events.begin(); };
    CHECK(at("end a") < at("begin save"));
    CHECK(at("begin b") < at("end save"));
}

TEST_CASE("A POST pipelined after a request that closes the connection does not run")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/50/a", "Connection: close\r\n") + post("/ok/1/save", "x"));
    const std::string all = caller.readAll();
    CHECK(bodiesOf(all) == std::vector<std::string>{"a"});
    CHECK(all.find("Connection: close") != std::string::npos);
    CHECK(scripted.countOf("begin save") == 0);
}

TEST_CASE("A disconnect of the caller cancels all its pipelined requests")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/5000/a") + get("/ok/5000/b") + get("/ok/5000/c"));
    for (int i = 0; i < 200 && scripted.running < 3; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    REQUIRE(scripted.running == 3);
    caller.close();
    for (int i = 0; i < 100 && scripted.running > 0; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(scripted.running == 0);
}

TEST_CASE("Pipelined requests that fail or have no route get error responses in order and the others continue")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/100/a") + get("/fail/1/b") + get("/none/1/c") + get("/ok/1/d"));
    const std::string all = caller.readUntil("\r\n\r\nd", 1);
    const auto at = [&](const std::string &text) { return all.find(text); };
    CHECK(at("200 OK") < at("502 Bad Gateway"));
    CHECK(at("502 Bad Gateway") < at("404 Not Found"));
    CHECK(at("404 Not Found") < all.rfind("200 OK"));
}

TEST_CASE("A malformed head after valid pipelined requests gets the last response and closes the connection")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/500/a") + get("/ok/1/b") + "bad\r\n\r\n" + get("/ok/1/c"));
    const std::string all = caller.readAll();
    CHECK(Caller::countIn(all, "200 OK") == 2);
    CHECK(all.find("400 Bad Request") > all.rfind("200 OK"));
    CHECK(scripted.countOf("begin c") == 0);
}

TEST_CASE("An incomplete head after a valid request does not affect its response")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    // The head timeout is shorter than the first request takes.
    caller.send(get("/ok/500/a") + "GET /ok/1/b HTTP/1.1\r\nHo");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"a"});
    caller.send("st: x\r\n\r\n");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"b"});
}

TEST_CASE("A truncated request body after a valid request does not affect its response")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/50/a") + "POST /ok/1/save HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"a"});
    caller.close();
    for (int i = 0; i < 200 && scripted.countOf("cut save") == 0; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(scripted.countOf("end save") == 0);
    CHECK(scripted.countOf("cut save") == 1);
}

TEST_CASE("100 Continue is sent after the responses to earlier pipelined requests")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/100/a")
                + "POST /ok/1/save HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    const std::string begin = caller.readUntil("100 Continue", 1);
    CHECK(begin.find("200 OK") < begin.find("100 Continue"));
    caller.send("x");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"savex"});
}

TEST_CASE("A pipelined HEAD request gets its response in order and without a body")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/50/a") + "HEAD /ok/1/headonly HTTP/1.1\r\nHost: x\r\n\r\n" + get("/ok/20/b"));
    const std::string all = caller.readUntil("\r\n\r\nb", 1);
    CHECK(Caller::countIn(all, "200 OK") == 3);
    CHECK(all.find("headonly") == std::string::npos);
    CHECK(all.find("\r\n\r\na") < all.find("Content-Length: 8"));
    CHECK(all.find("Content-Length: 8") < all.find("\r\n\r\nb"));
}

TEST_CASE("GET requests pipelined after a request that closes the connection do not run")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/20/a") + get("/ok/20/b", "Connection: close\r\n") + get("/ok/1/c"));
    CHECK(bodiesOf(caller.readAll()) == std::vector<std::string>{"a", "b"});
    CHECK(scripted.countOf("begin c") == 0);
}

TEST_CASE("A head above the size limit after a valid request is rejected with 431 after its response")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/100/a") + get("/ok/1/b", "X-Large: " + std::string(20000, 'x') + "\r\n"));
    const std::string all = caller.readAll();
    CHECK(all.find("200 OK") < all.find(" 431 "));
    CHECK(all.find(" 431 ") != std::string::npos);
    CHECK(scripted.countOf("begin b") == 0);
}

TEST_CASE("200 requests sent at once all get responses in order with at most 16 running")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    std::string all;
    for (int i = 0; i < 200; ++i) {
        all += get("/ok/" + std::to_string(i % 7) + "/n" + std::to_string(i));
    }
    caller.send(all);
    const auto bodies = bodiesOf(caller.readUntil("200 OK", 200));
    REQUIRE(bodies.size() == 200);
    for (int i = 0; i < 200; ++i) {
        CHECK(bodies[static_cast<std::size_t>(i)] == "n" + std::to_string(i));
    }
    CHECK(scripted.maxRunning <= 16);
    CHECK(scripted.maxRunning > 4);
}

TEST_CASE("A caller that does not read its responses stalls its own large responses but not those of other callers")
{
    ScriptedFrontend scripted;
    Caller slow(scripted, scripted.frontend());
    slow.send(get("/ok/300/a") + get("/big/1/b") + get("/big/1/c"));
    Caller other(scripted, scripted.frontend());
    other.send(get("/ok/1/d"));
    CHECK(bodiesOf(other.readUntil("200 OK", 1)) == std::vector<std::string>{"d"});
    // Both large responses wait for the first one; each buffers up to its limit and one chunk more.
    CHECK(scripted.producedBytes <= 2 * (128 * 1024 + BodyChunkBytes));
    const std::string all = slow.readUntil("0\r\n\r\n", 2);
    CHECK(scripted.producedBytes == 2 * 640 * BodyChunkBytes);
    CHECK(all.size() > scripted.producedBytes);
}

TEST_CASE("disableKeepAlive() lets all requests already read complete and closes the connection with the last response")
{
    ScriptedFrontend scripted;
    Caller caller(scripted, scripted.frontend());
    caller.send(get("/ok/100/a") + get("/ok/300/b") + get("/ok/50/c"));
    for (int i = 0; i < 200 && scripted.running < 3; ++i) {
        std::this_thread::sleep_for(1ms);
    }
    REQUIRE(scripted.running == 3);
    scripted.frontend().disableKeepAlive();
    const std::string all = caller.readAll();
    CHECK(bodiesOf(all) == std::vector<std::string>{"a", "b", "c"});
    CHECK(Caller::countIn(all, "Connection: close") == 1);
    CHECK(all.find("Connection: close") > all.rfind("200 OK"));
}

TEST_CASE("A request that arrives around the call of disableKeepAlive() is either completed or never started")
{
    for (int ms = 0; ms < 30; ++ms) {
        ScriptedFrontend scripted;
        Caller caller(scripted, scripted.frontend());
        caller.send(get("/ok/0/first"));
        REQUIRE(bodiesOf(caller.readUntil("200 OK", 1)).size() == 1);
        std::thread stopper([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(15));
            scripted.frontend().disableKeepAlive();
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
        caller.send(get("/ok/5/a") + get("/ok/1/b"));
        const auto bodies = bodiesOf(caller.readAll());
        stopper.join();
        CHECK(scripted.countOf("begin a") == static_cast<std::size_t>(std::count(bodies.begin(), bodies.end(), "a")));
        CHECK(scripted.countOf("begin b") == static_cast<std::size_t>(std::count(bodies.begin(), bodies.end(), "b")));
    }
}

TEST_CASE("A truncated response without a length resets the connection so that it does not look complete")
{
    ScriptedFrontend scripted(0);
    Caller caller(scripted, scripted.frontend());
    caller.send("GET /cut/1/a HTTP/1.0\r\nHost: x\r\n\r\n");
    bool reset = false;
    const std::string all = caller.readAll(&reset);
    CHECK(all.find("200 OK") != std::string::npos);
    CHECK(reset);
}

TEST_CASE("Random mixes of pipelined GET and POST requests get their own responses in order")
{
    std::mt19937 draw(20261204);
    for (int round = 0; round < 40; ++round) {
        ScriptedFrontend scripted;
        Caller caller(scripted, scripted.frontend());
        std::vector<std::string> expected;
        std::string all;
        const int n = 1 + static_cast<int>(draw() % 40);
        for (int i = 0; i < n; ++i) {
            const std::string name = "n" + std::to_string(draw());
            const std::string path = "/ok/" + std::to_string(draw() % 12) + "/" + name;
            const bool saves = draw() % 4 == 0;
            all += saves ? post(path, "+x") : get(path);
            expected.push_back(name + (saves ? "+x" : ""));
        }
        std::thread sender([&] {
            for (std::size_t i = 0; i < all.size();) {
                const std::size_t length = 1 + draw() % 200;
                caller.send(all.substr(i, length));
                i += length;
                if (draw() % 3 == 0) {
                    std::this_thread::sleep_for(1ms);
                }
            }
        });
        std::string received = caller.readUntil("200 OK", n);
        sender.join();
        while (bodiesOf(received).size() < expected.size() || bodiesOf(received).back() != expected.back()) {
            const std::string more = caller.readUntil("x", 1);
            if (more.empty()) {
                break;
            }
            received += more;
        }
        CHECK(bodiesOf(received) == expected);
    }
}

}
