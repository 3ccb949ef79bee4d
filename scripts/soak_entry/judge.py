"""What clients and workers have seen of each job, and the rules that it is held against."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

CANCEL_S = 3.0
EARLY_S = 0.25
# A late order is carried out this long after it was sent at most, and a busy machine adds to it.
ORDER_SLACK_S = 10.0
# States that a job keeps. One that was forgotten had ended for longer than the nodes keep outcomes.
FORGOTTEN = "forgotten"
ENDED = ("completed", "failed", "cancelled", FORGOTTEN)
# A task that has crashed this many workers may be started so many times more.
KNOWN_CRASHES = 3
STARTS_AFTER_CRASHES = 2


@dataclass
class Task:
    running: set = field(default_factory=set)
    failed: set = field(default_factory=set)  # runs with an end `failed` that a worker has listed
    failed_noted: list = field(default_factory=list)  # (run, when its end was noted)
    done: bool = False  # an end `done` was listed
    done_noted: bool = False
    done_ends: dict = field(default_factory=dict)  # (life of a worker, number of the end) -> starts after it
    checkpoints: set = field(default_factory=set)
    starts: int = 0
    last_end_at: float = 0.0  # when its last run ended
    crashes: int = 0  # workers that it crashed
    starts_after_crashes: int = 0


@dataclass
class Job:
    name: str
    queue: str
    body: dict
    max_attempts: int
    team: str = ""  # of the caller; empty where the queue needs no key
    may_run: bool = True  # whether any of its callers has a key
    sent_at: float = 0.0
    answers: list = field(default_factory=list)  # one for each attempt that has ended: a status, or "none"
    open_attempts: int = 0
    accepted_at: float = 0.0
    last_end_at: float = 0.0  # when the last run of one of its tasks ended
    cancel_sent_at: float = 0.0
    cancelled_at: float = 0.0
    state: str = ""
    crashes: dict = field(default_factory=dict)  # (step, index) of a task that crashes its workers -> s after a start
    tasks: dict = field(default_factory=lambda: defaultdict(Task))  # (occurrence, step, index)

    def refused(self):
        return (not self.open_attempts and bool(self.answers) and
                all(a in (401, 404, 429, 503) for a in self.answers))

    def wanted(self):
        occurrences = range(max(1, self.body.get("repeats", 0)))
        return [(k, s, i) for k in occurrences for s, step in enumerate(self.body["steps"])
                for i in range(step.get("count", 1))]

    def members(self, key):
        """A task alone, or all members of its gang."""
        k, s, _ = key
        step = self.body["steps"][s]
        return [(k, s, i) for i in range(step["count"])] if step.get("gang") else [key]

    def failures(self, key):
        """How many runs of a task have failed, or of its gang; members that fail in one run count once."""
        return len(set().union(*(self.tasks[m].failed for m in self.members(key) if m in self.tasks)))

    def failures_noted(self, key, before):
        """How many runs of a task, or of its gang, were noted as failed before a time."""
        return len({run for m in self.members(key) if m in self.tasks
                    for run, at in self.tasks[m].failed_noted if at < before})

    def may_have_failed(self):
        return any(task.crashes >= 2 or (not self.is_long_running() and self.failures(key) >= self.max_attempts)
                   for key, task in self.tasks.items())

    def is_long_running(self):
        return any(step.get("long_running") for step in self.body["steps"])

    def is_due(self, key):
        """Whether the turn of a task has come."""
        k, s, _ = key
        if self.body.get("repeats") and time.time() * 1000 < self.body["start_at_ms"] + k * self.body["interval_ms"]:
            return False
        return all(self.is_done((k, e, i)) for e in self.body["steps"][s].get("after", [])
                   for i in range(self.body["steps"][e]["count"]))

    def is_done(self, key):
        """Whether the end of a task, or for a gang the end of one of its members, was listed as done."""
        k, s, _ = key
        step = self.body["steps"][s]
        if step.get("gang"):
            return any(self.tasks[k, s, i].done for i in range(step["count"]))
        return self.tasks[key].done


class Judge:
    def __init__(self, pools, retention_s):
        self.pools = pools  # queue -> service of its workers
        self.retention_s = retention_s
        self.teams = None  # for runs with teams
        self.jobs = {}
        self.violations = []
        self.counts = Counter()
        self.begin = time.monotonic()

    def violate(self, rule, text):
        self.violations.append(f"{time.monotonic() - self.begin:.2f} s: {rule}: {text}")

    def split(self, name):
        job, k, step, index = name.split(".")
        return self.jobs.get(job), (int(k), int(step), int(index))

    def started(self, run, order, worker, received):
        """A worker has begun a task whose order arrived at a time."""
        self.counts["starts"] += 1
        job, key = self.split(run.task)
        what = f"{run.task} run {run.number} on {worker.name()}"
        if job is None or key not in set(job.wanted()):
            self.violate("UNASKED", f"{what} was never submitted")
            return
        k, s, _ = key
        step = job.body["steps"][s]
        task = job.tasks[key]
        now = time.monotonic()
        task.starts += 1
        if order["spec"] != job.body["spec"]:
            self.violate("UNASKED", f"{what} has another spec")
        if order.get("checkpoint") and not any(
                order["checkpoint"] in job.tasks[k, s, i].checkpoints
                for i in (range(step["count"]) if step.get("gang") else [key[2]])):
            self.violate("UNASKED", f"{what} has a checkpoint that is not the task's")
        if worker.service != self.pools[job.queue]:
            self.violate("ROUTE", f"{what} of {worker.service}, queue {job.queue}")
        if step.get("required_label") and step["required_label"] not in worker.labels:
            self.violate("ROUTE", f"{what} lacks label {step['required_label']}")
        limit = step.get("anti_affinity")
        beside = sum(1 for r in worker.running.values() if r.task.rsplit(".", 1)[0] == run.task.rsplit(".", 1)[0])
        if limit and beside > limit:
            self.violate("ROUTE", f"{what}: {beside} tasks of the step on one worker, limit {limit}")
        if not job.may_run:
            self.violate("KEY", f"{what}: no call that submits it has a key")
        if job.refused():
            self.violate("REFUSED", f"{what}: all attempts to submit it were refused: {job.answers}")
        for earlier in step.get("after", []):
            missing = [e for e in job.wanted() if e[0] == k and e[1] == earlier and not job.is_done(e)]
            if missing:
                self.violate("ORDER", f"{what}: {missing[0]} is not done")
        if job.body.get("repeats"):
            due = job.body["start_at_ms"] + k * job.body["interval_ms"]
            if time.time() * 1000 < due - EARLY_S * 1000:
                self.violate("ORDER", f"{what}: {due - time.time() * 1000:.0f} ms early")
        for other in list(task.running):
            other.worker.check_lease()
        if task.running:
            others = ", ".join(f"run {r.number} on {r.worker.name()}" for r in task.running)
            self.violate("TWICE", f"{what} beside {others}")
        if self._noted(job, key):
            self.violate("TWICE", f"{what}: it was done before, and that was acknowledged")
        for member in job.members(key):
            for starts in job.tasks[member].done_ends.values():
                starts.append(what)
        if len(task.failed_noted) >= job.max_attempts and not job.is_long_running():
            self.violate("BUDGET", f"{what}: it has failed {len(task.failed_noted)} times")
        elif job.failures_noted(key, received) >= job.max_attempts and not job.is_long_running():
            self.violate("BUDGET", f"{what}: its gang has failed {job.failures_noted(key, received)} times")
        if task.crashes >= KNOWN_CRASHES:
            task.starts_after_crashes += 1
            if task.starts_after_crashes > STARTS_AFTER_CRASHES:
                self.violate("BUDGET", f"{what}: it has crashed {task.crashes} workers")
        if job.cancelled_at and now > job.cancelled_at + CANCEL_S + ORDER_SLACK_S:
            self.violate("UNASKED", f"{what}: cancelled {now - job.cancelled_at:.1f} s before")
        used = worker.used()
        capacity = worker.largest_capacity()
        if any(used[r] > capacity[r] for r in used):
            self.violate("LIMIT", f"{what}: {used} is over {capacity}: {sorted(worker.running)}")
        if self.teams:
            self.teams.started(job, step, what, received)
        task.running.add(run)

    def crashed_by(self, run):
        """A task has crashed its worker."""
        job, key = self.split(run.task)
        job.tasks[key].crashes += 1
        self.counts["crashes_by_tasks"] += 1
        self.counts["most_crashes_by_a_task"] = max(self.counts["most_crashes_by_a_task"], job.tasks[key].crashes)

    @staticmethod
    def _noted(job, key):
        """Whether the end of a task as done was noted; one member's is that of its gang."""
        return any(job.tasks[member].done_noted for member in job.members(key))

    def ended(self, run, how, number):
        job, key = self.split(run.task)
        if job is None:
            return
        task = job.tasks[key]
        if self.teams and run in task.running:
            self.teams.ended(job, job.body["steps"][key[1]])
        task.running.discard(run)
        job.last_end_at = task.last_end_at = time.monotonic()
        self.counts[how] += 1
        if how == "done":
            task.done = True
            task.done_ends[run.worker.name(), number] = []
        elif how == "failed":
            task.failed.add(run.number)

    def noted(self, name, run, how, worker, number):
        """An end was acknowledged by the system while the lease of its worker held."""
        job, key = self.split(name)
        if job is None:
            return
        task = job.tasks[key]
        if how == "done":
            task.done_noted = True
            for what in task.done_ends.pop((worker, number), []):
                self.violate("TWICE", f"{what}: done on {worker} before, and that was acknowledged later")
        elif how == "failed":
            task.failed_noted.append((run, time.monotonic()))

    def shown(self, job, state, node, asked_at):
        """A client was told a job's state; None is an answer 410."""
        what = f"job {job.name} at {node}"
        if state is None:
            if self._may_be_forgotten(job, asked_at):
                self.counts["forgotten"] += 1
                job.state = FORGOTTEN
            elif job.accepted_at and job.accepted_at < asked_at:
                self.violate("LOST", f"{what}: 410, accepted {asked_at - job.accepted_at:.2f} s before")
            return
        if state == "completed":
            missing = [key for key in job.wanted() if not job.is_done(key)]
            if missing:
                self.violate("MIXED", f"{what}: completed, but {missing[0]} is not done")
        elif state == "failed":
            if not job.may_have_failed():
                self.violate("LOST", f"{what}: failed without cause")
        elif state == "cancelled":
            if not job.cancel_sent_at:
                self.violate("LOST", f"{what}: cancelled, but nobody asked for it")
        elif state not in ("queued", "running"):
            self.violate("MIXED", f"{what}: state {state!r}")
        if job.state in ENDED and state != job.state:
            self.violate("MIXED", f"{what}: {state} after {job.state}")
        job.state = state

    def _may_be_forgotten(self, job, now):
        """Whether a job has ended and its outcome was known for long enough."""
        if job.cancelled_at:
            return now >= job.cancelled_at + self.retention_s
        has_ended = (job.state in ENDED or job.may_have_failed() or
                     all(job.is_done(key) for key in job.wanted()))
        return has_ended and now >= job.last_end_at + self.retention_s

    def finish(self):
        """What holds at the end, when nothing is open any more."""
        for job in self.jobs.values():
            started = any(t.starts for t in job.tasks.values())
            if job.refused() and started:
                self.violate("REFUSED", f"job {job.name} ran: {job.answers}")
            if job.cancelled_at:
                left = [k for k, t in job.tasks.items() if t.running]
                if left:
                    self.violate("UNASKED", f"job {job.name} was cancelled and {left[0]} still runs")
            elif job.accepted_at and job.state not in ENDED and not job.is_long_running():
                waiting = [k for k in job.wanted() if not job.is_done(k)]
                self.violate("LOST", f"job {job.name} was accepted and is {job.state or 'unknown'} at the end; "
                                     f"not done: {waiting[:3]} of {len(job.wanted())}")

    def summary(self):
        jobs = self.jobs.values()
        accepted = [j for j in jobs if j.accepted_at]
        refused = [j for j in jobs if j.refused()]
        return (f"submitted={len(self.jobs)} accepted={len(accepted)} "
                f"completed={sum(j.state == 'completed' for j in jobs)} refused={len(refused)} "
                f"uncertain={len(self.jobs) - len(accepted) - len(refused)} violations={len(self.violations)}")
