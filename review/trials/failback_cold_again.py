"""A worker becomes cold again under load: how many requests does it get in one second? (FAILBACK)

A trial of the review, not a case: no claim, no record. Exits like a case; see REPORT.md.
"""
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import SERVICE_A, TROUBLE, Client, Platform, Worker, route, run, service

FOLDER = tempfile.mkdtemp(prefix="review-trial-")
COLD_S, COLD_PER_S, COLD_FACTOR, COLD_SLACK = 3.0, 35.0, 1.5, 5
BOUND = COLD_PER_S * COLD_FACTOR + COLD_SLACK
TIMES, EACH_S = 6, 6.3  # it becomes cold so often, with so long between
GAP_S = 0.007  # between two requests of the clients on each machine


class ColdWorker(Worker):
    """Says in its health answers how long it stays cold. Its service is one of those that don't tell their load."""
    cold_until = 0.0

    def answer(self, status, body, request, not_run=False):
        out = super().answer(status, body, request, not_run)
        out = b"".join(it for it in out.splitlines(True) if not it.startswith(b"Shallotrelay-Instance-Load"))
        left = self.cold_until - self.record.now()
        if not request and left > 0:
            out = out.replace(b"\r\n\r\n", b"\r\nShallotrelay-Cold-Ms: %d\r\n\r\n" % int(left * 1000), 1)
        return out


async def main():
    platform = Platform(FOLDER, 3, [("brasov-a", SERVICE_A), ("brasov-b", SERVICE_A)])
    record = platform.record
    try:
        workers = [ColdWorker(platform, it, "i-%d" % i, work_s=0.04) for i, it in enumerate(platform.nodes, 1)]
        for it in workers:
            await it.start()
        await platform.start()
        kinds = [route("r-a", "/a/", SERVICE_A)]
        assert await platform.put(kinds, [service(SERVICE_A, "3s", COLD_PER_S)]) == 200
        assert await platform.ready()
        await asyncio.sleep(5)
        began = record.now()
        until = began + 3 + TIMES * EACH_S
        load = asyncio.gather(*[Client(platform, it).every(GAP_S, until, "GET", "/a/x") for it in platform.nodes])
        spans = []
        await asyncio.sleep(3)
        for _ in range(TIMES):
            start = record.now()
            if TROUBLE:
                workers[0].cold_until = start + COLD_S
                record("worker", workers[0].id, "is cold again, for", COLD_S, "s")
            spans.append((start, start + COLD_S))
            await asyncio.sleep(EACH_S)
        await load
        times = sorted(it[0] for it in workers[0].runs)
        broken = False
        for start, end in spans:
            within = [it for it in times if start <= it < end]
            most = max((len([it for it in within if first <= it < first + 1]) for first in within), default=0)
            before = len([it for it in times if start - 1 <= it < start])
            print("%d in the second before, then at most %d in one second; the bound is %.1f" % (before, most, BOUND))
            broken = broken or (TROUBLE and most > BOUND)
        return 1 if broken else 0
    finally:
        await platform.end()


run(main, FOLDER)
