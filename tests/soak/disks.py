#!/usr/bin/env python3
"""Makes the disks of the control processes full one after another, never two at once, while operators change the state.

Usage: tests/soak/disks.py [--seed N] [--seeds COUNT] [--rounds N] [--net N] [--binary PATH] [--keep FOLDER]

The program runs as separate processes with stand-in targets, as in soak.py. A full disk is a limit of 0 bytes on the size of
the files of one control process, which refuses every write. Some rounds have the disk of the leader full, some changes are
large enough that the log is compacted.

Checks: each change is acknowledged within ACK_S, also long after the last disk has room again; no process ends; a read is
never older than the last acknowledged change; after all control processes were killed at the end, the last acknowledged
state is read back. The exit status is 1 if a check failed for a seed; the logs of such seeds are kept.
"""
import asyncio
import json
import os
import resource
import signal
import sys
import time

import soak

ACK_S = 4.0
CALM_S = 4.0
UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


class Disks(soak.Soak):
    """State and checks of the run of one seed."""

    def __init__(self, seed, rounds, binary, folder):
        super().__init__(seed, 0, binary, folder)
        self.many_routes = 300 if seed % 2 == 0 else 0
        self.rounds = rounds
        self.slowest = 0.0

    async def launch(self, host):
        # A pipe, since the limit holds for log files too. The signal of the limit stays ignored, as it is in this process.
        process = await asyncio.create_subprocess_exec(*self.command(host), stdout=asyncio.subprocess.PIPE,
                                                       stderr=asyncio.subprocess.STDOUT, restore_signals=False)
        self.processes[host] = process
        asyncio.create_task(self.copy_log(host, process.stdout))

    async def copy_log(self, host, reader):
        with open(os.path.join(self.folder, host + ".log"), "ab") as out:
            while data := await reader.read(65536):
                out.write(data)
                out.flush()

    def limit_files(self, host, limits):
        resource.prlimit(self.processes[host].pid, resource.RLIMIT_FSIZE, limits)

    async def leader(self):
        """Returns the control process to which the others redirect orders."""
        for host in soak.CONTROLS:
            try:
                status, fields, _ = await soak.call(host, soak.OPERATOR, "PUT", "/config", b"{}")
                if status == 307:
                    return fields["location"].split("/")[2].split(":")[0]
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
        return self.random.choice(soak.CONTROLS)

    async def operator(self):
        """Changes the configuration all the time and measures how long each acknowledgement takes."""
        version = 0
        while not self.stopping:
            version += 1
            document = self.configuration(version, self.acknowledged)
            body = json.dumps(document).encode()
            begun, status = time.monotonic(), None
            while status is None or status >= 500:
                status, _ = await self.control_request("PUT", "/config", body)
                if status != 200:
                    await asyncio.sleep(0.05)
                if self.ended:
                    return
            took = time.monotonic() - begun
            self.slowest = max(self.slowest, took if version > 1 else 0)
            if status != 200:
                self.violations.append("a valid configuration was rejected: version %d, status %d" % (version, status))
            if took > ACK_S and version > 1:
                self.violations.append("a change was acknowledged after %.1f s only: version %d" % (took, version))
            del document["baseVersion"]
            self.acknowledged, self.document = version, document
            await self.check_read()
            await asyncio.sleep(0.05)

    async def run(self):
        self.proxies = [soak.Proxy(it) for it in soak.NODES]
        self.targets = [soak.Target(self, it, soak.service_of(i), soak.ZONES[i % 2]) for i, it in enumerate(soak.NODES)]
        self.servers = [await it.start() for it in self.proxies + self.targets]
        for host in soak.CONTROLS + soak.NODES:
            await self.launch(host)
        operator = asyncio.create_task(self.operator())
        await asyncio.sleep(3)
        for _ in range(self.rounds):
            host = await self.leader() if self.random.random() < 0.4 else self.random.choice(soak.CONTROLS)
            self.faults.append("full %s" % host)
            self.limit_files(host, (0, resource.RLIM_INFINITY))
            await asyncio.sleep(0.5 + 3 * self.random.random())
            self.limit_files(host, UNLIMITED)
            await asyncio.sleep(self.random.choice([0.1, 1.0]))
        await asyncio.sleep(CALM_S)
        self.stopping = True
        try:
            await asyncio.wait_for(operator, ACK_S)
        except asyncio.TimeoutError:
            self.violations.append("a change has no acknowledgement after the last disk had room again")
        for host in set(self.faults):
            with open(os.path.join(self.folder, host.split()[1] + ".log")) as log:
                if '"event":"disk"' not in log.read():
                    self.violations.append("%s did not notice that its disk was full" % host)
        for host, process in self.processes.items():
            if process.returncode is not None:
                self.violations.append("%s ended with %d" % (host, process.returncode))
        for host in soak.CONTROLS:
            self.signal(host, signal.SIGKILL)
            await self.processes[host].wait()
        for host in soak.CONTROLS:
            await self.launch(host)
        await self.check_recovery()


def main():
    return soak.run_seeds(
        __doc__, "disks", lambda seed, args, folder: Disks(seed, args.rounds, args.binary, folder),
        lambda run: "%d changes, slowest %.2f s, %d disks full" % (run.acknowledged, run.slowest, len(run.faults)),
        [("--rounds", 6)])


if __name__ == "__main__":
    sys.exit(main())
