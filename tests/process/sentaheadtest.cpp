#include "net/door.h"
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

/// A door whose requests say in their path what happens to them: "/KIND/MS/NAME" waits MS and then answers NAME
/// ("ok"), fails without an answer ("fail"), cuts a streamed answer off ("cut"), or answers with many bytes ("big").
class ScriptedDoor
{
public:
    explicit ScriptedDoor(std::size_t holdBytes = 128 * 1024)
        : m_runtime(1)
        , m_door(m_runtime, m_clock, options(holdBytes),
                 [this](CallerRequest &request, BodySource &source, CallerSink &sink, ExchangeProgress &) {
                     return dispatch(request, source, sink);
                 })
    {
        REQUIRE(m_door.start(Address{"127.0.0.1", 0}).ok());
        m_runtime.start();
    }

    ~ScriptedDoor()
    {
        m_runtime.stop();
    }

    ScriptedDoor(const ScriptedDoor &) = delete;
    ScriptedDoor &operator=(const ScriptedDoor &) = delete;

    Door &door()
    {
        return m_door;
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
    std::atomic<int> mostRunning = 0;
    std::atomic<std::size_t> produced = 0; // bytes of big answers

private:
    static DoorOptions options(std::size_t holdBytes)
    {
        DoorOptions out;
        out.resolve = [](const CallerHead &head, CallerRequest *request) -> absl::Status {
            request->head.path = head.target;
            if (head.target.starts_with("/none/")) {
                return absl::NotFoundError("no route");
            }
            return absl::OkStatus();
        };
        out.keepsRequestIds = true;
        out.holdBytes = holdBytes;
        out.headTimeout = 300ms;
        return out;
    }

    /// Counts a request for as long as it runs.
    struct Running {
        explicit Running(ScriptedDoor &d)
            : door(d)
        {
            door.mostRunning = std::max<int>(door.mostRunning, ++door.running);
        }

        Running(const Running &) = delete;
        Running &operator=(const Running &) = delete;

        ~Running()
        {
            --door.running;
        }

        ScriptedDoor &door;
    };

    void note(const std::string &event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(event);
    }

    asio::awaitable<ExchangeResult> dispatch(CallerRequest &request, BodySource &source, CallerSink &sink)
    {
        const Running counted(*this);
        const std::string path = request.head.path;
        const std::size_t slash = path.find('/', 1);
        const std::size_t last = path.find('/', slash + 1);
        const std::string kind = path.substr(1, slash - 1);
        const std::string name = path.substr(last + 1);
        note("begin " + name);
        std::string body = name;
        while (!source.atEnd()) {
            const auto part = co_await source.read();
            if (!part.ok()) {
                note("cut " + name);
                co_return ExchangeResult{};
            }
            body += *part;
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
        // The answer to HEAD has no body.
        const int parts = request.head.method == "HEAD" ? 0 : kind == "big" ? 640 : 1;
        for (int i = 0; i < parts && status.ok(); ++i) {
            std::string part = kind == "ok" ? body : std::string(BodyChunkBytes, 'x');
            produced += kind == "big" ? part.size() : 0;
            status = co_await sink.chunk(std::move(part), Flush::Now);
        }
        if (kind == "cut" || !status.ok()) {
            co_return result;
        }
        status = co_await sink.end({});
        result.whole = status.ok();
        result.status = 200;
        note("end " + name);
        co_return result;
    }

    SystemClock m_clock;
    Runtime m_runtime;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_events;
    Door m_door;
};

/// A caller's connection with blocking calls.
class Caller
{
public:
    explicit Caller(const ScriptedDoor &, Door &door)
        : m_socket(m_loop)
    {
        m_socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), door.port()));
        timeval bound{5, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
    }

    void send(const std::string &text)
    {
        asio::write(m_socket, asio::buffer(text));
    }

    void close()
    {
        m_socket.close();
    }

    /// Reads until the text has come a number of times, or the connection has ended.
    std::string readUntil(const std::string &text, int times)
    {
        std::string out;
        std::size_t from = 0; // where the text may still be found
        while (times > 0) {
            const std::size_t found = out.find(text, from);
            if (found != std::string::npos) {
                from = found + text.size();
                --times;
                continue;
            }
            from = std::max(from, out.size() - std::min(out.size(), text.size() - 1));
            const std::string part = readSome();
            if (part.empty()) {
                break;
            }
            out += part;
        }
        return out;
    }

    /// Reads to the end of the connection; a reset sets the flag.
    std::string readAll(bool *reset = nullptr)
    {
        std::string out;
        for (;;) {
            const std::string part = readSome(reset);
            if (part.empty()) {
                return out;
            }
            out += part;
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
        // A blocking call of the system keeps to the time limit of the socket, unlike one of the library.
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

/// Returns the names of the answers in their order; each is the whole body of its answer.
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

TEST_CASE("Reads that are sent ahead run at the same time and are answered in their order")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    const auto begun = std::chrono::steady_clock::now();
    caller.send(get("/ok/400/a") + get("/ok/5/b") + get("/ok/400/c") + get("/ok/200/d"));
    const auto bodies = bodiesOf(caller.readUntil("200 OK", 4));
    CHECK(bodies == std::vector<std::string>{"a", "b", "c", "d"});
    CHECK(door.mostRunning == 4);
    CHECK(std::chrono::steady_clock::now() - begun < 800ms);
}

TEST_CASE("A save waits until what was sent before it is answered, and reads behind it run with it")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/100/a") + post("/ok/100/save", "+body") + get("/ok/1/b"));
    const auto bodies = bodiesOf(caller.readUntil("200 OK", 3));
    CHECK(bodies == std::vector<std::string>{"a", "save+body", "b"});
    const auto events = door.events();
    const auto at
        = [&](const std::string &event) { return std::find(events.begin(), events.end(), event) - events.begin(); };
    CHECK(at("end a") < at("begin save"));
    CHECK(at("begin b") < at("end save"));
}

TEST_CASE("A save behind an answer that closes the connection does not run")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/50/a", "Connection: close\r\n") + post("/ok/1/save", "x"));
    const std::string all = caller.readAll();
    CHECK(bodiesOf(all) == std::vector<std::string>{"a"});
    CHECK(all.find("Connection: close") != std::string::npos);
    CHECK(door.countOf("begin save") == 0);
}

TEST_CASE("A caller that leaves cancels all its requests")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/5000/a") + get("/ok/5000/b") + get("/ok/5000/c"));
    for (int i = 0; i < 200 && door.running < 3; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    REQUIRE(door.running == 3);
    caller.close();
    for (int i = 0; i < 100 && door.running > 0; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(door.running == 0);
}

TEST_CASE("Failed and unknown requests among those sent ahead are answered in their place and the others go on")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/100/a") + get("/fail/1/b") + get("/none/1/c") + get("/ok/1/d"));
    const std::string all = caller.readUntil("\r\n\r\nd", 1);
    const auto at = [&](const std::string &text) { return all.find(text); };
    CHECK(at("200 OK") < at("502 Bad Gateway"));
    CHECK(at("502 Bad Gateway") < at("404 Not Found"));
    CHECK(at("404 Not Found") < all.rfind("200 OK"));
}

TEST_CASE("A bad head behind good requests is answered last and ends the connection")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/500/a") + get("/ok/1/b") + "bad\r\n\r\n" + get("/ok/1/c"));
    const std::string all = caller.readAll();
    CHECK(Caller::countIn(all, "200 OK") == 2);
    CHECK(all.find("400 Bad Request") > all.rfind("200 OK"));
    CHECK(door.countOf("begin c") == 0);
}

TEST_CASE("Half a head behind good requests does not disturb their answers")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    // The time for a head is shorter than the request ahead of it takes.
    caller.send(get("/ok/500/a") + "GET /ok/1/b HTTP/1.1\r\nHo");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"a"});
    caller.send("st: x\r\n\r\n");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"b"});
}

TEST_CASE("A body that is cut short behind good requests leaves their answers whole")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/50/a") + "POST /ok/1/save HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"a"});
    caller.close();
    for (int i = 0; i < 200 && door.countOf("cut save") == 0; ++i) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(door.countOf("end save") == 0);
    CHECK(door.countOf("cut save") == 1);
}

TEST_CASE("The permission to send a body comes after the answers ahead of it")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/100/a")
                + "POST /ok/1/save HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    const std::string begin = caller.readUntil("100 Continue", 1);
    CHECK(begin.find("200 OK") < begin.find("100 Continue"));
    caller.send("x");
    CHECK(bodiesOf(caller.readUntil("200 OK", 1)) == std::vector<std::string>{"savex"});
}

TEST_CASE("HEAD among requests sent ahead is answered in its place and without a body")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/50/a") + "HEAD /ok/1/headonly HTTP/1.1\r\nHost: x\r\n\r\n" + get("/ok/20/b"));
    const std::string all = caller.readUntil("\r\n\r\nb", 1);
    CHECK(Caller::countIn(all, "200 OK") == 3);
    CHECK(all.find("headonly") == std::string::npos);
    CHECK(all.find("\r\n\r\na") < all.find("Content-Length: 8"));
    CHECK(all.find("Content-Length: 8") < all.find("\r\n\r\nb"));
}

TEST_CASE("Reads behind one that closes the connection are not begun")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/20/a") + get("/ok/20/b", "Connection: close\r\n") + get("/ok/1/c"));
    CHECK(bodiesOf(caller.readAll()) == std::vector<std::string>{"a", "b"});
    CHECK(door.countOf("begin c") == 0);
}

TEST_CASE("A head that is too large behind good requests is refused after their answers")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/100/a") + get("/ok/1/b", "X-Large: " + std::string(20000, 'x') + "\r\n"));
    const std::string all = caller.readAll();
    CHECK(all.find("200 OK") < all.find(" 431 "));
    CHECK(all.find(" 431 ") != std::string::npos);
    CHECK(door.countOf("begin b") == 0);
}

TEST_CASE("Two hundred requests in one packet are all answered, within the bound of the connection")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
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
    CHECK(door.mostRunning <= 16);
    CHECK(door.mostRunning > 4);
}

TEST_CASE("A caller that does not read stops the reading of large answers, not of others")
{
    ScriptedDoor door;
    Caller slow(door, door.door());
    slow.send(get("/ok/300/a") + get("/big/1/b") + get("/big/1/c"));
    Caller other(door, door.door());
    other.send(get("/ok/1/d"));
    CHECK(bodiesOf(other.readUntil("200 OK", 1)) == std::vector<std::string>{"d"});
    // Both large answers wait for their turn; each holds what an answer may hold and one part more.
    CHECK(door.produced <= 2 * (128 * 1024 + BodyChunkBytes));
    const std::string all = slow.readUntil("0\r\n\r\n", 2);
    CHECK(door.produced == 2 * 640 * BodyChunkBytes);
    CHECK(all.size() > door.produced);
}

TEST_CASE("A stopping node answers all that it has read, and only the last answer closes the connection")
{
    ScriptedDoor door;
    Caller caller(door, door.door());
    caller.send(get("/ok/100/a") + get("/ok/300/b") + get("/ok/50/c"));
    for (int i = 0; i < 200 && door.running < 3; ++i) {
        std::this_thread::sleep_for(1ms);
    }
    REQUIRE(door.running == 3);
    door.door().wind();
    const std::string all = caller.readAll();
    CHECK(bodiesOf(all) == std::vector<std::string>{"a", "b", "c"});
    CHECK(Caller::countIn(all, "Connection: close") == 1);
    CHECK(all.find("Connection: close") > all.rfind("200 OK"));
}

TEST_CASE("Requests that arrive at any moment around the start of a stop are answered or left unread")
{
    for (int ms = 0; ms < 30; ++ms) {
        ScriptedDoor door;
        Caller caller(door, door.door());
        caller.send(get("/ok/0/first"));
        REQUIRE(bodiesOf(caller.readUntil("200 OK", 1)).size() == 1);
        std::thread stopper([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(15));
            door.door().wind();
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
        caller.send(get("/ok/5/a") + get("/ok/1/b"));
        const auto bodies = bodiesOf(caller.readAll());
        stopper.join();
        CHECK(door.countOf("begin a") == static_cast<std::size_t>(std::count(bodies.begin(), bodies.end(), "a")));
        CHECK(door.countOf("begin b") == static_cast<std::size_t>(std::count(bodies.begin(), bodies.end(), "b")));
    }
}

TEST_CASE("An answer that ends with its connection and is cut off resets it, so that it does not look whole")
{
    ScriptedDoor door(0);
    Caller caller(door, door.door());
    caller.send("GET /cut/1/a HTTP/1.0\r\nHost: x\r\n\r\n");
    bool reset = false;
    const std::string all = caller.readAll(&reset);
    CHECK(all.find("200 OK") != std::string::npos);
    CHECK(reset);
}

TEST_CASE("Any mix of requests sent ahead gets its own answers in order")
{
    std::mt19937 draw(20261204);
    for (int round = 0; round < 40; ++round) {
        ScriptedDoor door;
        Caller caller(door, door.door());
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
                const std::size_t part = 1 + draw() % 200;
                caller.send(all.substr(i, part));
                i += part;
                if (draw() % 3 == 0) {
                    std::this_thread::sleep_for(1ms);
                }
            }
        });
        std::string whole = caller.readUntil("200 OK", n);
        sender.join();
        while (bodiesOf(whole).size() < expected.size() || bodiesOf(whole).back() != expected.back()) {
            const std::string more = caller.readUntil("x", 1);
            if (more.empty()) {
                break;
            }
            whole += more;
        }
        CHECK(bodiesOf(whole) == expected);
    }
}

}
