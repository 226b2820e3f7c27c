"""A worker starts again under its id after the time of day has jumped back, and drains later: does it still get requests?"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import CONTACT_S, DRAIN_S, SERVICE_A, TROUBLE, Client, Platform, Worker, route, run, service

JUMP_MS = 2000  # the time of day of the worker's machine is ahead by so much when the worker starts first
UP_S, DOWN_S = 1.0, 0.4  # the worker ends so long after its start, and is down for so long
SERVES_ON_S = 6.0  # "a little longer (at times many seconds)" after the ack


async def main():
    platform = Platform(FOLDER, 3, [("brasov-a", SERVICE_A), ("brasov-b", SERVICE_A)])
    record = platform.record
    try:
        other = Worker(platform, platform.nodes[0], "i-1")
        await other.start()
        await platform.start()
        kinds = [route("r-a", "/a/", SERVICE_A), route("r-c", "/c/", SERVICE_A, kind="non_idempotent")]
        assert await platform.put(kinds, [service(SERVICE_A)]) == 200
        assert await platform.ready()

        at = platform.nodes[1]
        first = Worker(platform, at, "i-2")
        if TROUBLE:
            first.born += JUMP_MS
            record("the time of day on the machine of i-2 is", JUMP_MS, "ms ahead")
        await first.start()
        await asyncio.sleep(UP_S)
        await first.crash()
        if TROUBLE:
            record("the time of day on the machine of i-2 jumps back by", JUMP_MS, "ms")
        await asyncio.sleep(DOWN_S)
        worker = Worker(platform, at, "i-2")
        await worker.start()
        await asyncio.sleep(CONTACT_S + 2)  # calm: the machine is in touch again

        client = Client(platform, at)
        load = asyncio.gather(client.every(0.05, record.now() + 3 + SERVES_ON_S, "GET", "/a/x"),
                              client.every(0.1, record.now() + 3 + SERVES_ON_S, "POST", "/c/x", body=b"x" * 300))
        await asyncio.sleep(2)
        worker.leaving, worker.state = True, "draining"
        status = await worker.say("draining")
        acked = record.now()
        await asyncio.sleep(SERVES_ON_S)
        await worker.gone()
        await worker.crash()
        gets, posts = await load
        late = [it for it in worker.runs if it[0] > acked + DRAIN_S]
        before = len([it for it in worker.runs if it[0] < acked])
        lost = [it for it in posts if it[1] is None or it[1] >= 500 and it[1] != 503]
        print("draining was acknowledged with %s; %d requests ran before, %d later than %.0f s after the ack; %d POSTs failed" % (
            status, before, len(late), DRAIN_S, len(lost)))
        assert status == 200 and before > 10, "the worker wasn't in use, or had no ack"
        return 1 if late else 0
    finally:
        await platform.end()


run(main, FOLDER)
