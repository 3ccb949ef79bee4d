"""Stand-ins of workers: runs, leases, fencing tokens, lists of ends, and their entries in the registry."""

import asyncio
import json
import time

from . import net

HEARTBEAT_S = 1.5
FIRST_HEARTBEAT_S = 0.02
MISSED_HEARTBEATS = 3
HOLD_MAX_MS = 10000
CRASH_PAUSE_S = (1.5, 4.0)
GANG_TIMEOUT_S = 3.0
DRAIN_S = 2.0
SINGLE_FAILURES = 0.3  # share of the failing runs of gangs in which one member ends as failed; in the others several
CAPACITY_NOTICE_S = 4.5  # how long a start may still count on capacity that the worker no longer has
LISTED_ENDS = (500, 500, 5, 1)  # how many ends a worker lists at a time; drawn once for each run


class Run:
    """One run of a task. `left` is what remains of its work, in seconds, while it is not at work."""

    def __init__(self, task, number, worker, work, restored):
        self.task, self.number, self.worker = task, number, worker
        self.work, self.saved_s = work, restored
        self.left = work - restored
        self.work_begun = None
        self.timer = None
        self.stopping = False
        self.gang = None
        self.fails = False  # since its worker fails all that it starts

    def progress(self):
        done = self.work - self.left
        if self.work_begun is not None:
            done += time.monotonic() - self.work_begun
        return max(0.0, min(done, self.work))


class Gangs:
    """The members of each run of a gang that are present."""

    def __init__(self):
        self.present = {}

    def add(self, run, count):
        key = (run.task.rsplit(".", 1)[0], run.number)
        run.gang = key
        members = self.present.setdefault(key, [])
        members.append(run)
        return members if len(members) == count else None

    def leave(self, run):
        return self.present.pop(run.gang, [])


class Worker:
    def __init__(self, cluster, index):
        self.cluster, self.index = cluster, index
        self.service = cluster.services[index % len(cluster.services)]
        self.rack = f"r{index // cluster.shape.rack}"
        self.labels = ["kind-b" if index % 3 == 0 else "kind-a", self.rack]
        self.life = 0
        self.up = False
        self.server = net.HttpServer(cluster.network, "worker", self.handle)

    async def start(self, name=None):
        """Begins a life: under a new id, or again under the one that is given."""
        self.life += 1
        self.id = name or f"w{self.index:03d}-{self.life}"
        self.born_ms = int(time.time() * 1000)
        self.clock_base = self.cluster.random.randrange(1000, 900000)
        self.clock_rate = self.cluster.random.uniform(0.98, 1.0)
        self.clock_begin = time.monotonic()
        self.capacity = dict(self.cluster.shape.capacity)
        self.lost_capacity = []  # (until when a start may count on it, the capacity before it shrank)
        self.running, self.ended, self.last_end = {}, [], 0
        self.highest, self.fence, self.until = {}, 0, 0
        self.void = set()
        self.failing_until = 0.0
        self.changed = asyncio.Event()
        self.sequence = 0
        self.draining_until = None
        self.up = True
        addresses = [net.worker_address(n, self.index) for n in range(self.cluster.nodes)]
        await self.server.start(addresses, self.cluster.port)
        self.beat = self.cluster.network.spawn(self._heartbeat(self.life, HEARTBEAT_S if name else FIRST_HEARTBEAT_S))

    def name(self):
        """Names this life; an id may be that of several."""
        return f"{self.id}/{self.life}"

    def crash(self, dark=False):
        """Everything that runs terminates; the entry stays until heartbeats were missed."""
        self.up = False
        self.server.stop(dark)
        self.beat.cancel()
        for run in list(self.running.values()):
            self._end(run, "crashed")
        self.changed.set()
        self.cluster.network.spawn(self._expire(self.id, self.life))

    def _crash_by(self, run):
        """The task ends the worker's process, which is back after some seconds."""
        if self.running.get(run.name) is not run:
            return
        self.cluster.judge.crashed_by(run)
        self.crash()
        self.cluster.network.spawn(self._return(self.life))

    async def _return(self, life):
        await asyncio.sleep(self.cluster.random.uniform(*CRASH_PAUSE_S))
        if not self.up and self.life == life:
            await self.start()

    async def resize(self, share, seconds):
        """The worker has less room for a while; what runs goes on."""
        life = self.life
        self._set_capacity({key: int(value * share) for key, value in self.cluster.shape.capacity.items()})
        await asyncio.sleep(seconds)
        if self.up and self.life == life:
            self._set_capacity(dict(self.cluster.shape.capacity))

    async def fail_all(self, seconds):
        """All that the worker starts meanwhile ends as failed, part way through its work."""
        self.failing_until = max(self.failing_until, time.monotonic() + seconds)
        await asyncio.sleep(seconds)

    def _set_capacity(self, capacity):
        self.lost_capacity.append((time.monotonic() + CAPACITY_NOTICE_S, self.capacity))
        self.capacity = capacity
        self._register()

    def largest_capacity(self):
        """The capacity that a start may count on now."""
        now = time.monotonic()
        known = [self.capacity] + [before for until, before in self.lost_capacity if until > now]
        return {key: max(capacity[key] for capacity in known) for key in self.capacity}

    async def drain(self):
        life, name = self.life, self.id
        self.draining_until = time.monotonic() + DRAIN_S
        self._register()
        await asyncio.sleep(DRAIN_S + self.cluster.random.random())
        if self.up and self.life == life:
            self.crash()
            self.cluster.store.put("keyed.servers", name, None)

    async def _expire(self, name, life):
        await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        if self.id != name or self.life == life:  # otherwise the entry is that of a later life
            self.cluster.store.put("keyed.servers", name, None)

    async def _heartbeat(self, life, first):
        await asyncio.sleep(first * self.cluster.random.random() ** 2)
        while self.up and self.life == life:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    def _register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{net.worker_address(-1, self.index)}:{self.cluster.port}",
                 "zone": f"z{self.index % 3}", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                 "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels, "born": self.born_ms,
                 "machine": f"m{self.index:03d}"}
        if self.draining_until:
            entry["state"] = "draining"
            entry["remaining_ms"] = max(0, int((self.draining_until - time.monotonic()) * 1000))
        self.cluster.store.put("keyed.servers", self.id, json.dumps(entry))

    def clock_ms(self):
        return int(self.clock_base + (time.monotonic() - self.clock_begin) * 1000 * self.clock_rate)

    def used(self):
        """What runs here takes of the capacity, also while it is being stopped."""
        used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for run in self.running.values():
            job, (_, step, _) = self.cluster.judge.split(run.task)
            for resource in used:
                used[resource] += job.body["steps"][step].get(resource, 0) if job else 0
        return used

    def check_lease(self):
        if self.until and self.clock_ms() >= self.until:
            self.until = 0
            self.void.update(row[0] for row in self.ended)
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    def _extend(self, until):
        until = min(until, self.clock_ms() + HOLD_MAX_MS)
        if until > max(self.until, self.clock_ms()):
            self.until = until
            seconds = (until - self.clock_ms()) / 1000 / self.clock_rate
            asyncio.get_running_loop().call_later(seconds + 0.001, self._lease_timer, self.life)

    def _lease_timer(self, life):
        if self.life == life and self.up:
            self.check_lease()

    async def handle(self, request):
        # A call ends with the process that took its connection.
        if (not self.up or request.process != self.server.process or
                request.headers.get("expect-instance", self.id) != self.id):
            return 421, {}
        handler = {"run-start": self._start, "run-stop": self._stop,
                   "hold": self._hold}.get(request.path.rpartition("/")[2])
        if handler is None:
            return 404, {}
        self.check_lease()
        body = request.json()
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        return await handler(body, request.received)

    async def _start(self, order, received):
        task, number = order["task"], order["run"]
        reason = None
        present = self.running.get(task)
        if present is not None and present.number == number:
            self._extend(order["until_ms"])
        elif number <= self.highest.get(task, 0):
            self._extend(order["until_ms"])
            reason = "old"
        elif order["until_ms"] <= self.clock_ms():
            reason = "late"
        else:
            self._extend(order["until_ms"])
            self._begin(order, received)
            if not self.up:
                raise ConnectionResetError  # it has crashed before it could answer
        if reason:
            return 409, {"clock_ms": self.clock_ms(), "reason": reason}
        return 200, {"clock_ms": self.clock_ms()}

    def _begin(self, order, received):
        job, (_, step, index) = self.cluster.judge.split(order["task"])
        work = self.cluster.work_of(job, step)
        restored = 0.0
        if order.get("checkpoint"):
            restored = min(int(order["checkpoint"][:8], 16) / 1000, work)
        run = Run(order["task"], order["run"], self, work, restored)
        # A second run of the same task beside the first is kept under a name of its own.
        name = run.task if run.task not in self.running else f"{run.task}#{run.number}"
        self.running[name] = run
        run.name = name
        run.fails = time.monotonic() < self.failing_until
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number - 1)
        self.cluster.judge.started(run, order, self, received)
        if job is None:
            return
        delay = job.crashes.get((step, index))
        if delay == 0:
            self._crash_by(run)
            return
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, self._crash_by, run)
        definition = job.body["steps"][step]
        if definition.get("gang"):
            members = self.cluster.gangs.add(run, definition["count"])
            if members:
                for member in members:
                    member.work_begun = time.monotonic()
                failing = self._draw_failing(members)
                self._later(run, run.left * (0.5 if failing else 1), lambda: self._end_gang(run, failing))
            else:
                self._later(run, GANG_TIMEOUT_S, lambda: run.work_begun or self._end(run, "alone"))
            return
        run.work_begun = time.monotonic()
        if definition.get("long_running") and not run.fails:
            return
        how = "failed" if self.cluster.random.random() < self.cluster.shape.failure_share or run.fails else "done"
        pause = self.cluster.shape.restore_s if restored else 0.0
        self._later(run, run.left * (0.5 if how == "failed" else 1) + pause, lambda: self._end(run, how))

    def _draw_failing(self, members):
        """Returns which members of a gang's run end as failed, at the same time; mostly none."""
        random = self.cluster.random
        failing = [member for member in members if member.fails]
        if not failing and random.random() < self.cluster.shape.gang_failure_share:
            several = random.choice((len(members), random.randint(min(2, len(members)), len(members))))
            failing = random.sample(members, 1 if random.random() < SINGLE_FAILURES else several)
        return failing

    def _end_gang(self, run, failing):
        """All members end at the same time: as done, or those that fail as failed and the others as broken."""
        self.cluster.judge.counts["failed_gang_runs"] += bool(failing)
        for member in self.cluster.gangs.leave(run):
            member.worker._end(member, ("failed" if member in failing else "broken") if failing else "done")

    def _later(self, run, seconds, action):
        run.timer = asyncio.get_running_loop().call_later(seconds, action)

    def _save(self, run):
        job, key = self.cluster.judge.split(run.task)
        if job is None or not job.body["steps"][key[1]].get("checkpointing"):
            return ""
        value = f"{int(run.saved_s * 1000):08x}{job.name[:8]}" if run.saved_s else ""
        if value:
            job.tasks[key].checkpoints.add(value)
        return value

    def _end(self, run, how):
        if self.running.get(run.name) is not run:
            return
        del self.running[run.name]
        if run.timer:
            run.timer.cancel()
        if how == "stopped":
            run.saved_s = run.progress()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        if how != "crashed":
            self.last_end += 1
        self.cluster.judge.ended(run, how, self.last_end)
        if how != "crashed":
            self.ended.append([self.last_end, run.task, run.number, how, self._save(run)])
            self.changed.set()
            self.changed = asyncio.Event()
        if run.gang and how != "done":
            for member in self.cluster.gangs.leave(run):
                if member is not run:
                    member.worker._end(member, "broken")

    async def _stop(self, order, _):
        run = self.running.get(order["task"])
        if run is not None and run.number == order["run"]:
            if not run.stopping:
                run.stopping = True
                if run.timer:
                    run.timer.cancel()
                self._later(run, self.cluster.shape.stop_s * self.cluster.random.random(), lambda: self._end(run, "stopped"))
        else:
            self.highest[order["task"]] = max(self.highest.get(order["task"], 0), order["run"])
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, order, _):
        if "until_ms" in order:
            self._extend(order["until_ms"])
        acked = order.get("acked_through", 0)
        for number, task, run, how, _ in self.ended:
            if number <= acked and number not in self.void:
                self.cluster.judge.noted(task, run, how, self.name(), number)
        self.ended = [row for row in self.ended if row[0] > acked]
        wait = min(order.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ended:
            life = self.life
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
            if life != self.life or not self.up:
                return 421, {}
        rows = []
        for run in self.running.values():
            progress = run.progress()
            run.saved_s = max(run.saved_s, progress // self.cluster.shape.checkpoint_s * self.cluster.shape.checkpoint_s)
            rows.append([run.task, run.number, self._save(run), int(100 * progress / run.work), 100])
        return 200, {"clock_ms": self.clock_ms(), "born": self.born_ms, "running": rows,
                     "ended": self.ended[:self.cluster.listed_ends]}


class Cluster:
    """All workers, and what they share."""

    def __init__(self, network, store, judge, port, nodes, workers, shape, random, listed_ends=LISTED_ENDS[0]):
        self.network, self.store, self.judge, self.port = network, store, judge, port
        self.nodes, self.shape, self.services, self.random = nodes, shape, shape.services, random
        self.listed_ends = listed_ends
        self.gangs = Gangs()
        self.workers = [Worker(self, index) for index in range(workers)]

    def work_of(self, job, step):
        return job.body["steps"][step].get("estimated_ms", 300) / 1000 if job else 1.0

    async def start(self):
        for worker in self.workers:
            await worker.start()

    async def rebirth(self, index, pause, drained=False):
        """A worker ends, planned or by a crash, and a new life begins on its machine."""
        worker = self.workers[index]
        if not worker.up or worker.draining_until:
            return
        if drained:
            await worker.drain()
        else:
            worker.crash()
        await asyncio.sleep(pause)
        if not worker.up:
            await worker.start()

    async def restart(self, index, pause, dark):
        """A worker crashes and is back under its id; nothing else of it stays."""
        worker = self.workers[index]
        if not worker.up or worker.draining_until:
            return
        worker.crash(dark)
        await asyncio.sleep(pause)
        if not worker.up:
            self.judge.counts["restarts"] += 1
            await worker.start(worker.id)

    def stop(self):
        for worker in self.workers:
            worker.up = False
            worker.server.stop()
