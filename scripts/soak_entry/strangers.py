"""Callers without a valid key: unknown keys, withdrawn ones, and those of another team than a job's."""

import asyncio
import random
import time

from .clients import Caller, Client, Unanswered
from .judge import Job
from .shapes import draw_mixed_job
from .teams import APPLY_S, OPEN_QUEUE, STRETCH_S

STRANGERS = 4
PAUSE_S = (0.02, 0.2)
# Without faults, every node refuses and accepts keys as the newest configuration says within this time.
REFUSE_S = 10.0


async def run_strangers(site, until):
    await asyncio.gather(*(_Stranger(site, n).run(until) for n in range(STRANGERS)))


class _Stranger:
    def __init__(self, site, number):
        self.site = site
        self.random = random.Random(f"{site.seed}/stranger{number}")
        self.client = Client(site, self.random)

    async def run(self, until):
        while time.monotonic() < until:
            await self.random.choice((self._use_unknown, self._use_withdrawn, self._use_other_team))()
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
        self.client.caller.close()

    def _queue(self):
        return self.random.choice([q for q in self.site.shape.queues if q != OPEN_QUEUE])

    def _accepted_job(self):
        jobs = [j for j in self.site.judge.jobs.values() if j.accepted_at and j.team]
        return self.random.choice(jobs) if jobs else None

    async def _use_unknown(self):
        headers = self.site.teams.unknown_headers(self.random)
        job = self._accepted_job()
        if job and self.random.random() < 0.5:
            await self._call(self.random.choice(("GET", "DELETE", "POST")), job, headers)
            return
        job = Job(f"{self.random.getrandbits(64):016x}", self._queue(), draw_mixed_job(self.random), 1,
                  team=next(iter(self.site.teams.teams)), may_run=False)
        self.site.judge.jobs[job.name] = job
        await self.client._attempt(job, headers=headers)

    async def _use_withdrawn(self):
        keys = self.site.teams.withdrawn()
        if not keys:
            return
        key = self.random.choice(keys)
        await self.client.submit(f"{self.random.getrandbits(64):016x}", self._queue(), draw_mixed_job(self.random),
                                 team=key.team, headers=(f"Authorization: Bearer {key.value}",))

    async def _use_other_team(self):
        job = self._accepted_job()
        others = [t for t in self.site.teams.teams if job and t != job.team]
        if not others:
            return
        method = self.random.choice(("GET", "DELETE", "POST"))
        status = await self._call(method, job, self.site.teams.headers_of(self.random.choice(others)))
        if status is not None and 200 <= status < 300:
            self.site.judge.violate("KEY", f"{method} of {job.name} of {job.team}: {status} with another team's key")

    async def _call(self, method, job, headers):
        try:
            status, _ = await self.client.caller.call(method, job.queue + job.name,
                                                      job.body if method == "POST" else None, headers=headers)
        except Unanswered:
            return None
        return status


async def check_refusals(site):
    """Without faults, each node refuses unknown and withdrawn keys with 401 and accepts the others."""
    draw = random.Random(f"{site.seed}/refusals")
    teams = site.teams
    now = time.monotonic()
    withdrawn = [k for k in teams.withdrawn() if now - k.withdrawn_at > APPLY_S + STRETCH_S]
    calls = [(401, teams.unknown_headers(draw)) for _ in range(6)]
    calls += [(401, (f"Authorization: Bearer {key.value}",)) for key in withdrawn[:6]]
    calls += [(200, teams.headers_of(team)) for team in list(teams.teams)[:3]]
    queue = next(q for q in site.shape.queues if q != OPEN_QUEUE)

    async def check(node):
        caller = Caller(site, draw, only=node)
        end = time.monotonic() + REFUSE_S
        for wanted, headers in calls:
            status = None
            while status != wanted and time.monotonic() < end:
                try:
                    status, _ = await caller.call("GET", queue, headers=headers)
                except Unanswered:
                    pass
                if status != wanted:
                    await asyncio.sleep(0.2)
            if status != wanted:
                site.judge.violate("KEY", f"GET {queue} at {node.name} without faults: status {status}, not {wanted}")
        caller.close()

    await asyncio.gather(*(check(node) for node in site.nodes))
    site.judge.counts["check_refusals_ms"] = int(1000 * (time.monotonic() - now))
    site.judge.counts["keys_withdrawn"] = len(teams.withdrawn())
