"""DRAIN: a heartbeat without born makes a worker ready again whose draining was acknowledged.

A trial of the review, not a case: no claim, no record. Exits like a case; see REPORT.md.
"""
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *

FOLDER = os.path.join(tempfile.mkdtemp(prefix="review-trial-"))
MODE='noborn' if TROUBLE else 'none'
async def main():
    p=Platform(FOLDER,3,[("brasov-a",SERVICE_A),("brasov-b",SERVICE_A)])
    try:
        ws=[Worker(p,n,"i-%d"%i) for i,n in enumerate(p.nodes)]
        if MODE=='clock': ws[1].born+=2000
        for w in ws: await w.start()
        await p.start()
        assert await p.put([route("r1","/a/",SERVICE_A)],[service(SERVICE_A)])==200
        assert await p.ready()
        await asyncio.sleep(4)
        if MODE=='clock':
            await ws[1].crash()
            await asyncio.sleep(0.3)
            w=Worker(p,p.nodes[1],"i-1"); w.born=ws[1].born-1000; ws[1]=w   # clock back
            await w.start()
            await asyncio.sleep(4)
        c=Client(p,p.nodes[1]); w=ws[1]
        t0=p.record.now()
        w.state='draining'; w.leaving=True
        acked=await w.say('draining'); t=p.record.now(); 
        async def foreign():
            await asyncio.sleep(1)
            b=w.body("ready"); del b["born"]; b["sequence"]+=5
            print(await call(p.nodes[1].listen["controlPlane"],"PUT","/instances/i-1",json.dumps(b).encode()))
        if MODE=='noborn': asyncio.create_task(foreign())
        await c.every(0.05,t+7,"GET","/a/x")
        late=[r for r in w.runs if r[0]>t+2.0]
        print('acked',acked,'late runs',len(late), late[:1], t)
        return 1 if late else 0
    finally: await p.end()
run(main,FOLDER)
