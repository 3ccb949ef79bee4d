"""What a run is made of: its workers, its queues, and the jobs that callers hand in."""

import math
import time
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Queue:
    service: str
    max_attempts: int
    priority: int = 0
    stretch: float = 3
    slo_ms: int = 2000


@dataclass(frozen=True)
class Amount:
    """A log-normal amount; `spread` is its standard deviation as a part of the mean."""

    mean: float
    spread: float
    most: float

    def draw(self, random):
        sigma = math.sqrt(math.log(1 + self.spread ** 2))
        return min(self.most, random.lognormvariate(math.log(self.mean) - sigma ** 2 / 2, sigma))


@dataclass(frozen=True)
class Kind:
    """One kind of job."""

    queue: str
    rate: float  # jobs a second
    steps: Amount
    width: Amount
    cpu: Amount
    mem_mb: Amount
    work_ms: Amount
    gangs: float = 0.0  # shares of its steps
    checkpoints: float = 0.0
    spread_out: float = 0.0
    may_crash: bool = True  # whether some of its tasks crash their workers

    def draw(self, random):
        steps = []
        for n in range(max(1, round(self.steps.draw(random)))):
            step = {"count": max(1, round(self.width.draw(random))), "cpu": round(self.cpu.draw(random)),
                    "mem_mb": round(self.mem_mb.draw(random)), "estimated_ms": max(50, round(self.work_ms.draw(random)))}
            if n:
                step["after"] = [n - 1]
            if random.random() < self.gangs:
                step["gang"] = True
            if random.random() < self.checkpoints:
                step["checkpointing"] = True
            if random.random() < self.spread_out:
                step["anti_affinity"] = 2
            steps.append(step)
        return {"spec": f"spec-{random.randrange(1 << 30)}", "steps": steps}


def draw_mixed_job(random):
    """A body of a job: steps, gangs, checkpoints, labels and times."""
    steps = []
    for n in range(random.choice((1, 1, 2, 3))):
        step = {"count": random.choice((1, 2, 4, 8)), "cpu": random.choice((250, 500, 1000, 2000)),
                "mem_mb": random.choice((128, 512, 1024)), "estimated_ms": random.choice((100, 300, 600, 1500))}
        if n and random.random() < 0.8:
            step["after"] = [n - 1]
        kind = random.random()
        if kind < 0.15:
            step["gang"] = True
            step["count"] = random.choice((2, 3, 5))
        elif kind < 0.4:
            step["checkpointing"] = True
        if random.random() < 0.15:
            step["required_label"] = random.choice(("kind-a", "kind-b"))
        if random.random() < 0.15:
            step["anti_affinity"] = random.choice((1, 2))
        if random.random() < 0.2:
            step["affinity"] = "r0"
        steps.append(step)
    body = {"spec": f"spec-{random.randrange(1 << 30)}", "steps": steps}
    if random.random() < 0.08:
        body.update(repeats=2, start_at_ms=int(time.time() * 1000) + 500, interval_ms=random.choice((300, 1500)))
    return body


@dataclass(frozen=True)
class Shape:
    nodes: int
    workers: int
    rack: int  # workers of a rack
    capacity: dict
    queues: dict
    kinds: tuple = ()  # empty for mixed jobs, each caller one after the other
    beside_restarts: tuple = ()  # kinds of jobs that outlive leases, handed in where workers restart
    stop_s: float = 0.2
    restore_s: float = 0.6
    checkpoint_s: float = 0.5
    failure_share: float = 0.03
    gang_failure_share: float = 0.05  # of the runs of gangs

    @property
    def services(self):
        return tuple(sorted({queue.service for queue in self.queues.values()}))

    def max_attempts(self, queue):
        return self.queues[queue].max_attempts


def long_running_job(random, queue, count):
    """Tasks that run until their job is cancelled."""
    return queue, {"spec": f"spec-{random.randrange(1 << 30)}",
                   "steps": [{"count": count, "cpu": 1000, "mem_mb": 1024, "estimated_ms": 1000, "long_running": True}]}


MIXED = Shape(
    nodes=8, workers=80, rack=8, capacity={"cpu": 4000, "mem_mb": 8192, "gpu": 0},
    queues={"/batch/": Queue("svc-a", 6, priority=0), "/urgent/": Queue("svc-b", 6, priority=1)},
    beside_restarts=(
        Kind("/batch/", 2.0, steps=Amount(1, 0, 1), width=Amount(5, 0.4, 10), cpu=Amount(1000, 0, 1000),
             mem_mb=Amount(512, 0, 512), work_ms=Amount(10000, 0.15, 12000), may_crash=False),))

# A batch yard: wide gangs of seconds, wide steps, and many short pairs, on few large workers.
YARD = Shape(
    nodes=9, workers=48, rack=6, capacity={"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    queues={"/runs/": Queue("yard", 2, priority=1, stretch=2.2, slo_ms=1000),
            "/checks/": Queue("yard", 4, priority=2, stretch=4.0, slo_ms=3000),
            "/renders/": Queue("yard", 3, priority=0, stretch=1.5, slo_ms=250)},
    kinds=(
        Kind("/runs/", 1.3, steps=Amount(1.2, 0.4, 3), width=Amount(6.4, 0.6, 32), cpu=Amount(4500, 0.4, 7600),
             mem_mb=Amount(8000, 0.5, 16000), work_ms=Amount(5300, 0.5, 56000), gangs=1.0, checkpoints=0.5),
        Kind("/checks/", 4.79, steps=Amount(1.5, 0.4, 3.8), width=Amount(10, 0.8, 60), cpu=Amount(980, 0.45, 2900),
             mem_mb=Amount(1000, 0.6, 3000), work_ms=Amount(2300, 0.5, 24000), checkpoints=0.8, spread_out=0.12,
             may_crash=False),
        Kind("/renders/", 34.0, steps=Amount(1, 0, 1), width=Amount(2, 0.8, 12), cpu=Amount(1400, 0.45, 4200),
             mem_mb=Amount(2000, 0.6, 6000), work_ms=Amount(680, 0.5, 7200), gangs=0.3)),
    stop_s=0.9, restore_s=0.1, checkpoint_s=1.0, failure_share=0.01)

SHAPES = {"mixed": MIXED, "yard": YARD}
