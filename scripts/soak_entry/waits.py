"""The waits of tasks whose turn has come, held against the users' bounds."""

import asyncio
import time

INTERVAL_S = 0.1
# A job may have nothing running for so long while there is room, judged from so long after the load on.
WAIT_S = 3.0
FINISH_S = 14.0
# A long-running task is back at work this long after its last run.
AWAY_S = 6.0
# Without faults for so long, the bounds of long-running tasks hold.
CALM_S = 7.0


class Waits:
    def __init__(self, site):
        self.site = site
        self.judges_jobs = False  # the load has ended for long enough
        self.idle_since = {}  # job, or task that runs long -> since when it has nothing running, although it could
        self.reported = set()
        self.longest = {"wait": 0.0, "away": 0.0}

    async def watch(self):
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._look(time.monotonic())

    def _look(self, now):
        site = self.site
        calm = not site.active_faults and now - site.calm_since >= CALM_S
        use = self._use()
        for job in site.judge.jobs.values():
            if not job.accepted_at or job.cancel_sent_at or job.state in ("completed", "failed"):
                continue
            if job.is_long_running():
                self._look_at_long_running(job, use, now, calm)
            elif not job.crashes:
                self._look_at_job(job, use, now)

    def _use(self):
        """The workers of each service with what is free there, and the larger share of what is in use."""
        use = {}
        for worker in self.site.cluster.workers:
            if worker.up and not worker.draining_until:
                used = worker.used()
                free = {r: worker.capacity[r] - used[r] for r in used}
                use.setdefault(worker.service, []).append((worker, used, free))
        shares = {}
        for service, rows in use.items():
            total = {r: sum(w.capacity[r] for w, _, _ in rows) for r in ("cpu", "mem_mb")}
            shares[service] = max(sum(u[r] for _, u, _ in rows) / max(1, total[r]) for r in total)
        return use, shares

    def _has_room(self, job, step, use):
        """Whether under half of the service is in use, and what is free suffices twice over."""
        rows, shares = use
        service = self.site.judge.pools[job.queue]
        if shares.get(service, 1.0) >= 0.5:
            return False
        needed = 2 * (step["count"] if step.get("gang") else 1)
        if self.site.teams:
            room = self.site.teams.room(job)
            if any(needed * step.get(r, 0) > room[r] for r in room):
                return False
        slots = 0
        for worker, _, free in rows[service]:
            if step.get("required_label") and step["required_label"] not in worker.labels:
                continue
            fits = min(free[r] // step[r] for r in ("cpu", "mem_mb") if step.get(r))
            slots += max(0, min(fits, step.get("anti_affinity", fits)))
        return slots >= needed

    def _look_at_job(self, job, use, now):
        waiting = next((k for k in job.wanted() if not job.is_done(k) and job.is_due(k)), None)
        idle = waiting is not None and not any(task.running for task in job.tasks.values())
        if not idle or not self._has_room(job, job.body["steps"][waiting[1]], use):
            self.idle_since.pop(job.name, None)
            return
        waited = now - self.idle_since.setdefault(job.name, now)
        self.longest["wait"] = max(self.longest["wait"], waited)
        if self.judges_jobs and waited >= WAIT_S:
            self._report(job.name, f"job {job.name}: nothing has run for {waited:.1f} s, and there is room")

    def _look_at_long_running(self, job, use, now, calm):
        for key in job.wanted():
            task = job.tasks[key]
            name = f"{job.name}.{'.'.join(map(str, key))}"
            if task.running:
                self.reported.discard(name)
                continue
            since = max(task.last_end_at, job.accepted_at)
            self.longest["away"] = max(self.longest["away"], now - since)
            if calm and now - since >= AWAY_S:
                self._report(name, f"long-running task {name}: not at work for {now - since:.1f} s")

    def _report(self, name, text):
        if name not in self.reported:
            self.reported.add(name)
            self.site.judge.violate("LOST", text)
