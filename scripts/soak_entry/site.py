"""One seeded run: processes, stand-ins, clients and faults, and the checks at its end."""

import asyncio
import contextlib
import json
import random
import time

from . import net
from .clients import HOST, QUEUES, Client
from .judge import ENDED, MAX_ATTEMPTS, Judge
from .limits import ProcessorLimit
from .nodes import Node
from .store import Store
from .workers import LISTED_ENDS, Cluster

CLIENTS = 16
READY_S = 20.0
# Time after the last fault by which all accepted jobs must have ended. It covers the longest wait for a lost order
# (12 s), a lease and the work left, several times over.
SETTLE_S = 60.0
SERVICES = ("svc-a", "svc-b")
# Shares of jobs with a task that crashes each worker that starts it.
CRASH_SHARES = (0.0, 0.0, 0.03, 0.07)
LAG_STEP_S = 0.02


class Site:
    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.random = random.Random(f"{seed}/run")
        self.crash_random = random.Random(f"{seed}/crashes")
        self.crash_share = self.crash_random.choice(CRASH_SHARES) if options.crashes is None else options.crashes
        self.reserved = []
        self.front_port, self.ready_port, self.link_port, store_port, worker_port = (
            net.reserve_port(self.reserved) for _ in range(5))
        self.judge = Judge(QUEUES, options.retention)
        self.network = net.Network(random.Random(f"{seed}/net"))
        self.store = Store(self.network, store_port, f"{seed}/store")
        self.cluster = Cluster(self.network, self.store, self.judge, worker_port, options.nodes, options.workers,
                               SERVICES, random.Random(f"{seed}/workers"),
                               random.Random(f"{seed}/lists").choice(LISTED_ENDS))
        self.proxy = net.LinkProxy(self.network, self.link_port)
        self.nodes = [Node(self, index) for index in range(options.nodes)]
        self.version = 0
        self.extra = []
        self.stalls = []  # (begin, end) of the times in which this process itself was late

    async def _watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_STEP_S)
            now = time.monotonic()
            if now - before > 2 * LAG_STEP_S:
                self.stalls.append((before + LAG_STEP_S, now))

    def stalled_since(self, begin):
        """How long the soak itself did not look at its connections since a time."""
        return sum(end - max(start, begin) for start, end in self.stalls if end > begin)

    def draw_crashes(self, body):
        """Returns which task of a job crashes its workers, and how long after its start; mostly none."""
        if self.crash_random.random() >= self.crash_share:
            return {}
        step = self.crash_random.randrange(len(body["steps"]))
        index = self.crash_random.randrange(body["steps"][step]["count"])
        return {(step, index): self.crash_random.choice((0, 0.01, 0.05, 0.15))}

    def publish(self):
        self.version += self.random.randrange(1, 4)
        routes = [{"host": HOST, "path_prefix": prefix, "service": service, "priority": n,
                   "max_attempts": MAX_ATTEMPTS, "stretch": 3, "slo_ms": 2000}
                  for n, (prefix, service) in enumerate(QUEUES.items())]
        routes += [{"host": HOST, "path_prefix": f"/extra{n}/", "service": SERVICES[0], "priority": 1,
                    "max_attempts": 2, "stretch": 3, "slo_ms": 2000} for n in self.extra]
        self.store.put("keyed.op", "config", json.dumps({
            "version": self.version, "routes": routes,
            "services": [{"name": s, "enforces_capacity": False} for s in SERVICES],
            "limits": {"max_body_bytes": 65536}}))

    async def begin(self):
        """Starts all processes and stand-ins; returns whether all nodes became ready."""
        self.network.spawn(self._watch_lag())
        self.publish()
        await self.store.start(self.options.nodes)
        await self.cluster.start()
        await asyncio.gather(*(node.start() for node in self.nodes))
        for node in self.nodes:
            self.network.spawn(node.balance())
        end = time.monotonic() + READY_S
        while not all(node.ready for node in self.nodes):
            if time.monotonic() > end:
                late = [node.name for node in self.nodes if not node.ready]
                self.judge.violate("READY", f"{late} not ready {READY_S} s after the start")
                return False
            await asyncio.sleep(0.05)
        return True

    async def run(self, schedule):
        """Plays the run; violations are in the judge."""
        if not await self.begin():
            return
        with contextlib.ExitStack() as limits:
            for node in self.nodes:
                limits.enter_context(ProcessorLimit(node, self.options.core_share))
            await self._play(schedule)

    async def _play(self, schedule):
        until = time.monotonic() + self.options.seconds
        clients = [Client(self, random.Random(f"{self.seed}/client{n}")) for n in range(CLIENTS)]
        await asyncio.gather(schedule.play(self), *(client.run(until) for client in clients))
        await self._settle()
        self.judge.finish()
        await asyncio.gather(*(node.stop() for node in self.nodes))

    def _open(self):
        return [j for j in self.judge.jobs.values() if j.accepted_at and not j.cancelled_at and j.state not in ENDED]

    def _leftover(self):
        return any(task.running for job in self.judge.jobs.values() if job.cancelled_at for task in job.tasks.values())

    async def _settle(self):
        """Without faults, every accepted job ends, and what was cancelled is gone."""
        begin = time.monotonic()
        clients = [Client(self, self.random) for _ in range(4)]
        while (self._open() or self._leftover()) and time.monotonic() < begin + SETTLE_S:
            jobs = self._open()

            async def ask_some(number):
                for job in jobs[number::len(clients)]:
                    await clients[number].ask(job)

            await asyncio.gather(*(ask_some(n) for n in range(len(clients))))
            await asyncio.sleep(0.2)
        for client in clients:
            client.caller.close()
        self.judge.counts["stalled_ms"] = int(1000 * self.stalled_since(0))
        self.judge.counts["settle_ms"] = int(1000 * (time.monotonic() - begin))

    async def close(self):
        """Ends everything that the run has started; also after an error."""
        for node in self.nodes:
            await node.kill()
            node.log.close()
        self.cluster.stop()
        self.store.stop()
        self.proxy.stop()
        await self.network.close()
        for sock in self.reserved:
            sock.close()
