"""Many short tasks end on one worker while the store is down."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import yard  # noqa: E402

JOBS, TASKS = 14, 60
OUTAGE_S = 4.2
SHORTEST_S, LONGEST_S = 2.0, 4.0


class Judge(yard.Judge):
    """TWICE: a start after a run has ended `done`, if that end is taken note of then or later."""

    def __init__(self, site):
        super().__init__(site)
        self.began = set()
        self.done = {}  # task -> (worker, number of its end)
        self.tasks_of = {}  # (worker, number of an end) -> task
        self.noted_ends = set()
        self.void = set()  # ends that were not acknowledged when the lease lapsed
        self.later = {}  # task -> starts after its end

    def started(self, worker, run, order):
        self.began.add(run.task)
        if run.task in self.done:
            self.later.setdefault(run.task, []).append((worker.id, run.number))

    def ended(self, worker, run, how, number):
        if how == "done":
            self.done.setdefault(run.task, (worker.id, number))
            self.tasks_of[worker.id, number] = run.task

    def noted(self, worker, number):
        self.noted_ends.add((worker.id, number))

    def lapsed(self, worker):
        self.void |= {end for end in self.tasks_of if end[0] == worker.id and end not in self.noted_ends}

    def finish(self):
        for task, starts in sorted(self.later.items()):
            end = self.done[task]
            if end in self.noted_ends and end not in self.void:
                self.violate(f"TWICE: {task} ended done on {end[0]} as end {end[1]}, which was acknowledged, "
                             f"and was started afterwards: {starts}")


class Site(yard.Yard):
    def work_s(self, task, step):
        job, _, _, index = task.split(".")
        part = (int(job[-2:], 16) * TASKS + int(index)) * 7919 % 1000 / 1000
        return SHORTEST_S + (LONGEST_S - SHORTEST_S) * part


async def scenario(site, trouble):
    judge = site.judge
    names = [f"5c0e7a21d94b36{n:02x}" for n in range(JOBS)]
    body = {"spec": "fleet check", "steps": [{"count": TASKS, "cpu": 18, "mem_mb": 32, "estimated_ms": 3000}]}
    for name in names:
        if not await site.submit(name, body):
            return False
    end = time.monotonic() + 10
    while len(judge.began) < JOBS * TASKS and time.monotonic() < end:
        await asyncio.sleep(0.02)
    site.record(f"{len(judge.began)} tasks have begun, {len(judge.done)} are done")
    if trouble:
        await site.store_down(OUTAGE_S)
    open_jobs = set(names)
    end = time.monotonic() + 30
    while open_jobs and time.monotonic() < end:
        for name in sorted(open_jobs):
            _, answer = await site.call("GET", yard.QUEUE + name)
            if answer.get("state") == "completed":
                open_jobs.discard(name)
        await asyncio.sleep(0.3)
    await asyncio.sleep(2.0)
    judge.finish()
    site.record(f"{len(judge.began)} tasks began, {len(judge.done)} ended done, {len(judge.later)} were started after "
                f"that, {len(open_jobs)} jobs are still open")
    return not open_jobs


def make(folder, record):
    return Site(folder, record, "review-1", nodes=3, racks=["r1-1"] * 3, judge=Judge)


if __name__ == "__main__":
    sys.exit(yard.play(HERE, make, scenario))
