#!/usr/bin/env python3
"""Sends requests that crash every worker that runs them, with new ids at any node, among the requests of others.

Usage: tests/soak/crashing.py [--seed N] [--seconds S] [--crashing N] [--kills] [--binary PATH] [--keep FOLDER]

The real programs run as separate processes with stand-in workers, as in soak.py. Each crashing request comes several times a
second at a node that the seed draws; a worker that it crashes is back after a second. With --kills, nodes are killed and
started again meanwhile.

Checked: a crashing request reaches workers at most three times later than CONTACT_S after it has crashed the third one; no
other request is turned away as if it were one, for longer than a trial of it takes; an answer that promises that a request did
not run is true. Printed: how the others were served before the crashing requests came, while they came, and at the end.
"""
import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import soak

CONTACT_S = 3.0  # Time in which all nodes must know of the third crash.
ALLOWED_AFTER = 3  # Retries that may reach workers later than that.
DOWN_S = 1.0  # Time until a crashed worker is back.
CALM_S = 2.0  # Time before the first crashing request, for comparison.
TRIAL_S = 1.5  # Longest time for which an innocent request may be refused while it is tried.
CONTAINED = b"has crashed targets"  # What the answer to a contained request says.


class CrashingWorker(soak.Worker):
    """A worker that a request with a crashing path or body ends."""

    def __init__(self, run, host, service, zone):
        super().__init__(run, host, service, zone)
        self.port = soak.WORKER
        self.writers = set()
        self.server = None

    async def start(self):
        asyncio.create_task(self.announce())
        await self.listen()
        return self.server

    async def listen(self):
        self.server = await asyncio.start_server(self.track, self.host, soak.WORKER)

    async def track(self, reader, writer):
        self.writers.add(writer)
        await self.serve(reader, writer)
        self.writers.discard(writer)

    async def answer(self, line, fields, body):
        name = self.soak.crashing_name(line.split()[1], body)
        if name and fields.get("shallotrelay-expect-instance", self.id) == self.id:
            self.soak.crashed(name, fields["shallotrelay-request-id"])
            asyncio.create_task(self.crash())
            raise ConnectionResetError("the worker has crashed")
        return await super().answer(line, fields, body)

    async def crash(self):
        if not self.server.is_serving():
            return
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.restart()
        if not self.soak.ended:
            await self.listen()

    async def announce(self):
        # A worker that is down sends nothing.
        while not self.soak.ended:
            if self.server is None or self.server.is_serving():
                await self.beat()
            await asyncio.sleep(0.4)


class CrashingSoak(soak.Soak):
    """One run with one seed."""

    def __init__(self, seed, args, folder):
        super().__init__(seed, args.seconds, args.binary, folder)
        self.args = args
        self.crashes = {}  # by name of a crashing request: times
        self.crash_ids = set()
        self.refused_since = {}  # by path and body of another request: when it was first refused as if it crashed workers
        self.answers = []  # time, whether a request of others was served
        self.sent = {}  # by name: answers by status

    def crashing_name(self, path, body):
        """Returns the name of a crashing request, or None."""
        if path.startswith("/get0/crash"):
            return path
        return body.decode() if body.startswith(b"crash") else None

    def crashed(self, name, request):
        self.crashes.setdefault(name, []).append(time.monotonic())
        self.crash_ids.add(request)

    async def send(self, method, path, body, request):
        host = self.random.choice(soak.NODES)
        fields = {"Shallotrelay-Request-Id": request, "Shallotrelay-Deadline-Ms": "1000"}
        self.deadlines[request] = time.monotonic() + 1
        try:
            return await soak.call(host, soak.DOOR, method, path, body, fields, timeout=2)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None, {}, b""

    async def crash_client(self, n):
        """Sends one crashing request again and again; every second one is a write whose body alone crashes."""
        method, path, body = ("POST", "/post0/x", b"crash %d" % n) if n % 2 else ("GET", "/get0/crash%d" % n, b"")
        name = self.crashing_name(path, body)
        answers = self.sent.setdefault(name, {})
        k = 0
        while not self.over:
            k += 1
            request = "crash-%d-%d" % (n, k)
            status, _, _ = await self.send(method, path, body, request)
            answers[status] = answers.get(status, 0) + 1
            if status in soak.REFUSALS and request in self.crash_ids:
                self.broken.append("refused and ran: " + request)
            await asyncio.sleep(0.2 + 0.2 * self.random.random())

    async def other_client(self, n):
        """Sends requests of others: popular and rare reads, and writes that share the path of a crashing one."""
        while not self.over:
            self.asked += 1
            kind = self.random.randrange(3)
            method, path, body = [("GET", "/get0/popular", b""), ("GET", "/get0/%d" % self.random.randrange(40), b""),
                                  ("POST", "/post0/x", b"write %d" % self.asked)][kind]
            request = "other-%d-%d" % (n, self.asked)
            status, _, answer = await self.send(method, path, body, request)
            now = time.monotonic()
            self.answers.append((now, status == 200))
            key = (path, body if len(body) < 8 else b"")
            if status == 503 and CONTAINED in answer:
                since = self.refused_since.setdefault(key, now)
                if now - since > TRIAL_S:
                    self.broken.append("an innocent request was refused for %.1f s: %s" % (now - since, path))
            elif status == 200:
                self.refused_since.pop(key, None)
            await asyncio.sleep(0.02)

    async def kill_nodes(self):
        while not self.over:
            await asyncio.sleep(0.8)
            host = self.random.choice(soak.NODES)
            self.faults.append("kill " + host)
            self.signal(host, signal.SIGKILL)
            await self.processes[host].wait()
            await self.launch(host)

    def share(self, start, end):
        part = [good for at, good in self.answers if start <= at < end]
        return "%.3f of %d" % (sum(part) / max(1, len(part)), len(part))

    async def run(self):
        self.workers = [CrashingWorker(self, it, soak.service_of(i), soak.ZONES[i % 2])
                        for i, it in enumerate(soak.NODES)]
        self.servers = [await it.start() for it in self.workers]
        for host in soak.CONTROLS + soak.NODES:
            await self.launch(host)
        status = None
        while status != 200:
            status, _ = await self.order("PUT", "/config", soak.json.dumps(self.state(1, 0)).encode())
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)
        others = [asyncio.create_task(self.other_client(n)) for n in range(12)]
        begun = time.monotonic()
        await asyncio.sleep(CALM_S)
        crashing = [asyncio.create_task(self.crash_client(n)) for n in range(self.args.crashing)]
        if self.args.kills:
            crashing.append(asyncio.create_task(self.kill_nodes()))
        await asyncio.sleep(self.seconds)
        self.over = True
        await asyncio.gather(*others, *crashing)
        end = time.monotonic()
        print("others served: %s before, %s while, %s in the last 3 s" % (
            self.share(begun, begun + CALM_S), self.share(begun + CALM_S, end), self.share(end - 3, end)))
        for name, times in sorted(self.crashes.items()):
            late = [it for it in times if len(times) > 3 and it > times[2] + CONTACT_S]
            print("%s: %d crashes, %d of them late, answers %s" % (name, len(times), len(late), self.sent[name]))
            if len(late) > ALLOWED_AFTER:
                self.broken.append("%s reached workers %d times later than %.0f s after its third crash" % (
                    name, len(late), CONTACT_S))


def main():
    """Runs one seed."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--crashing", type=int, default=3)
    parser.add_argument("--kills", action="store_true")
    parser.add_argument("--keep-always", action="store_true", help="keep the logs of a good run, too")
    parser.add_argument("--binary", default="build/shallotrelay")
    parser.add_argument("--keep", default="build/soak")
    args = parser.parse_args()
    soak.NODES = ["127.0.11.%d" % i for i in range(1, 11)]
    soak.ZONES = ["a", "b", "c"]
    folder = tempfile.mkdtemp(prefix="crashing-")

    async def play():
        run = CrashingSoak(args.seed, args, folder)
        try:
            await run.run()
        finally:
            await run.end()
        return run
    run = asyncio.run(play())
    for it in sorted(set(run.broken))[:10]:
        print("  " + it)
    if run.broken or not run.crashes or args.keep_always:
        kept = os.path.join(args.keep, "crashing-%d" % args.seed)
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
        print("logs: " + kept)
    shutil.rmtree(folder)
    return 1 if run.broken or not run.crashes else 0


if __name__ == "__main__":
    sys.exit(main())
