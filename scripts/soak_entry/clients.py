"""Callers that submit jobs, ask for their states and cancel them, and check every answer."""

import asyncio
import json
import time

from . import net
from .judge import Job
from .shapes import draw_mixed_job
from .teams import OPEN_QUEUE

HOST = "yard.example"
DEADLINE_MS = 4000
# A caller stays for longer than its deadline, to see whether an answer comes at all.
ANSWER_S = 15.0
# A connection that ends sooner after the last byte of a request may have ended before that was read.
LOSS_SLACK_S = 0.2
ATTEMPTS = 6
CRLF = "\r\n"


class Unanswered(Exception):
    """A request that got no answer; `sent` is whether it may have been read."""

    def __init__(self, sent):
        super().__init__()
        self.sent = sent


class Caller:
    """One client with one open connection, which stays with its node until that closes it."""

    def __init__(self, site, random, only=None):
        self.site, self.random = site, random
        self.only = only  # the one node that it calls, if any
        self.node = self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def _connect(self, avoid=None):
        nodes = [n for n in self.site.nodes if n.ready and n is not avoid] or self.site.nodes
        self.node = self.only or self.random.choice(nodes)
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.node.address, self.site.front_port), 2)
        except (OSError, asyncio.TimeoutError):
            self.writer = None
            await asyncio.sleep(0.05)
            raise Unanswered(False) from None

    async def call(self, method, path, body=None, avoid=None, headers=(), judged=True):
        """Sends a call with header lines; `judged` is whether its queue needs a key."""
        if avoid is not None and self.node is avoid:
            self.close()
        await asyncio.sleep(0)
        if self.writer is not None and self.reader.at_eof():
            self.close()
        if self.writer is None:
            await self._connect(avoid)
        node, what, starts = self.node, f"{method} {path} at {self.node.name}", self.node.starts
        payload = json.dumps(body).encode() if body is not None else b""
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
                          f"{''.join(line + CRLF for line in headers)}"
                          f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(payload)}\r\n\r\n".encode() + payload)
        sent = time.monotonic()
        try:
            line, answer, text = await asyncio.wait_for(net.read_message(self.reader), ANSWER_S)
        except asyncio.TimeoutError:
            self.close()
            self.site.judge.violate("LOST", f"{what}: no answer after {ANSWER_S} s")
            raise Unanswered(True) from None
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            waited = time.monotonic() - sent - self.site.stalled_since(sent)
            self.site.judge.counts["broken"] += 1
            if waited > LOSS_SLACK_S and node.killed_at < sent:
                self.site.judge.violate("LOST", f"{what}: the connection ended {waited:.3f} s after the request "
                                                f"({type(error).__name__}), and the process was not killed")
            raise Unanswered(True) from None
        if answer.get("connection", "").lower() == "close":
            self.close()
        status = int(line.split(" ")[1])
        self.site.judge.counts[f"{method} {status}"] += 1
        if self.site.teams and judged:
            self.site.teams.answered(what, headers, sent, node, starts, status)
        waited = time.monotonic() - sent
        if waited > DEADLINE_MS / 1000:
            self.site.judge.counts["answers_over_deadline"] += 1
        return status, json.loads(text or b"{}")


class Client:
    """One caller's loop: a job after another, and questions about earlier ones."""

    def __init__(self, site, random):
        self.site, self.random = site, random
        self.caller = Caller(site, random)

    async def run(self, until):
        while time.monotonic() < until:
            job = await self._submit()
            for _ in range(self.random.randrange(4)):
                await asyncio.sleep(self.random.uniform(0.05, 0.4))
                if job.accepted_at and time.monotonic() < until:
                    await self.ask(job)
            if job.accepted_at and self.random.random() < 0.08:
                await self.cancel(job)
            if self.random.random() < 0.3:
                await self._count(job)
        self.caller.close()

    def _headers(self, job, any_key=False):
        """The header lines that tell the caller of a job; a queue that needs no key is called with any."""
        if not self.site.teams:
            return ()
        if not job.team:
            return self.site.teams.unknown_headers(self.random)
        return self.site.teams.headers_of(job.team, self.random if any_key else None)

    async def _attempt(self, job, avoid=None, headers=None):
        """Returns the status of an attempt to submit a job, or None where it got no answer."""
        judge = self.site.judge
        job.open_attempts += 1
        sent = False
        answer = "none"
        try:
            answer, _ = await self.caller.call("POST", job.queue + job.name, job.body, avoid,
                                               self._headers(job, any_key=True) if headers is None else headers,
                                               bool(job.team))
            if 200 <= answer < 300:
                job.accepted_at = job.accepted_at or time.monotonic()
            elif answer in (400, 404, 405, 413):
                judge.violate("CONFIG", f"POST of {job.name} at {self.caller.node.name}: status {answer}")
        except Unanswered as error:
            sent = error.sent
        finally:
            job.open_attempts -= 1
            if answer != "none" or sent:
                job.answers.append(answer)
        return answer

    async def _submit(self):
        queue = self.random.choice(list(self.site.shape.queues))
        name = f"{self.random.getrandbits(64):016x}"
        return await self.submit(name, queue, draw_mixed_job(self.random))

    async def submit(self, name, queue, body, may_crash=True, team="", headers=None):
        """Hands a job in until it is accepted or refused."""
        job = Job(name, queue, body, self.site.shape.max_attempts(queue))
        if self.site.teams and queue != OPEN_QUEUE:
            job.team = team or self.site.teams.draw_team(self.random)
        job.crashes = self.site.draw_crashes(job.body) if may_crash else {}
        job.sent_at = time.monotonic()
        self.site.judge.jobs[job.name] = job
        avoid = None
        for _ in range(ATTEMPTS):
            answer = await self._attempt(job, avoid, headers)
            if answer not in ("none", 502, 504):
                break
            avoid = self.caller.node
            await asyncio.sleep(0.1)
        if job.accepted_at and self.random.random() < 0.15:
            self.site.network.spawn(self._repeat(job, self.random.uniform(0.0, 3.0)))
        return job

    async def _repeat(self, job, pause):
        """The same submission arrives again, at any node."""
        await asyncio.sleep(pause)
        again = Client(self.site, self.random)
        await again._attempt(job)
        again.caller.close()

    async def ask(self, job):
        """Returns whether the job's state was told."""
        asked = time.monotonic()
        try:
            status, body = await self.caller.call("GET", job.queue + job.name, headers=self._headers(job),
                                                   judged=bool(job.team))
        except Unanswered:
            return False
        if status == 404:
            self.site.judge.violate("CONFIG", f"GET {job.queue}{job.name} at {self.caller.node.name}: 404")
        if status not in (200, 410):
            return False
        self.site.judge.shown(job, body["state"] if status == 200 else None, self.caller.node.name, asked)
        return True

    async def cancel(self, job):
        job.cancel_sent_at = job.cancel_sent_at or time.monotonic()
        for _ in range(ATTEMPTS):
            try:
                status, _ = await self.caller.call("DELETE", job.queue + job.name, headers=self._headers(job),
                                                   judged=bool(job.team))
            except Unanswered:
                continue
            if status == 410 and job.state != "completed":
                self.site.judge.violate("LOST", f"DELETE of {job.name} at {self.caller.node.name}: 410")
            if 200 <= status < 300:
                job.cancelled_at = time.monotonic()
                return
            await asyncio.sleep(0.2)

    async def _count(self, job):
        try:
            status, _ = await self.caller.call("GET", job.queue, headers=self._headers(job), judged=bool(job.team))
        except Unanswered:
            return
        if status == 404:
            self.site.judge.violate("CONFIG", f"GET {job.queue} at {self.caller.node.name}: 404")
