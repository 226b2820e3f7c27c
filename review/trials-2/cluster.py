"""A small cluster of the project's programs on loopback, with stand-in workers, clients and an operator.

The programs are started as separate processes with the commands of deploy/system.toml. Addresses are loopback addresses
that were free at the start; the data folders are in a temporary folder. Only processes that were started here are ended.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "shallotrelay")
PEER, METRICS, OPERATOR, READY, FRONTEND, TARGET = 7380, 7395, 8144, 8141, 8147, 8145
HOST = "bench.example"


class CannotRun(Exception):
    """The case could not be run."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_net():
    """Returns the first two octets of a loopback net on which the ports are free."""
    for _ in range(50):
        net = "127.%d" % random.randrange(40, 200)
        try:
            for host in ("10.1", "11.1"):
                for port in (PEER, METRICS, OPERATOR, READY, FRONTEND, TARGET):
                    with socket.socket() as it:
                        it.bind(("%s.%s" % (net, host), port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    out = b""
    if fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            out += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    return out


async def read_answer(reader):
    line, fields = await read_head(reader)
    return int(line.split()[1]), fields, await read_body(reader, fields)


async def call(address, port, method, path, body=b"", fields=None, timeout=2.0):
    """Sends one request on a new connection and returns the status, the fields and the body of the answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n" % (method, path, HOST, len(body))
            head += "".join("%s: %s\r\n" % it for it in (fields or {}).items())
            writer.write(head.encode() + b"\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def line(self, text):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.started, text))

    def close(self, text):
        self.line(text)
        print(text)
        self.file.close()


class Worker:
    """A worker as PROTOCOL.md describes it. answer(request) may be replaced: it is awaited with the request and returns
    (status, body, cut): cut is the number of body bytes after which the connection is closed, None for a whole answer."""

    def __init__(self, cluster, host, service, zone, slots=12):
        self.cluster, self.host, self.service, self.zone, self.slots = cluster, host, service, zone, slots
        self.id = "w-%s-%d" % (service, int(host.split(".")[-1]))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.state = "ready"
        self.answer = None
        self.writers = set()

    def abort(self):
        """Ends all connections, as the end of the worker's process does."""
        for it in list(self.writers):
            it.transport.abort()

    async def stop(self):
        """Ends the worker's server, connections and heartbeats, as a crash does."""
        self.server.close()
        self.beats.cancel()
        self.abort()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, TARGET, limit=1 << 20)
        self.beats = asyncio.create_task(self.beat())
        self.cluster.servers.append(self.server)
        self.cluster.tasks.append(self.beats)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": "%s:%d" % (self.host, TARGET), "zone": self.zone, "version": "v1",
                    "slots": self.slots, "state": self.state, "coldRemaining": "0ms", "sequence": self.sequence,
                    "born": self.born}
            try:
                await call(self.host, OPERATOR, "PUT", "/instances/" + self.id, json.dumps(body).encode(), timeout=1)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.cluster.beat)

    def head(self, status, length, request, more=""):
        out = "HTTP/1.1 %d X\r\nContent-Length: %d\r\nShallotrelay-Instance-Id: %s\r\n" % (status, length, self.id)
        out += "Shallotrelay-Instance-Load: %d,0,%d,100\r\n" % (self.running, self.slots)
        if request:
            out += "Shallotrelay-Request-Id: %s\r\n" % request
        return (out + more + "\r\n").encode()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                if line.split()[1] == "/healthz":
                    writer.write(self.head(200 if self.state == "ready" else 503, 0, ""))
                    await writer.drain()
                    continue
                await self.serve_request(line, fields, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def serve_request(self, line, fields, reader, writer):
        request = fields.get("shallotrelay-request-id", "")
        body = await read_body(reader, fields)
        if fields.get("shallotrelay-expect-instance", self.id) != self.id:
            writer.write(self.head(421, 0, request, "Shallotrelay-Not-Executed: 1\r\n"))
            await writer.drain()
            return
        method, path = line.split()[:2]
        self.running += 1
        self.cluster.ran(self, request, method, path)
        try:
            status, answer, cut = await self.answer(request, method, path, body)
        finally:
            self.running -= 1
        writer.write(self.head(status, len(answer), request, "Shallotrelay-Server-Seal: %s.%d\r\n" % (request, len(answer))))
        if cut is not None:
            writer.write(answer[:cut])
            await writer.drain()
            self.cluster.record.line("%s breaks off its answer to %s after %d of %d bytes" % (self.id, request, cut, len(answer)))
            raise asyncio.IncompleteReadError(b"", None)
        writer.write(answer)
        await writer.drain()
        self.cluster.record.line("%s has sent its whole answer to %s (%d, %d bytes)" % (self.id, request, status, len(answer)))


class Cluster:
    """Control processes, nodes and workers. services lists (service, zone) of each worker."""

    def __init__(self, folder, services, controls=3, grace="6s", link_mbps=1000.0, fail_closed="", revoke="", quota_slack="",
                 connections=1060, slots=12, beat=1.0):
        self.beat = beat
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_net()
        self.controls = ["%s.10.%d" % (self.net, i + 1) for i in range(controls)]
        self.nodes = ["%s.11.%d" % (self.net, i + 1) for i in range(len(services))]
        self.workers = [Worker(self, host, *it, slots=slots) for host, it in zip(self.nodes, services)]
        self.services = services
        self.grace, self.link_mbps, self.connections = grace, link_mbps, connections
        self.fail_closed, self.revoke, self.quota_slack = fail_closed, revoke, quota_slack
        self.processes, self.servers, self.tasks = {}, [], []
        self.runs = {}
        self.version = 0

    def ran(self, worker, request, method, path):
        self.runs.setdefault(request, []).append((time.monotonic(), worker.id))
        self.record.line("%s runs %s (%s %s)" % (worker.id, request, method, path))

    def command(self, host):
        seeds = ",".join("%s:%d" % (it, OPERATOR) for it in self.controls[:3])
        name = host.replace(".", "-")
        if host in self.controls:
            data = os.path.join(self.folder, name)
            first = "false" if os.path.exists(data) else "true"
            return [PROGRAM, "platform-control", "--name", name, "--listen", "%s:%d" % (host, PEER),
                    "--operator-listen", "%s:%d" % (host, OPERATOR), "--metrics-listen", "%s:%d" % (host, METRICS),
                    "--control", seeds, "--first-start", first, "--data-folder", data, "--trust", "unsigned",
                    "--canary-share=", "--canary-slack=", "--rollback-time=", "--quota-slack=" + self.quota_slack]
        service, zone = self.services[self.nodes.index(host)]
        return [PROGRAM, "platform-node", "--name", name, "--data-centre", zone, "--service", service,
                "--target", "%s:%d" % (host, TARGET), "--listen", "%s:%d" % (host, FRONTEND),
                "--ready-listen", "%s:%d" % (host, READY), "--announce-listen", "%s:%d" % (host, OPERATOR),
                "--peer-listen", "%s:%d" % (host, PEER), "--metrics-listen", "%s:%d" % (host, METRICS),
                "--control", seeds, "--grace", self.grace, "--retry-ratio", "0.2", "--retry-slack", "60",
                "--cold-factor", "1.5", "--probes-per-second", "60", "--fail-closed=" + self.fail_closed,
                "--revoke-time=" + self.revoke, "--link-mbps=%s" % self.link_mbps]

    async def launch(self, host):
        log = open(os.path.join(self.folder, host + ".log"), "ab")
        self.processes[host] = await asyncio.create_subprocess_exec(*self.command(host), stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def signal(self, host, number):
        if self.processes[host].returncode is None:
            self.processes[host].send_signal(number)

    async def start(self, routes):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/shallotrelay is missing: run the build of deploy/system.toml")
        for it in self.workers:
            await it.start()
        for host in self.controls + self.nodes:
            await self.launch(host)
        self.routes = routes
        await self.put_config()
        await self.wait_until_ready()

    def config(self):
        services = sorted({it[0] for it in self.services})
        return {"version": self.version, "routes": [dict(it, host=HOST) for it in self.routes],
                "services": [{"name": it, "healthPath": "/healthz", "maxConnections": self.connections, "protocol": "h1",
                              "tls": False, "coldStart": "3s", "coldPerS": 1000.0} for it in services],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
                           "idleTimeout": "15000ms"}}

    async def order(self, method, path, body=b"", first=None, timeout=1.0):
        """Sends one call of the operator, follows redirects twice and returns (status, body); status None: no clear answer."""
        host, port = first or random.choice(self.controls), OPERATOR
        for _ in range(3):
            try:
                status, fields, answer = await call(host, port, method, path, body, timeout=timeout)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                return None, b""
            if status != 307:
                return status, answer
            host, port = fields["location"].split("/")[2].split(":")
        return None, b""

    async def put_config(self):
        base, self.version = self.version, self.version + 1
        body = json.dumps(dict(self.config(), baseVersion=base)).encode()
        for _ in range(100):
            status, _ = await self.order("PUT", "/config", body)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the desired state was not accepted")

    async def wait_until_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ready = 0
            for host in self.nodes:
                try:
                    ready += (await call(host, READY, "GET", "/ready", timeout=1))[0] == 200
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    pass
            if ready == len(self.nodes):
                await asyncio.sleep(3.5)  # Longer than contact: all machines are in touch.
                return
            await asyncio.sleep(0.2)
        raise CannotRun("not all nodes are ready")

    async def end(self):
        for it in self.tasks + self.servers:
            it.cancel() if isinstance(it, asyncio.Task) else it.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            print("logs: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def request_text(method, path, request, deadline_ms, body=b"", fields=""):
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nShallotrelay-Request-Id: %s\r\nShallotrelay-Deadline-Ms: %d\r\n" % (
        method, path, HOST, request, deadline_ms)
    if body or method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return (head + fields + "\r\n").encode() + body


def run(case):
    """Runs a case: case() returns the exit status."""
    try:
        status = asyncio.run(case())
    except Exception as error:  # The exit status 1 is for a broken rule alone.
        print("cannot run: %r" % error)
        status = 2
    sys.exit(status)
