"""Stand-ins of the users' platform, its workers, clients and operator, for the scripts of the review.

A script builds a Platform, which starts the project's programs as separate processes with the commands of
deploy/system.toml on loopback addresses, one address a machine. Workers and clients speak HTTP/1.1 as the pages say.
Everything that was sent, answered and run goes to record.txt in the folder of the case.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the site ziar-intern, which all scripts use.
BOUNDS = {"grace": "6s", "retryBudgetRatio": "0.2", "budgetSlack": "60", "coldFactor": "1.5", "probesPerS": "60"}
DRAIN_S, CONTACT_S, BEAT_S, REUSE_S, RECOVER_S, CONFIG_S = 2.0, 3.0, 1.5, 2.0, 15.0, 2.0
ZONES = ["brasov-a", "brasov-b", "sibiu-c"]
HOST = "ficu95.example"
SERVICE_A, SERVICE_B = "huvo11a", "wuno96b"
NOT_RUN = (408, 421, 429, 503)


class Record:
    """Writes record.txt: one line an event, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, what, *rest):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, " ".join([what] + [str(it) for it in rest])))
        self.file.flush()

    def now(self):
        return time.monotonic() - self.began


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, to_end=False):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    out = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            out += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return out
    if to_end:
        return await reader.read(-1)
    return out


async def call(address, method, path, body=b"", fields=None, timeout=2.0):
    """One request on a connection of its own; returns status, fields and body, or raises."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            given = {"Host": HOST, **(fields or {})}
            if body or method in ("PUT", "POST", "PATCH"):
                given["Content-Length"] = str(len(body))
            head += "".join("%s: %s\r\n" % it for it in given.items())
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            line, answered = await read_head(reader)
            return int(line.split()[1]), answered, await read_body(reader, answered)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


LOST = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError, ValueError, IndexError)


class Machine:
    """A machine with one process of the project, on an address of its own."""

    def __init__(self, platform, role, number, zone, service=""):
        self.platform, self.role, self.zone, self.service = platform, role, zone, service
        self.name = "%s-%s-%d" % ("core" if role == "control" else "sidecar", zone, number)
        self.ip = platform.address()
        self.bootstrap = True
        self.process = None
        self.starts = 0
        self.data = os.path.join(platform.folder, self.name)
        ports = platform.ports
        self.listen = {"outbound": "%s:%d" % (self.ip, ports[2]), "readiness": "%s:%d" % (self.ip, ports[3]),
                       "controlPlane": "%s:%d" % (self.ip, ports[4]), "inbound": "%s:%d" % (self.ip, ports[5])}
        self.app = "%s:%d" % (self.ip, ports[6])

    def command(self):
        values = {"node": self.name, "zone": self.zone, "service": self.service, "appAddr": self.app, "ip": self.ip,
                  "internalPorts.0": str(self.platform.ports[0]), "internalPorts.1": str(self.platform.ports[1]),
                  "seeds": ",".join(it.listen["controlPlane"] for it in self.platform.controls[:3]),
                  "bootstrap": "true" if self.bootstrap else "false", "dataDir": self.data}
        values.update({"listen." + k: v for k, v in self.listen.items()})
        values.update({"bounds." + k: v for k, v in BOUNDS.items()})
        run = self.platform.deploy["roles"][self.role]["run"]
        return re.sub(r"\{\{([^}]+)\}\}", lambda it: values[it.group(1)], run).split()

    async def start(self):
        self.starts += 1
        log = open(os.path.join(self.platform.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*self.command(), stdout=log, stderr=log, cwd=TOP)
        self.bootstrap = False
        self.platform.record("platform", "starts", self.name, "pid", self.process.pid)

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.platform.record("platform", "sends", signal.Signals(number).name, "to", self.name)
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()


class Platform:
    """The machines of a small deployment, and the operator."""

    def __init__(self, folder, controls=3, nodes=()):
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.deploy = tomllib.load(open(os.path.join(TOP, "deploy", "system.toml"), "rb"))
        program = os.path.join(TOP, self.deploy["roles"]["node"]["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise FileNotFoundError("%s isn't built" % os.path.relpath(program, TOP))
        self.next = 0
        self.net = "127.%d.%d." % (64 + os.getpid() % 150, 1 + (os.getpid() >> 8) % 250)
        self.ports = self.free_ports(7)
        self.controls = [Machine(self, "control", i + 1, ZONES[i % 3]) for i in range(controls)]
        self.nodes = [Machine(self, "node", i + 1, zone, service) for i, (zone, service) in enumerate(nodes)]
        self.workers = []
        self.version = 0

    def address(self):
        self.next += 1
        return self.net + str(self.next)

    @staticmethod
    def free_ports(count):
        held, out = [], []
        for _ in range(count):
            it = socket.socket()
            it.bind(("0.0.0.0", 0))
            held.append(it)
            out.append(it.getsockname()[1])
        for it in held:
            it.close()
        return out

    async def start(self):
        for it in self.controls + self.nodes:
            await it.start()

    async def order(self, method, path, body=b"", tries=40):
        """The operator's call: to any control machine, follows 307 twice, moves on after a failure."""
        i = 0
        for _ in range(tries):
            at = self.controls[i % len(self.controls)].listen["controlPlane"]
            i += 1
            try:
                for _ in range(3):
                    status, fields, answer = await call(at, method, path, body, timeout=1.0 + len(body) / 1e6)
                    if status != 307:
                        break
                    at = fields["location"].split("/")[2]
                if status < 500 and status not in (307, 408, 429):
                    return status, answer
            except LOST:
                pass
            await asyncio.sleep(min(0.05 * i, 0.5))
        return None, b""

    async def put(self, routes, services):
        """Sends a whole desired state and returns the status of the ack."""
        base, self.version = self.version, self.version + 1
        state = {"version": self.version, "routes": routes, "services": services,
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
                            "idleTimeout": "15000ms"}, "baseVersion": base}
        status, _ = await self.order("PUT", "/config", json.dumps(state).encode())
        self.record("operator", "PUT /config version", self.version, "routes", len(routes), "->", status)
        return status

    async def ready(self, nodes=None, timeout=20):
        """Waits until the nodes say that they are ready; returns whether they did."""
        end = time.monotonic() + timeout
        for it in self.nodes if nodes is None else nodes:
            while True:
                try:
                    status, _, _ = await call(it.listen["readiness"], "GET", "/ready", timeout=1)
                    if status == 200:
                        break
                except LOST:
                    pass
                if time.monotonic() > end:
                    self.record("platform", it.name, "isn't ready in", timeout, "s")
                    return False
                await asyncio.sleep(0.1)
        return True

    async def end(self):
        for it in self.workers:
            await it.crash(quiet=True)
        for it in self.controls + self.nodes:
            if it.process and it.process.returncode is None:
                try:
                    it.process.send_signal(signal.SIGCONT)
                    it.process.kill()
                except ProcessLookupError:
                    pass
                await it.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind="idempotent", timeout="1500ms", target="600ms", attempts=2, priority=1):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "routeType": kind, "timeout": timeout,
            "targetLatency": target, "priority": priority, "service": service, "maxAttempts": attempts}


def service(name, cold="3s", per_s=35.0):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 240, "protocol": "h1", "tls": False,
            "coldStart": cold, "coldPerS": per_s}


class Worker:
    """A worker beside a node: runs requests, tells its load and its health, sends heartbeats."""

    def __init__(self, platform, node, ident, slots=12, work_s=0.05, service=None):
        self.platform, self.node, self.id = platform, node, ident
        self.record = platform.record
        self.service = service or node.service
        self.slots, self.work_s = slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        self.beats = True
        self.state = "ready"
        self.running = 0
        self.runs = []  # (time, id, path, caller service)
        self.server = None
        self.beater = None
        self.tasks = set()
        platform.workers.append(self)

    async def start(self, beat_after=0.0):
        host, port = self.node.app.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), reuse_address=True)
        self.record("worker", self.id, "starts, service", self.service, "born", self.born)
        self.beater = asyncio.create_task(self.beat(beat_after))

    async def beat(self, after):
        await asyncio.sleep(after)
        while True:
            if self.beats:
                await self.say(self.state)
            await asyncio.sleep(BEAT_S)

    def body(self, state):
        self.sequence += 1
        return {"service": self.service, "address": self.node.app, "zone": self.node.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldRemaining": "0ms", "sequence": self.sequence,
                "born": self.born}

    async def say(self, state):
        """One heartbeat; returns the status of its answer."""
        body = self.body(state)
        try:
            status, _, _ = await call(self.node.listen["controlPlane"], "PUT", "/instances/" + self.id,
                                      json.dumps(body).encode(), {"Content-Type": "application/json"}, timeout=1)
        except LOST as it:
            status = repr(it)
        self.record("worker", self.id, "heartbeat", state, "sequence", body["sequence"], "->", status)
        return status

    async def gone(self):
        try:
            status, _, _ = await call(self.node.listen["controlPlane"], "DELETE", "/instances/" + self.id, timeout=1)
        except LOST as it:
            status = repr(it)
        self.record("worker", self.id, "DELETE ->", status)
        return status

    async def crash(self, quiet=False):
        """Ends without a word; its connections are reset."""
        if self.server is None:
            return
        if not quiet:
            self.record("worker", self.id, "ends")
        self.server.close()
        self.server = None
        self.beater.cancel()
        for it in list(self.tasks):
            it.cancel()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                writer.write(await self.respond(line, fields, body))
                await writer.drain()
        except LOST:
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def respond(self, line, fields, body):
        method, path, _ = line.split()
        if path == "/healthz":
            return self.answer(503 if self.leaving else 200, b"", "")
        request = fields.get("shallotrelay-request-id", "")
        if fields.get("shallotrelay-expect-instance", self.id) != self.id:
            self.record("worker", self.id, "421", request)
            return self.answer(421, b"", request, not_run=True)
        if self.running >= self.slots:
            return self.answer(503, b"", request, not_run=True)
        caller = fields.get("shallotrelay-caller-service", "")
        self.runs.append((self.record.now(), request, path, caller))
        self.record("worker", self.id, "of", self.service, "runs", request, method, path, "for", caller)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return self.answer(200, ("%s by %s\n" % (request, self.id)).encode(), request)

    def answer(self, status, body, request, not_run=False):
        out = "HTTP/1.1 %d X\r\nContent-Length: %d\r\nShallotrelay-Instance-Id: %s\r\n" % (status, len(body), self.id)
        out += "Shallotrelay-Instance-Load: %d,0,%d,100\r\n" % (self.running, self.slots)
        if request:
            out += "Shallotrelay-Request-Id: %s\r\n" % request
        if status == 200 and request:
            out += "Shallotrelay-Server-Seal: seal.%s.%s\r\n" % (self.id, request)
        if not_run:
            out += "Shallotrelay-Not-Executed: 1\r\n"
        return out.encode() + b"\r\n" + body


class Client:
    """Sends single requests to the outbound address of a machine and records the answers."""
    count = 0

    def __init__(self, platform, node):
        self.platform, self.node, self.record = platform, node, platform.record

    async def ask(self, method, path, deadline_ms=1000, body=b"", quiet=False):
        Client.count += 1
        request = "q%07d" % Client.count
        fields = {"Shallotrelay-Request-Id": request, "Shallotrelay-Deadline-Ms": str(deadline_ms)}
        sent = self.record.now()
        try:
            status, answered, text = await call(self.node.listen["outbound"], method, path, body, fields,
                                                timeout=deadline_ms / 1000)
        except LOST as it:
            status, answered, text = None, {}, repr(it).encode()
        self.record("client", "at", self.node.name, request, method, path, "sent", "%.3f" % sent, "->", status)
        return request, status, answered, text

    async def every(self, gap_s, until, method, path, deadline_ms=1000, body=b""):
        """Sends a request each gap until a time of the record; returns them."""
        tasks = []
        while self.record.now() < until:
            tasks.append(asyncio.create_task(self.ask(method, path, deadline_ms, body)))
            await asyncio.sleep(gap_s)
        return await asyncio.gather(*tasks)


def run(main, folder, limit_s=110):
    """Runs a script; exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    async def guarded():
        try:
            return await asyncio.wait_for(main(), limit_s)
        except (AssertionError, FileNotFoundError, asyncio.TimeoutError, OSError) as it:
            print("the case couldn't run: %r" % it)
            return 2
    code = asyncio.run(guarded())
    print({0: "held", 1: "BROKEN", 2: "not run"}[code])
    sys.exit(code)
