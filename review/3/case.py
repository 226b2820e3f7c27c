"""One heartbeat of another writer names a service that no desired state has: which caller service do workers see then?"""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import SERVICE_A, SERVICE_B, TROUBLE, Client, Platform, Worker, call, route, run, service

BEFORE_S, AFTER_S = 4.0, 20.0


async def main():
    platform = Platform(FOLDER, 3, [("brasov-a", SERVICE_A), ("brasov-b", SERVICE_A), ("sibiu-c", SERVICE_B)])
    record = platform.record
    try:
        workers = [Worker(platform, it, "i-%d" % i) for i, it in enumerate(platform.nodes, 1)]
        for it in workers:
            await it.start()
        await platform.start()
        routes = [route("r-a", "/a/", SERVICE_A), route("r-b", "/b/", SERVICE_B),
                  route("r-c", "/c/", SERVICE_A, kind="non_idempotent")]
        assert await platform.put(routes, [service(SERVICE_A), service(SERVICE_B)]) == 200
        assert await platform.ready()
        await asyncio.sleep(BEFORE_S)

        at = platform.nodes[0]
        if TROUBLE:
            beat = {"service": "qo77nd1", "address": at.app, "zone": at.zone, "version": "v1", "slots": 12,
                    "state": "ready", "coldRemaining": "0ms", "sequence": 1, "born": int(time.time() * 1000)}
            status, _, _ = await call(at.listen["controlPlane"], "PUT", "/instances/i-0d5e77aa",
                                      json.dumps(beat).encode(), {"Content-Type": "application/json"})
            record("another writer's heartbeat at", at.name, json.dumps(beat), "->", status)
        since = record.now()
        client = Client(platform, at)
        asked = await asyncio.gather(client.every(0.1, since + AFTER_S, "GET", "/b/x"),
                                     client.every(0.25, since + AFTER_S, "POST", "/c/x", body=b"x" * 300))
        sent = {it[0] for answers in asked for it in answers}
        runs = [it for worker in workers for it in worker.runs if it[1] in sent]
        wrong = [it for it in runs if it[3] != SERVICE_A]
        print("%d requests began at a machine of %s, %d ran, %d of them with another Shallotrelay-Caller-Service%s" % (
            len(sent), SERVICE_A, len(runs), len(wrong), ": " + wrong[0][3] if wrong else ""))
        if wrong:
            print("the last of them %.1f s after the heartbeat; the worker beside the node ran %d requests since" % (
                wrong[-1][0] - since, len([it for it in workers[0].runs if it[0] > since])))
        assert len(runs) > 100, "too few requests ran"
        return 1 if wrong else 0
    finally:
        await platform.end()


run(main, FOLDER)
