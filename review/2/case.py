"""A desired state of some thousand routes, some hundred changes, and all processes of the core killed at once: does the
operator get the acknowledged state back, on machines with 256 MB?"""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import RECOVER_S, SERVICE_A, SERVICE_B, TROUBLE, Client, Platform, Worker, call, route, run, service, LOST

MEMORY_MB = 256  # memoryMb of a core machine
BIG, BIG_ROUTES = 2, 1416  # the desired state grows twice by so many routes
CHANGES = 150
DOWN_S, RESTART_S = 0.8, 0.5
READ_S = 10.0  # the state is read back for so long, after RECOVER_S
PAGE = os.sysconf("SC_PAGE_SIZE")


def split(number, timeout="1200ms"):
    """A route like the second one in the example of PUT /config."""
    out = route("r-%07d" % number, "/w%06d/" % number, SERVICE_A, timeout=timeout, target="200ms", priority=2)
    del out["service"]
    out["weightedClusters"] = [{"service": SERVICE_A, "weight": 90}, {"service": SERVICE_B, "weight": 10}]
    return out


class Keeper:
    """What the platform does for the core: ends a process above its memory, and starts ended ones after a short delay."""

    def __init__(self, platform):
        self.platform, self.peak, self.ended, self.held = platform, {}, {}, False

    def memory(self, machine):
        try:
            with open("/proc/%d/statm" % machine.process.pid) as it:
                return int(it.read().split()[1]) * PAGE // (1 << 20)
        except (OSError, ValueError, IndexError):
            return 0

    async def keep(self, machine):
        while True:
            await asyncio.sleep(0.01)
            if self.held or machine.process is None:
                continue
            used = self.memory(machine)
            self.peak[machine.name] = max(self.peak.get(machine.name, 0), used)
            if used > MEMORY_MB:
                self.platform.record("platform", machine.name, "uses", used, "MB of", MEMORY_MB)
                self.ended[machine.name] = self.ended.get(machine.name, 0) + 1
                await machine.kill()
            if machine.process.returncode is not None:
                await asyncio.sleep(RESTART_S)
                await machine.start()


async def main():
    platform = Platform(FOLDER, 5, [("brasov-a", SERVICE_A), ("brasov-b", SERVICE_B)])
    record = platform.record
    try:
        for i, it in enumerate(platform.nodes, 1):
            await Worker(platform, it, "i-%d" % i).start()
        await platform.start()
        keeper = Keeper(platform)
        keepers = [asyncio.create_task(keeper.keep(it)) for it in platform.controls]
        routes = [route("r-a", "/a/", SERVICE_A), route("r-b", "/b/", SERVICE_B)]
        assert await platform.put(routes, [service(SERVICE_A), service(SERVICE_B)]) == 200
        assert await platform.ready()
        await asyncio.sleep(2)

        async def patch(items):
            base, platform.version = platform.version, platform.version + 1
            body = json.dumps({"version": platform.version, "upsert": {"routes": items}, "baseVersion": base}).encode()
            status, _ = await platform.order("PATCH", "/config", body)
            record("operator", "PATCH /config version", platform.version, "bytes", len(body), "->", status)
            return status

        for i in range(BIG):
            assert await patch([split(i * BIG_ROUTES + j) for j in range(BIG_ROUTES)]) == 200
            await asyncio.sleep(1)
        for i in range(CHANGES):
            assert await patch([split(i, "%dms" % (1201 + i))]) == 200, "a change had no ack"
        acked = platform.version
        _, document = await platform.order("GET", "/config")
        print("version %d acknowledged, %d bytes; memory of the core at most %d MB, ended for memory: %s" % (
            acked, len(document), max(keeper.peak.values()), keeper.ended or "none"))
        assert not keeper.ended, "a process was over its memory before the disruption"
        if TROUBLE:
            record("platform", "kills all processes of the core at once")
            keeper.held = True
            await asyncio.gather(*[it.kill() for it in platform.controls])
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*[it.start() for it in platform.controls])
            keeper.held = False
        keeper.peak.clear()
        await asyncio.sleep(RECOVER_S)
        read, end = [], record.now() + READ_S
        while record.now() < end:
            status, body = await platform.order("GET", "/config", tries=5)
            version = json.loads(body)["version"] if status == 200 else None
            record("operator", "GET /config ->", status, "version", version)
            read.append(version)
            await asyncio.sleep(0.5)
        client = Client(platform, platform.nodes[0])
        await client.ask("GET", "/a/x")
        for it in keepers:
            it.cancel()
        print("read back %.0f s later, for %.0f s: %s; memory of the core at most %d MB, ended for memory: %s" % (
            RECOVER_S, READ_S, sorted(set(map(str, read))), max(keeper.peak.values()), keeper.ended or "none"))
        return 0 if acked in read else 1
    finally:
        await platform.end()


run(main, FOLDER)
