"""One seeded run: processes, stand-ins, clients and faults, and the checks at its end."""

import asyncio
import contextlib
import json
import random
import time
from dataclasses import replace

from . import net
from .clients import HOST, Client
from .judge import CANCEL_S, ENDED, Judge
from .limits import ProcessorLimit
from .nodes import Node
from .shapes import SHAPES, long_running_job
from .store import Store
from .strangers import check_refusals, run_strangers
from .teams import OPEN_QUEUE, Teams, with_open_queue
from .waits import FINISH_S, WAIT_S, Waits
from .workers import LISTED_ENDS, Cluster

CLIENTS = 16
READY_S = 20.0
# Time after the last fault by which all accepted jobs must have ended. It covers the longest wait for a lost order
# (12 s), a lease and the work left, several times over.
SETTLE_S = 60.0
LONG_RUNNING_TASKS = 8
# A busy machine adds to the time in which what was cancelled is gone.
CANCEL_SLACK_S = 6.0
# Shares of jobs with a task that crashes each worker that starts it.
CRASH_SHARES = (0.0, 0.0, 0.03, 0.07)
LAG_STEP_S = 0.02


class Site:
    # What the nodes' settings and the published configuration say of their machines and connections.
    machine_limits = {"memory_mb": 260, "max_fds": 4100}
    connection_limits = {"max_body_bytes": 65536}
    descriptors = None  # at most, enforced by the kernel; None for the limit of the machine

    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.shape = SHAPES[options.shape]
        if options.gang_failures is not None:
            self.shape = replace(self.shape, gang_failure_share=options.gang_failures)
        if options.teams:
            self.shape = with_open_queue(self.shape)
        self.teams = Teams(self, options.teams) if options.teams else None
        self.random = random.Random(f"{seed}/run")
        self.crash_random = random.Random(f"{seed}/crashes")
        self.crash_share = self.crash_random.choice(CRASH_SHARES) if options.crashes is None else options.crashes
        self.reserved = []
        self.front_port, self.ready_port, self.link_port, store_port, worker_port = (
            net.reserve_port(self.reserved) for _ in range(5))
        pools = {path: queue.service for path, queue in self.shape.queues.items()}
        self.judge = Judge(pools, options.retention)
        self.judge.teams = self.teams
        self.network = net.Network(random.Random(f"{seed}/net"))
        self.store = Store(self.network, store_port, f"{seed}/store")
        self.cluster = Cluster(self.network, self.store, self.judge, worker_port, options.nodes, options.workers,
                               self.shape, random.Random(f"{seed}/workers"),
                               random.Random(f"{seed}/lists").choice(LISTED_ENDS))
        self.proxy = net.LinkProxy(self.network, self.link_port)
        self.nodes = [Node(self, index) for index in range(options.nodes)]
        self.waits = Waits(self)
        self.active_faults = 0
        self.calm_since = 0.0  # when the last fault was over
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
        routes = [{"host": HOST, "path_prefix": prefix, "service": queue.service, "priority": queue.priority,
                   "max_attempts": queue.max_attempts, "stretch": queue.stretch, "slo_ms": queue.slo_ms}
                  for prefix, queue in self.shape.queues.items()]
        routes += [{"host": HOST, "path_prefix": f"/extra{n}/", "service": self.shape.services[0], "priority": 1,
                    "max_attempts": 2, "stretch": 3, "slo_ms": 2000} for n in self.extra]
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": s, "enforces_capacity": False} for s in self.shape.services],
                  "limits": self.connection_limits}
        if self.teams:
            for route in routes:
                route["public"] = route["path_prefix"] == OPEN_QUEUE
            config["tenants"] = self.teams.documents()
        self.store.put("keyed.op", "config", json.dumps(config))
        if self.teams:
            self.teams.published()

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
        self.network.spawn(self.waits.watch())
        long_running = await self._submit_long_running()
        if self.shape.kinds:
            callers = [self._submit_kind(kind, until) for kind in self.shape.kinds]
        else:
            callers = [Client(self, random.Random(f"{self.seed}/client{n}")).run(until) for n in range(CLIENTS)]
        if schedule.restart_share:
            callers += [self._submit_kind(kind, until) for kind in self.shape.beside_restarts]
        if self.teams:
            callers.append(run_strangers(self, until))
        await asyncio.gather(schedule.play(self), *callers)
        if self.teams:
            self.teams.raise_quotas()
            self.publish()
        await self._settle()
        await self._cancel_all(long_running)
        if self.teams:
            await check_refusals(self)
        self.judge.finish()
        await asyncio.gather(*(node.stop() for node in self.nodes))

    async def _submit_long_running(self):
        draw = random.Random(f"{self.seed}/long-running")
        client = Client(self, draw)
        jobs = []
        for _ in range(self.options.long_running):
            queue, body = long_running_job(draw, draw.choice(list(self.shape.queues)), LONG_RUNNING_TASKS)
            if self.teams:
                queue = OPEN_QUEUE  # a cut of a quota would keep them from their work
            jobs.append(await client.submit(f"{draw.getrandbits(64):016x}", queue, body, may_crash=False))
        client.caller.close()
        return jobs

    async def _cancel_all(self, jobs):
        client = Client(self, self.random)
        for job in jobs:
            await client.cancel(job)
        client.caller.close()
        end = time.monotonic() + CANCEL_S + CANCEL_SLACK_S
        while self._leftover() and time.monotonic() < end:
            await asyncio.sleep(0.2)

    async def _submit_kind(self, kind, until):
        """Hands in jobs of a kind at its rate, whatever becomes of them."""
        draw = random.Random(f"{self.seed}/{kind.queue}")
        clients = []

        async def submit(client, name, body):
            job = await client.submit(name, kind.queue, body, kind.may_crash)
            if job.accepted_at:
                await asyncio.sleep(client.random.uniform(0.5, 3.0))
                await client.ask(job)
            clients.append(client)

        calls = []
        while time.monotonic() < until:
            await asyncio.sleep(draw.expovariate(kind.rate))
            client = clients.pop() if clients else Client(self, random.Random(draw.getrandbits(64)))
            calls.append(asyncio.create_task(submit(client, f"{draw.getrandbits(64):016x}", kind.draw(draw))))
        await asyncio.gather(*calls)
        for client in clients:
            client.caller.close()

    def _open(self):
        return [j for j in self.judge.jobs.values()
                if j.accepted_at and not j.cancelled_at and j.state not in ENDED and not j.is_long_running()]

    def _leftover(self):
        return any(task.running for job in self.judge.jobs.values() if job.cancelled_at for task in job.tasks.values())

    async def _settle(self):
        """Without faults, every accepted job ends, and what was cancelled is gone."""
        begin = time.monotonic()
        end = begin + SETTLE_S
        clients = [Client(self, self.random) for _ in range(4)]
        while (self._open() or self._leftover() or time.monotonic() < self._long_running_judged_at(begin)
               ) and time.monotonic() < end:
            jobs = self._open()
            self.waits.judges_jobs = time.monotonic() >= begin + FINISH_S

            async def ask_some(number):
                for job in jobs[number::len(clients)]:
                    await clients[number].ask(job)

            await asyncio.gather(*(ask_some(n) for n in range(len(clients))))
            await asyncio.sleep(0.2)
        for job in self.judge.jobs.values():
            if job.is_long_running() and job.accepted_at:
                await clients[0].ask(job)
        for client in clients:
            client.caller.close()
        self.judge.counts["stalled_ms"] = int(1000 * self.stalled_since(0))
        for name, seconds in self.waits.longest.items():
            self.judge.counts[f"longest_{name}_ms"] = int(1000 * seconds)
        self.judge.counts["settle_ms"] = int(1000 * (time.monotonic() - begin))

    def _long_running_judged_at(self, begin):
        return begin + (FINISH_S + WAIT_S if self.options.long_running else 0)

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
