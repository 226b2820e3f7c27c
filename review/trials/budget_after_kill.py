"""BUDGET: a request that crashes workers, again at two machines at once after all nodes were killed.

A trial of the review, not a case: no claim, no record. Exits like a case; see REPORT.md.
"""
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *

FOLDER = os.path.join(tempfile.mkdtemp(prefix="review-trial-"))
KILLS=1 if TROUBLE else 0; ATONCE=2
class Boom(Worker):
    gen=0
    async def respond(self,line,f,body):
        if body==b"deadly":
            if f.get("shallotrelay-expect-instance",self.id)!=self.id: return self.answer(421,b"",f.get("shallotrelay-request-id",""),True)
            self.platform.deadly.append(self.record.now()); self.record("worker",self.id,"begins to run the deadly request",f.get("shallotrelay-request-id"))
            asyncio.create_task(self.boom()); await asyncio.sleep(5)
        return await super().respond(line,f,body)
    async def boom(self):
        if self.server is None: return
        await self.crash(); await asyncio.sleep(2)
        self.gen+=1; self.id=self.id.split(".")[0]+".%d"%self.gen; self.born=int(time.time()*1000); self.sequence=0; self.running=0
        await self.start()
async def main():
    p=Platform(FOLDER,3,[("brasov-a",SERVICE_A),("brasov-a",SERVICE_A),("brasov-b",SERVICE_A),("sibiu-c",SERVICE_A)])
    p.deadly=[]
    try:
        for i,n in enumerate(p.nodes): await Boom(p,n,"i-%d"%i).start()
        await p.start()
        assert await p.put([route("r-a","/a/",SERVICE_A),route("r-c","/c/",SERVICE_A,kind="non_idempotent")],[service(SERVICE_A,"0ms",0.0)])==200
        assert await p.ready(); await asyncio.sleep(4)
        cs=[Client(p,n) for n in p.nodes]
        stop=[False]
        async def bg(c):
            while not stop[0]:
                asyncio.create_task(c.ask("GET","/a/x")); await asyncio.sleep(.1)
        bgs=[asyncio.create_task(bg(c)) for c in cs]
        async def phase(n):
            for i in range(n):
                await asyncio.gather(*[cs[(i+j)%4].ask("POST","/c/deadly",1500,b"deadly") for j in range(ATONCE)])
                await asyncio.sleep(1.0)
        await phase(12); third=p.deadly[2] if len(p.deadly)>2 else None
        print('phase 1 runs',len(p.deadly))
        for k in range(KILLS):
            await asyncio.sleep(3)
            for n in p.nodes: n.send(signal.SIGKILL)
            await asyncio.gather(*[n.process.wait() for n in p.nodes]); await asyncio.sleep(.7)
            await asyncio.gather(*[n.start() for n in p.nodes]); await p.ready(); await asyncio.sleep(4.5)
            b=len(p.deadly); await phase(10); print('after kill',k+1,'runs',len(p.deadly)-b)
        stop[0]=True; await asyncio.gather(*bgs)
        late=[t for t in p.deadly if t>third+3]
        print('runs later than contact after the third crash:',len(late))
        return 1 if len(late)>3 else 0
    finally: await p.end()
run(main,FOLDER)
