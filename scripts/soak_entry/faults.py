"""Faults drawn from a seed, in series that overlap."""

import asyncio
import random
import re
import time
from dataclasses import dataclass

from . import net

WORKER_CRASH_PERIOD_S = 4.0
OWNER = -1  # Stands for the node that owns the cell when the fault begins.
RESIZE_SHARES = (0.0, 0.25, 0.5, 0.75)
FAILING_SHARE = 0.085  # of the workers, in each fault of workers that fail all they start
RESTART_SHARES = (0.0, 0.0, 0.1, 0.25)  # of the workers; drawn once for each run
KINDS = ("stop", "kill", "freeze", "reload", "config", "redeal", "store", "worker", "link", "silence", "reset",
         "crash", "drain")
WEIGHTS = (3, 4, 3, 1, 1, 1, 5, 4, 4, 2, 1, 3, 1)
EFFECTS = {"store": ("delay", "refuse", "reset", "drop", "lose", "late"),
           "worker": ("delay", "refuse", "reset", "drop", "lose", "late"),
           "link": ("delay", "reset", "drop")}


@dataclass(frozen=True)
class Fault:
    at: float  # seconds after the start of the load
    kind: str
    nodes: tuple = ()  # empty for all
    workers: tuple = ()
    seconds: float = 0.0
    pause: float = 0.0
    effect: str = ""
    share: float = 1.0
    scope: str = ""


class Schedule:
    """What is done to a run, and when. The same seed draws the same faults."""

    def __init__(self, options, seed):
        self.random = random.Random(f"{seed}/faults")
        self.options = options
        self.events = []
        self.restart_share = options.restarts
        if options.worker_crashes and not options.no_faults:
            self._draw_worker_crashes()
        elif not options.no_faults:
            self._draw_series()
            self._draw_resizes(random.Random(f"{seed}/resizes"))
            self._draw_failing_workers(random.Random(f"{seed}/failing"))
            self._draw_rebirths(random.Random(f"{seed}/rebirths"))
            self.restart_share = self.restart_share or random.Random(f"{seed}/restart-share").choice(RESTART_SHARES)
        if options.teams:
            self._draw_team_changes(random.Random(f"{seed}/team-changes"))
        if self.restart_share:
            self._draw_restarts(random.Random(f"{seed}/restarts"))
        self.events.sort(key=lambda fault: fault.at)

    def _draw_series(self):
        for _ in range(self.random.randrange(2, 6)):
            kind = self.random.choices(KINDS, WEIGHTS)[0]
            at = self.random.uniform(0.2, self.options.seconds / 2)
            pause = self.random.choice((0.5, 1.0, 2.0, 4.0))
            while at < self.options.seconds - 0.5 and len(self.events) < 60:
                self.events.append(self._draw(kind, at))
                at += pause * self.random.uniform(0.5, 1.5)

    def _draw_worker_crashes(self):
        """A share of the workers crashes every few seconds, and the owner is killed once."""
        count = round(self.options.workers * self.options.worker_crashes)
        at = self.random.uniform(0.5, WORKER_CRASH_PERIOD_S)
        while at < self.options.seconds - 0.5:
            workers = tuple(sorted(self.random.sample(range(self.options.workers), count)))
            self.events.append(Fault(at=round(at, 3), kind="crash", workers=workers,
                                     pause=round(self.random.uniform(1.5, 4.0), 3)))
            at += WORKER_CRASH_PERIOD_S
        self.events.append(Fault(at=round(self.random.uniform(0.2, 0.8) * self.options.seconds, 3), kind="kill",
                                 nodes=(OWNER,), pause=1.0))

    def _draw_resizes(self, draw):
        """Workers whose capacity shrinks for a while, in half of the seeds."""
        if draw.random() < 0.5:
            return
        at = draw.uniform(0.2, 2.0)
        while at < self.options.seconds:
            workers = tuple(sorted(draw.sample(range(self.options.workers), max(1, self.options.workers // 8))))
            self.events.append(Fault(at=round(at, 3), kind="resize", workers=workers,
                                     seconds=round(draw.uniform(1.0, 9.0), 3), share=draw.choice(RESIZE_SHARES)))
            at += draw.uniform(0.4, 1.5)

    def _draw_failing_workers(self, draw):
        """Workers that fail all they start for a while, in a third of the seeds."""
        if draw.random() < 2 / 3:
            return
        at = draw.uniform(0.2, 2.0)
        count = max(1, round(self.options.workers * FAILING_SHARE))
        while at < self.options.seconds - 0.5:
            workers = tuple(sorted(draw.sample(range(self.options.workers), count)))
            self.events.append(Fault(at=round(at, 3), kind="fail-all", workers=workers,
                                     seconds=round(draw.uniform(2.0, 6.5), 3)))
            at += draw.uniform(1.0, 4.0)

    def _draw_rebirths(self, draw):
        """Nodes that are killed and serve again while the owner stands still with their calls, in half of the seeds."""
        if draw.random() < 0.5:
            return
        at = draw.uniform(0.2, 2.0)
        while at < self.options.seconds - 1.0:
            nodes = tuple(sorted(draw.sample(range(self.options.nodes), draw.choice((1, 1, 2)))))
            self.events.append(Fault(at=round(at, 3), kind="rebirth", nodes=nodes,
                                     seconds=round(draw.uniform(0.3, 0.7), 3), pause=round(draw.uniform(0.02, 0.1), 3)))
            at += draw.uniform(0.8, 2.0)

    def _draw_restarts(self, draw):
        """Workers that restart under their ids and are cut off soon after; at times the owner is killed between."""
        at = draw.uniform(0.5, 2.0)
        count = max(1, round(self.options.workers * self.restart_share))
        while at < self.options.seconds - 0.5:
            workers = tuple(sorted(draw.sample(range(self.options.workers), count)))
            pause, wait = draw.uniform(0.1, 0.7), draw.uniform(1.0, 2.5)
            self.events.append(Fault(at=round(at, 3), kind="restart", workers=workers, pause=round(pause, 3),
                                     effect=draw.choice(("dark", "reset"))))
            self.events.append(Fault(at=round(at + pause + wait, 3), kind="worker", effect="cut", workers=workers,
                                     seconds=round(draw.uniform(4.0, 9.0), 3)))
            if draw.random() < 0.4:
                self.events.append(Fault(at=round(at + pause + wait * draw.random(), 3), kind="kill", nodes=(OWNER,),
                                         pause=1.0))
            at += draw.uniform(2.0, 5.0)

    def _draw_team_changes(self, draw):
        """Configurations with other keys, quotas and weights, some while the store turns a third of the nodes away."""
        at = draw.uniform(0.2, 0.8)
        while at < self.options.seconds:
            self.events.append(Fault(at=round(at, 3), kind="teams"))
            if not self.options.no_faults and draw.random() < 0.25:
                nodes = tuple(sorted(draw.sample(range(self.options.nodes), max(1, self.options.nodes // 3))))
                self.events.append(Fault(at=round(max(0.0, at - draw.uniform(0.05, 1.0)), 3), kind="store",
                                         effect="refuse", nodes=nodes, seconds=round(draw.uniform(2.0, 9.0), 3)))
            at += draw.uniform(0.5, 1.5)

    def _some_nodes(self):
        draw = self.random.random()
        if draw < 0.4:
            return (OWNER,)
        if draw < 0.55:
            return ()
        count = self.random.choice((1, 1, 2, max(1, self.options.nodes // 2)))
        return tuple(sorted(self.random.sample(range(self.options.nodes), min(count, self.options.nodes))))

    def _draw(self, kind, at):
        left = self.options.seconds - at
        workers = tuple(sorted(self.random.sample(range(self.options.workers),
                                                  self.random.choice((1, 2, max(1, self.options.workers // 4))))))
        fault = dict(at=round(at, 3), kind=kind, nodes=self._some_nodes(), workers=workers,
                     seconds=round(min(left, self.random.choice((0.3, 1.0, 2.0, 4.0))), 3),
                     pause=round(self.random.uniform(0.1, 1.0), 3))
        if kind in EFFECTS:
            fault.update(effect=self.random.choice(EFFECTS[kind]), share=self.random.choice((1.0, 1.0, 0.5, 0.1)),
                         pause=round(self.random.choice((0.01, 0.1, 0.4, 1.5)), 3))
            if kind == "worker" and self.random.random() < 0.3:
                fault.update(workers=())
            if kind == "worker" and self.random.random() < 0.5:
                fault.update(nodes=())
        if kind in ("silence", "reset"):
            fault.update(scope=self.random.choice(("store", "worker", "link")))
        return Fault(**fault)

    async def play(self, site):
        begin = time.monotonic()
        tasks = []
        try:
            for fault in self.events:
                await asyncio.sleep(max(0.0, begin + fault.at - time.monotonic()))
                tasks.append(asyncio.create_task(inject(site, fault)))
            await asyncio.sleep(max(0.0, begin + self.options.seconds - time.monotonic()))
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()


def owner_of(site):
    """The node that claimed the cell last."""
    records = site.store.parts["keyed.claims", 0].records
    names = re.findall(rb"node-(\d\d)", records[-1]) if records else []
    return int(names[0]) if names else 0


async def on_node(node, action):
    """One thing at a time is done to a process; a fault that meets another one is left out."""
    if node.lock.locked():
        return
    async with node.lock:
        await action()


async def inject(site, fault):
    if fault.kind == "teams":  # a change of teams is no fault
        await _inject(site, fault)
        return
    site.active_faults += 1
    try:
        await _inject(site, fault)
    finally:
        site.active_faults -= 1
        site.calm_since = time.monotonic()


async def _inject(site, fault):
    indexes = {owner_of(site) if n == OWNER else n for n in fault.nodes}
    nodes = [site.nodes[n] for n in sorted(indexes)] or site.nodes

    async def restart(node, end):
        await end()
        await asyncio.sleep(fault.pause)
        await node.start()

    async def kill_behind_owner(owner):
        # Calls wait at the owner when their node is killed.
        await asyncio.sleep(0.05)
        members = [n for n in nodes if n is not owner]
        await asyncio.gather(*(on_node(n, lambda n=n: restart(n, n.kill)) for n in members))

    if fault.kind == "stop":
        await asyncio.gather(*(on_node(n, lambda n=n: restart(n, n.stop)) for n in nodes))
    elif fault.kind == "kill":
        await asyncio.gather(*(on_node(n, lambda n=n: restart(n, n.kill)) for n in nodes))
    elif fault.kind == "rebirth":
        owner = site.nodes[owner_of(site)]
        await asyncio.gather(on_node(owner, lambda: owner.freeze(fault.seconds)), kill_behind_owner(owner))
    elif fault.kind == "freeze":
        await asyncio.gather(*(on_node(n, lambda n=n: n.freeze(fault.seconds)) for n in nodes))
    elif fault.kind == "reload":
        await asyncio.gather(*(on_node(n, n.reload) for n in nodes))
    elif fault.kind == "config":
        site.extra = [n for n in range(6) if site.random.random() < 0.5]
        site.publish()
    elif fault.kind == "teams":
        site.teams.change()
        site.publish()
    elif fault.kind == "redeal":
        site.store.redeal()
    elif fault.kind == "silence":
        site.network.silence(fault.scope, indexes)
    elif fault.kind == "reset":
        site.network.reset(fault.scope, indexes)
    elif fault.kind == "resize":
        await asyncio.gather(*(site.cluster.workers[w].resize(fault.share, fault.seconds) for w in fault.workers))
    elif fault.kind == "fail-all":
        await asyncio.gather(*(site.cluster.workers[w].fail_all(fault.seconds) for w in fault.workers))
    elif fault.kind == "restart":
        await asyncio.gather(*(site.cluster.restart(w, fault.pause, fault.effect == "dark") for w in fault.workers))
    elif fault.kind in ("crash", "drain"):
        await asyncio.gather(*(site.cluster.rebirth(w, fault.pause, fault.kind == "drain") for w in fault.workers))
    else:
        targets = frozenset(fault.workers) if fault.kind == "worker" else frozenset()
        late = fault.effect == "late"
        rule = net.Rule(fault.kind, fault.effect, 3.0 if late else fault.pause, fault.share, frozenset(indexes),
                        targets)
        site.network.rules.append(rule)
        if fault.effect == "cut":
            site.network.silence(fault.kind, indexes, targets)
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            site.network.rules.remove(rule)
