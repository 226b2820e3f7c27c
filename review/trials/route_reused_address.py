"""ROUTE: a delayed heartbeat of an old worker, then a worker of another service whose first heartbeat is late.

A trial of the review, not a case: no claim, no record. Exits like a case; see REPORT.md.
"""
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *

FOLDER = os.path.join(tempfile.mkdtemp(prefix="review-trial-"))
LATE=2.0; OLD=TROUBLE
async def main():
    p=Platform(FOLDER,3,[("brasov-a",SERVICE_A),("brasov-a",SERVICE_B)])
    try:
        a=Worker(p,p.nodes[0],"i-a1",slots=4); await a.start()
        for m in p.controls+p.nodes[:1]: await m.start()
        assert await p.put([route("r1","/a/",SERVICE_A),route("r2","/b/",SERVICE_B)],[service(SERVICE_A),service(SERVICE_B)])==200
        assert await p.ready(p.nodes[:1])
        await asyncio.sleep(3)
        n=p.nodes[1]; await n.start()
        c=Client(p,p.nodes[0])
        load=asyncio.create_task(c.every(0.01,p.record.now()+8,"GET","/a/x"))
        await asyncio.sleep(.3)
        if OLD:
            b={"service":SERVICE_A,"address":n.app,"zone":n.zone,"version":"v1","slots":12,"state":"ready","coldRemaining":"0ms","sequence":40,"born":int(time.time()*1000)-60000}
            print(await call(n.listen["controlPlane"],"PUT","/instances/i-old",json.dumps(b).encode()))
        w=Worker(p,n,"i-b1"); await w.start(LATE)
        await load
        wrong=[r for r in w.runs if r[2].startswith("/a/")]
        print('requests of A run by the worker of B',len(wrong),wrong[:2],wrong[-1:])
        return 1 if wrong else 0
    finally: await p.end()
run(main,FOLDER)
