"""The check of LOST for tasks that last."""

import time

from . import yard

# "from 6 s after its last run", "for 3 s", "if the 3 s and the 4 s before them are calm"
AFTER_RUN_S, IDLE_S, CALM_S = 6.0, 3.0, 4.0


class Judge(yard.Judge):
    """LOST: for 3 s a task that lasts doesn't run while its turn has come, there is capacity for it twice over and under
    half of the service's capacity is in use; from 6 s after its last run, while there is no disruption."""

    def __init__(self, site):
        super().__init__(site)
        self.last_run = {}  # task -> when it last ran
        self.idle_since = {}
        self.told = set()
        self.disturbed_until = 0.0

    def started(self, worker, run, order):
        self.last_run[run.task] = time.monotonic()

    def ended(self, worker, run, how, number):
        self.last_run[run.task] = time.monotonic()

    def disturbed(self):
        """A disruption is under way."""
        self.disturbed_until = time.monotonic()

    def look(self, tasks):
        now = time.monotonic()
        workers = [w for w in self.yard.workers if w.up]
        used = {w: sum(self.yard.step_of(task)["cpu"] for task in w.running) for w in workers}
        half_free = sum(used.values()) * 2 < sum(w.capacity["cpu"] for w in workers)
        calm = now - self.disturbed_until >= CALM_S + yard.BOUNDS["contact_ms"] / 1000
        for task in tasks:
            step = self.yard.step_of(task)
            runs = any(task in w.running for w in workers)
            label = step.get("required_label")
            slots = sum(self._slots(w, task, step, w.capacity["cpu"] - used[w]) for w in workers
                        if label in (None, "a", w.rack))
            due = calm and task in self.last_run and now - self.last_run[task] >= AFTER_RUN_S
            if runs or not due or not half_free or slots < 2:
                self.idle_since.pop(task, None)
                continue
            idle = now - self.idle_since.setdefault(task, now)
            if idle >= IDLE_S and task not in self.told:
                self.told.add(task)
                self.violate(f"LOST: {task} last ran {now - self.last_run[task]:.1f} s ago and doesn't run, though there "
                             f"is room for {slots} of it on the workers that may run it")

    @staticmethod
    def _slots(worker, task, step, free):
        """How many such tasks a worker could take beside what runs there."""
        slots = free // step["cpu"]
        if step.get("anti_affinity"):
            prefix = task.rsplit(".", 1)[0] + "."
            beside = sum(other.startswith(prefix) for other in worker.running)
            slots = min(slots, step["anti_affinity"] - beside)
        return max(0, slots)
