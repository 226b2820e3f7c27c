#!/usr/bin/env python3
"""Stops nodes with SIGTERM in calm, one after another, while clients send requests until the process is gone.

Usage: tests/soak/stopping.py [--seed N] [--seeds COUNT] [--stops N] [--net N] [--binary PATH] [--keep FOLDER]

The program runs as separate processes with stand-in targets, as in soak.py. Clients keep using open connections; requests
take up to WORK_S of work, and some send their bodies slowly. Each stopped node starts again when it has ended.

Checks: each request that a stopping node passed on to a target gets a complete response, unless its target was at work in
the last sixth of the grace time on a request that was sent no later than EXEMPT_S after SIGTERM; a request that was refused
never ran; a request that must not be repeated runs at most once; the process ends by itself within the grace time. The exit
status is 1 if a check failed for a seed; the logs of such seeds are kept.
"""
import asyncio
import signal
import sys
import time

import soak

GRACE_S = 6.0
EXEMPT_S = 3.0
WORK_S = 2.5
DEADLINE_S = 8.0


class Request:
    """A request as its client and its targets see it."""

    def __init__(self, host, unsafe):
        self.host, self.unsafe = host, unsafe
        self.sent = time.monotonic()
        self.runs = []  # start and end of each execution
        self.status = None  # of the complete response, or None


class WorkingTarget(soak.Target):
    """Target that works as long as a request asks for in its path."""

    async def respond(self, line, fields, body):
        path = line.split()[1]
        if path == "/healthz":
            return self.response(200, b"", "")
        request = fields.get("shallotrelay-request-id", "")
        if fields.get("shallotrelay-expect-instance", self.id) != self.id:
            return self.response(421, b"", request, not_executed=True)
        entry = self.soak.requests.get(request)
        began = time.monotonic()
        await asyncio.sleep(float(path.split("/")[-1]) if entry else 0)
        if entry:
            entry.runs.append((began, time.monotonic()))
        return self.response(200, request.encode() * 50, request)


class Stopping(soak.Soak):
    """State and checks of the run of one seed."""

    def __init__(self, seed, stops, binary, folder):
        super().__init__(seed, 0, binary, folder)
        self.many_routes = 0
        self.stops = stops
        self.requests = {}
        self.stopped = []  # node, time of SIGTERM and time of its end

    def configuration(self, version, base):
        document = super().configuration(version, base)
        document["routes"] = [{**it, "timeout": "8000ms", "targetLatency": "4000ms"} for it in document["routes"]]
        return document

    def command(self, host):
        return super().command(host) + (["--grace", "%dms" % (1000 * GRACE_S)] if host in soak.NODES else [])

    async def client(self, host, n):
        """Sends requests to a node one after another on kept connections, until the process is gone."""
        reader = writer = None
        while not self.stopping:
            unsafe = self.random.random() < 0.4
            request = "%s-%d-%06d" % (host.split(".")[-1], n, self.request_count)
            self.request_count += 1
            work = self.random.choice([0.02, 0.02, 0.3, WORK_S * self.random.random()])
            body = b"x" * 2000 if unsafe else b""
            head = "%s /%s%d/%.3f HTTP/1.1\r\nHost: soak.example\r\nShallotrelay-Request-Id: %s\r\n" % (
                "POST" if unsafe else "GET", "post" if unsafe else "get", self.random.randrange(2), work, request)
            head += "Shallotrelay-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (1000 * DEADLINE_S, len(body))
            try:
                if writer is None:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, soak.FRONTEND), 1)
                entry = self.requests[request] = Request(host, unsafe)
                writer.write(head.encode() + body[:1000])
                if unsafe and self.random.random() < 0.3:
                    await asyncio.sleep(0.4 * self.random.random())
                writer.write(body[1000:])
                line, fields = await asyncio.wait_for(soak.read_head(reader), DEADLINE_S)
                response = await asyncio.wait_for(soak.read_body(reader, fields), DEADLINE_S)
                entry.status = int(line.split()[1])
                self.check_response(request, unsafe, entry.status, fields, response)
                if fields.get("connection") != "close":
                    continue
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
            if writer is not None:
                writer.close()
                reader = writer = None
        if writer is not None:
            writer.close()

    async def stop_node(self, host):
        begun = time.monotonic()
        self.signal(host, signal.SIGTERM)
        try:
            await asyncio.wait_for(self.processes[host].wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.violations.append("%s did not end within its grace time" % host)
            self.signal(host, signal.SIGKILL)
            await self.processes[host].wait()
        self.stopped.append((host, begun, time.monotonic()))
        await self.launch(host)

    def check_requests(self):
        for request, it in self.requests.items():
            if it.unsafe and len(it.runs) > 1:
                self.violations.append("request that must not be repeated ran %d times: %s" % (len(it.runs), request))
            if it.runs and it.status in soak.REFUSALS:
                self.violations.append("request ran although the response stated that it did not: " + request)
            if it.status is None and it.runs:
                self.check_lost(request, it)

    def check_lost(self, request, it):
        for host, begun, ended in self.stopped:
            if it.host != host or not begun - DEADLINE_S < it.sent < ended:
                continue
            late = max(end for _, end in it.runs) > begun + GRACE_S * 5 / 6 and it.sent <= begun + EXEMPT_S
            if not late:
                self.violations.append("request sent %.2f s after SIGTERM was passed on and has no response: %s" % (
                    it.sent - begun, request))

    async def run(self):
        self.proxies = [soak.Proxy(it) for it in soak.NODES]
        self.targets = [WorkingTarget(self, it, soak.service_of(i), soak.ZONES[i % 2]) for i, it in enumerate(soak.NODES)]
        self.servers = [await it.start() for it in self.proxies + self.targets]
        for host in soak.CONTROLS + soak.NODES:
            await self.launch(host)
        operator = asyncio.create_task(self.operator())
        clients = [asyncio.create_task(self.client(host, n)) for host in soak.NODES for n in range(8)]
        await asyncio.sleep(4)
        for _ in range(self.stops):
            await self.stop_node(self.random.choice(soak.NODES))
            await asyncio.sleep(4)
        self.stopping = True
        await asyncio.wait_for(asyncio.gather(operator, *clients), DEADLINE_S + soak.RECOVERY_S)
        self.check_requests()
        if not self.served:
            self.violations.append("no request was served")


def main():
    return soak.run_seeds(
        __doc__, "stopping", lambda seed, args, folder: Stopping(seed, args.stops, args.binary, folder),
        lambda run: "%d asked, %d served, %d refused, %d stops" % (
            len(run.requests), run.served, len([it for it in run.requests.values() if it.status in soak.REFUSALS]),
            len(run.stopped)), [("--stops", 2)])


if __name__ == "__main__":
    sys.exit(main())
