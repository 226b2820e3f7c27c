#!/usr/bin/env python3
"""Compares each request that a target gets, byte for byte, with what a client sent, while others interfere.

Usage: tests/soak/fidelity.py [--seed N] [--seeds COUNT] [--seconds S] [--net N] [--binary PATH] [--keep FOLDER]

The program runs as separate processes with stand-in targets, as in soak.py. Clients send proper but unusual requests: odd
methods and paths, repeated fields, bodies by length and by chunks that are cut or sent slowly, pipelined requests, and their
own statement of the caller service in many forms. Targets make calls of their own, and some respond before they have read
the body. Meanwhile, drawn from the seed, other writers send heartbeats to nodes, a target of another service comes up at the
address of a target, targets restart, connections to them are reset, strangers write to the port of nodes for other
processes, and nodes are killed or paused.

Checks, by what targets see: the id is that of a request of a client; method, path, query, fields and body are as sent, a body
that was cut is not complete; exactly one field states the caller service, and it is that of the node where the request
began; a target runs only requests of routes to its service; nothing but requests arrives on a connection. After the faults
every node serves requests again. The exit status is 1 if a check failed for a seed; the logs of such seeds are kept.
"""
import asyncio
import random
import signal
import sys
import time

import soak

CALLER_SERVICE = "shallotrelay-caller-service"
# Fields that a node sets or changes.
OWN_FIELDS = {"shallotrelay-request-id", "shallotrelay-deadline-ms", "shallotrelay-expect-instance", "shallotrelay-retry",
              CALLER_SERVICE, "content-length", "transfer-encoding"}
METHODS = ["GET", "GET", "GET", "HEAD", "POST", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "REPORT", "X-ODD", "get"]
PATHS = ["x", "a//b", "./x", "../x", "%2f%00", "a;b=c", "x?", "x??a=b", "x?a=b&a=%20", "~!$&'()*+,=:@", "\x80\xfe", "?", ""]
FORGED = ["Shallotrelay-Caller-Service", "shallotrelay-caller-service", "SHALLOTRELAY-CALLER-SERVICE"]
REUSE_S = 2.0  # Time after the end of a target from which on its address may be used again.
CALL_SHARE = 0.05  # Share of the requests during which their target makes a call.
BURST = 4  # Requests at once for each node and service during the recovery.
MIN_SERVED = 0.3  # Share of the requests that must be served although others interfere.


def parse_fields(lines):
    """Returns the header fields in order, as pairs of a lower-case name and a value."""
    out = []
    for line in lines:
        name, _, value = line.partition(":")
        out.append((name.lower(), value.strip(" \t")))
    return out


class Sent:
    """A request of a client."""

    def __init__(self, origin, method, path, fields, body, complete):
        self.origin, self.method, self.path, self.fields = origin, method, path, fields
        self.body, self.complete = body, complete


class CheckingTarget(soak.Target):
    """Target that compares what it gets with what was sent."""

    def __init__(self, run, host, service, zone):
        super().__init__(run, host, service, zone)

    async def serve(self, reader, writer):
        try:
            while True:
                raw = await reader.readuntil(b"\r\n\r\n")
                await self.serve_request(raw.decode("latin-1").split("\r\n")[:-2], reader, writer)
        except asyncio.IncompleteReadError as it:
            if it.partial and not it.partial[:1].isalpha():
                self.soak.violate("bytes that are no request: %r" % it.partial[:40])
        except OSError:
            pass
        finally:
            writer.close()

    async def serve_request(self, lines, reader, writer):
        method, path, _ = lines[0].split(" ") if lines[0].count(" ") == 2 else ("", "", "")
        fields = parse_fields(lines[1:])
        values = dict(fields)
        request = values.get("shallotrelay-request-id", "")
        if path == "/healthz":
            writer.write(self.response(200, b"", ""))
            return
        sent = self.soak.sent.get(request)
        if sent is None:
            self.soak.violate("a request that nobody sent: %r" % lines[0][:60])
            raise OSError
        misdirected = values.get("shallotrelay-expect-instance", self.id) != self.id
        if not misdirected:
            self.check_head(request, sent, method, path, fields)
        early = "early" in path and not misdirected
        if early:
            writer.write(self.response(200, request.encode(), request, method == "HEAD"))
        await self.check_body(request, sent, values, reader)
        if misdirected:
            writer.write(self.response(421, b"", request, not_executed=True))
        elif not early:
            await asyncio.sleep(0.002 + 0.01 * random.random())
            if request[0].isdigit() and random.random() < CALL_SHARE:
                await self.call(request)
            writer.write(self.response(200, request.encode(), request, method == "HEAD"))
        await writer.drain()

    async def call(self, parent):
        """Sends a request of this target through its own node while it runs one of a client."""
        service = random.randrange(2)
        path, request = "/s%d/get%d/call" % (service, service), "call-" + parent
        origin = soak.NODES.index(self.host)
        self.soak.sent[request] = Sent(origin, "GET", path, [("host", "soak.example")], b"", True)
        fields = {"Shallotrelay-Request-Id": request, "Shallotrelay-Deadline-Ms": "500"}
        try:
            await soak.call(self.host, soak.FRONTEND, "GET", path, fields=fields)
            self.soak.calls += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass

    def response(self, status, body, request, head=False, not_executed=False):
        out = super().response(status, body, request, not_executed)
        return out[:len(out) - len(body)] if head else out

    def check_head(self, request, sent, method, path, fields):
        run = self.soak
        run.executions += 1
        run.origins.add((sent.origin, self.host))
        callers = [value for name, value in fields if name == CALLER_SERVICE]
        if callers != [soak.service_of(sent.origin)]:
            run.violate("caller service %s for a request that began at node %d" % (callers, sent.origin + 1))
        if (method, path) != (sent.method, sent.path):
            run.violate("%s %r instead of %s %r" % (method, path, sent.method, sent.path))
        own = [it for it in fields if it[0] not in OWN_FIELDS]
        if sorted(own) != sorted(sent.fields) or [it for it in own if it[0] == "x-twice"] != [
                it for it in sent.fields if it[0] == "x-twice"]:
            run.violate("fields %s instead of %s" % (own, sent.fields))
        if not path.startswith("/%s/" % self.service):
            run.violate("a target of %s runs requests of %s" % (self.service, path[1:3]))

    async def check_body(self, request, sent, values, reader):
        body, complete = b"", False
        try:
            if values.get("transfer-encoding", "").lower() == "chunked":
                while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                    body += (await reader.readexactly(size + 2))[:-2]
                if await reader.readuntil(b"\r\n") != b"\r\n":
                    self.soak.violate("a body with trailers")
            else:
                body = await reader.readexactly(int(values.get("content-length", "0")))
            complete = True
        except asyncio.IncompleteReadError as it:
            body += it.partial if "content-length" in values else b""
            raise OSError from it
        except ValueError as it:
            self.soak.violate("bytes that are no chunk")
            raise OSError from it
        finally:
            if sent.body[:len(body)] != body or complete and (not sent.complete or len(body) != len(sent.body)):
                self.soak.violate("a body of %d bytes differs from that of %d bytes that was sent (%s)" % (
                    len(body), len(sent.body), request))


class Fidelity(soak.Soak):
    """State and checks of the run of one seed."""

    def __init__(self, seed, seconds, binary, folder):
        super().__init__(seed, seconds, binary, folder)
        self.many_routes = 0
        self.sent = {}
        self.origins = set()
        self.executions = 0
        self.calls = 0  # of targets that were answered

    def violate(self, text):
        self.violations.append(text)

    def configuration(self, version, base):
        document = super().configuration(version, base)
        document["routes"] = [{**it, "pathPrefix": "/%s%s" % (it["service"], it["pathPrefix"])} for it in document["routes"]]
        return document

    def draw_request(self, origin):
        """Returns the id and the bytes of a request in parts, and whether the client ends the connection after them."""
        rng = self.random
        self.request_count += 1
        request = "%d-%06d-%08x" % (origin + 1, self.request_count, rng.getrandbits(32))
        method = rng.choice(METHODS)
        service = rng.randrange(2)
        path = "/s%d/%s%d/%s" % (service, "get" if rng.random() < 0.5 else "post", service, rng.choice(PATHS))
        body = rng.randbytes(rng.choice([0, 1, 2, 100, 5000, 200000])) if method in ("POST", "PUT", "PATCH", "X-ODD") else b""
        if body and rng.random() < 0.15:
            path += "early"
        chunked = bool(body) and rng.random() < 0.5
        cut = bool(body) and rng.random() < 0.1
        fields = [("Host", "soak.example"), ("X-Twice", "b"), ("X-Odd", "\xe9\x80 ; a,b"), ("X-Twice", "a"), ("X-Empty", "")]
        connection = []
        for name in rng.sample(FORGED, rng.randrange(3)):
            fields.insert(rng.randrange(len(fields) + 1), (name, rng.choice(["xforged", "s0", "s1", ""])))
        if rng.random() < 0.2:
            connection.append(rng.choice(FORGED + ["X-Gone"]))
            fields.append(("X-Gone", "1"))
        expected = [(n.lower(), v) for n, v in fields
                    if n.lower() != CALLER_SERVICE and n.lower() not in [it.lower() for it in connection]]
        if connection:
            fields.append(("Connection", ", ".join(connection)))
        fields += [("Shallotrelay-Request-Id", request), ("Shallotrelay-Deadline-Ms", "1000")]
        if chunked:
            fields += [("Transfer-Encoding", "chunked"), ("Trailer", FORGED[0])]
        elif body:
            fields.append(("Content-Length", str(len(body))))
        head = "%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % it for it in fields) + "\r\n"
        payload = body
        if chunked:
            payload, i = b"", 0
            while i < len(body):
                size = rng.choice([1, 10, 4096, 70000])
                part = body[i:i + size]
                payload += b"%x%s\r\n" % (len(part), rng.choice([b"", b";a=b"])) + part + b"\r\n"
                i += size
            payload += b"0\r\n" + rng.choice([b"", b"Shallotrelay-Caller-Service: xtrailer\r\n"]) + b"\r\n"
        if cut:
            payload = payload[:rng.randrange(len(payload))]
        self.sent[request] = Sent(origin, method, path, expected, body, not cut)
        return request, method, [head.encode("latin-1"), payload[:len(payload) // 2], payload[len(payload) // 2:]], cut

    async def client(self, host, n):
        """Sends requests to a node, some of them pipelined or in slow parts, and reconnects after errors."""
        origin = soak.NODES.index(host)
        reader = writer = None
        while not self.stopping:
            batch = [self.draw_request(origin) for _ in range(self.random.choice([1, 1, 1, 3]))]
            while any(it[3] for it in batch[:-1]):
                batch.pop(0)
            slow = self.random.random() < 0.2
            try:
                if writer is None:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, soak.FRONTEND), 1)
                for _, _, parts, _ in batch:
                    for part in parts if slow else [b"".join(parts)]:
                        writer.write(part)
                        await asyncio.wait_for(writer.drain(), 2)
                        if slow:
                            await asyncio.sleep(0.02 * self.random.random())
                if batch[-1][3]:
                    raise OSError
                keep = True
                for request, method, _, _ in batch:
                    line, fields = await asyncio.wait_for(soak.read_head(reader), 3)
                    body = b"" if method == "HEAD" else await asyncio.wait_for(soak.read_body(reader, fields), 3)
                    self.check_answer(request, method, int(line.split()[1]), fields, body)
                    keep = keep and fields.get("connection") != "close"
                if keep:
                    await asyncio.sleep(0.01)
                    continue
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
            if writer is not None:
                writer.close()
                reader = writer = None
        if writer is not None:
            writer.close()

    def check_answer(self, request, method, status, fields, body):
        if fields.get("shallotrelay-request-id", request) != request:
            self.violate("response with the id of another request")
        if status == 200:
            self.served += 1
            if method != "HEAD" and body != request.encode() or soak.SEAL.lower() not in fields:
                self.violate("response with a wrong body or without the seal of the target")

    async def send_foreign_heartbeats(self, target):
        """Sends heartbeats of other writers that name no target to use."""
        rng = self.random
        later = {"born": target.born + rng.choice([0, 1, 100000]), "sequence": rng.choice([1, target.sequence + 1, 10**9])}
        other = "s1" if target.service == "s0" else "s0"
        for _ in range(20):
            instance = rng.choice(["x-other", target.id, self.random.choice(self.targets).id])
            changes = rng.choice([{"service": "x%06x" % rng.getrandbits(24)}, {"service": other}, {"service": ""}, {"service": None},
                                  {"service": 7}, {"service": None, "address": None}, {"address": "127.200.11.9:7404"},
                                  {"zone": None}, {"version": None}, {"zone": 7}, {"version": {}}, {"zone": "elsewhere"}])
            await target.send_entry(instance, {**later, **changes})

    async def occupy(self, target):
        """Lets a target of another service come up at the address of a target for some seconds."""
        proxy = self.proxies[self.targets.index(target)]
        proxy.refuse = True
        proxy.reset()
        await asyncio.sleep(REUSE_S)
        service, target.service = target.service, "s1" if target.service == "s0" else "s0"
        target.restart()
        proxy.refuse = False
        await asyncio.sleep(2.0 + 2 * self.random.random())
        target.service = service
        target.restart()
        proxy.reset()

    async def disturb_peer_port(self, host):
        """Writes bytes that are no frames to the port at which a node accepts other processes."""
        for _ in range(5):
            try:
                _, writer = await asyncio.wait_for(asyncio.open_connection(host, soak.PEER), 1)
                writer.write(self.random.choice([
                    self.random.randbytes(300), b"GET /s0/get0/x HTTP/1.1\r\nHost: soak.example\r\n\r\n",
                    bytes([self.random.randrange(32), 0, 0, 0]) + self.random.randbytes(60)]))
                await writer.drain()
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass

    async def inject_fault(self):
        kind = self.random.choice(["heartbeats", "heartbeats", "occupy", "peer", "restart", "reset", "kill", "pause"])
        i = self.random.randrange(len(soak.NODES))
        host, target = soak.NODES[i], self.targets[i]
        if i in self.faulted:
            return
        self.faulted.add(i)
        self.faults.append("%s %s" % (kind, host))
        if kind == "heartbeats":
            await self.send_foreign_heartbeats(target)
        elif kind == "occupy":
            await self.occupy(target)
        elif kind == "peer":
            await self.disturb_peer_port(host)
        elif kind == "restart":
            target.restart(same_id=self.random.random() < 0.5)
        elif kind == "reset":
            self.proxies[i].reset()
        elif kind == "kill":
            self.signal(host, signal.SIGKILL)
            await self.processes[host].wait()
            await self.launch(host)
        else:
            self.signal(host, signal.SIGSTOP)
            await asyncio.sleep(1)
            self.signal(host, signal.SIGCONT)
        self.faulted.discard(i)

    async def check_recovery(self):
        """Waits until each target gets requests again, and requests that begin at each node run."""
        self.origins.clear()
        end = time.monotonic() + soak.RECOVERY_S
        missing = set(range(len(soak.NODES)))
        while missing and time.monotonic() < end:
            # More at once than half of the targets take, since an idle service may use one target alone.
            await asyncio.gather(*[self.send_simple_request(i, service) for i in range(len(soak.NODES))
                                   for service in range(2) for _ in range(BURST)])
            reached = {it[1] for it in self.origins}
            began = {it[0] for it in self.origins}
            missing = {i for i, host in enumerate(soak.NODES) if host not in reached or i not in began}
            await asyncio.sleep(0.1)
        if missing:
            self.violate("nodes that serve nothing, or whose targets get nothing, after the faults: %s" % missing)
        if self.served < MIN_SERVED * len(self.sent):
            self.violate("only %d of %d requests were served" % (self.served, len(self.sent)))

    async def send_simple_request(self, origin, service):
        self.request_count += 1
        request, path = "end-%d" % self.request_count, "/s%d/get%d/x" % (service, service)
        self.sent[request] = Sent(origin, "GET", path, [("host", "soak.example")], b"", True)
        fields = {"Shallotrelay-Request-Id": request, "Shallotrelay-Deadline-Ms": "1000"}
        try:
            status, _, _ = await soak.call(soak.NODES[origin], soak.FRONTEND, "GET", path, fields=fields)
            self.served += status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass

    async def run(self):
        self.proxies = [soak.Proxy(it) for it in soak.NODES]
        self.targets = [CheckingTarget(self, it, soak.service_of(i), soak.ZONES[i % 2]) for i, it in enumerate(soak.NODES)]
        self.servers = [await it.start() for it in self.proxies + self.targets]
        for host in soak.CONTROLS + soak.NODES:
            await self.launch(host)
        operator = asyncio.create_task(self.operator())
        clients = [asyncio.create_task(self.client(host, n)) for host in soak.NODES for n in range(4)]
        await asyncio.sleep(2)
        await self.inject_faults()
        self.stopping = True
        try:
            await asyncio.wait_for(asyncio.gather(operator, *clients), soak.RECOVERY_S)
        except asyncio.TimeoutError:
            self.violate("a client or a configuration change did not complete within %d s after the last fault" % soak.RECOVERY_S)
        await self.check_recovery()


def main():
    return soak.run_seeds(
        __doc__, "fidelity", lambda seed, args, folder: Fidelity(seed, args.seconds, args.binary, folder),
        lambda run: "%d sent, %d served, %d run, %d calls of targets, %d faults" % (
            len(run.sent), run.served, run.executions, run.calls, len(run.faults)), [("--seconds", 8.0)])


if __name__ == "__main__":
    sys.exit(main())
