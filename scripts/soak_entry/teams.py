"""Teams, their keys, weights and quotas, the configurations that change them, and the rules of calls and starts."""

import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from .shapes import Queue

# A node may act on an earlier configuration for so long after a newer one was acknowledged, and a node that the store
# turns away for so much longer.
APPLY_S = 3.0
STRETCH_S = 6.0
REVOKE_S = 5.0
# Within one process, a withdrawn key that was refused once stays refused after so long.
REVERT_S = 0.25
QUOTA_OVERAGE = 1.1
OPEN_QUEUE = "/open/"
RESOURCES = ("cpu", "mem_mb", "gpu")
KEY_LETTERS = "ABCDEFGHJKLMNPQRSTUVWXYZabcdefghijkmnopqrstuvwxyz23456789"
KEY_LENGTH = 20
LONG_KEY_LENGTH = 10240
MOST_KEYS = 4
# Part of a service's capacity that a team may use: at first and at the end, and after a cut.
QUOTA_SHARES = (0.08, 0.2)
CUT_SHARES = (0.03, 0.06)
REFUSALS = (401, 503)


@dataclass
class Key:
    """A key of a team, and since when configurations contain it; `withdrawn_at` is 0 while the newest one does."""

    value: str
    team: str
    since: float
    withdrawn_at: float = 0.0
    permanent: bool = False  # in all configurations
    published: bool = False


@dataclass
class Team:
    name: str
    weight: int
    quota: dict
    keys: list
    load: float  # relative to the other teams'
    used: Counter = field(default_factory=Counter)  # by all runs on all workers
    quotas: list = field(default_factory=list)  # (since, quota) of all configurations


def with_open_queue(shape):
    """Adds a queue whose callers need no key."""
    return replace(shape, queues={**shape.queues, OPEN_QUEUE: Queue(shape.services[0], 6, priority=0)})


class Teams:
    """The teams of a run. A configuration is acknowledged when it is published, since the store takes it at once."""

    def __init__(self, site, count):
        self.site = site
        self.random = random.Random(f"{site.seed}/teams")
        self.keys = {}  # value -> Key
        # Two teams list this key, so it belongs to neither.
        self.shared_key = self._draw_value()
        capacity = site.shape.capacity
        self.service_capacity = {r: capacity[r] * site.options.workers // len(site.shape.services) for r in RESOURCES}
        self.teams = {}
        for n in range(count):
            team = Team(f"team-{n:02d}", self.random.randrange(1, 11), self._draw_quota(QUOTA_SHARES), [],
                        self.random.uniform(0.3, 3.0))
            self.teams[team.name] = team
            self._add_key(team, permanent=True)
            self._add_key(team)
        self.refused = {}  # (node, start of its process, key) -> when the key was first refused there

    def _draw_value(self):
        return "".join(self.random.choice(KEY_LETTERS) for _ in range(KEY_LENGTH))

    def _draw_quota(self, shares):
        if self.site.options.no_quotas:
            return {r: 0 for r in RESOURCES}
        share = self.random.uniform(*shares)
        quota = {r: int(share * self.service_capacity[r]) for r in RESOURCES}
        if self.random.random() < 0.3:
            quota["mem_mb"] = 0
        return quota

    def _add_key(self, team, permanent=False):
        key = Key(self._draw_value(), team.name, time.monotonic(), permanent=permanent)
        self.keys[key.value] = key
        team.keys.append(key)

    @staticmethod
    def bounds():
        """What the settings of a node say of configurations."""
        return {"config_apply_ms": int(1000 * APPLY_S), "max_stretch_ms": int(1000 * STRETCH_S),
                "revoke_ms": int(1000 * REVOKE_S), "strict_revoke": False, "quota_overage": 0.1}

    # What configurations contain.

    def documents(self):
        """The teams as the next configuration lists them."""
        rows = []
        for n, team in enumerate(self.teams.values()):
            keys = [key.value for key in team.keys] + ([self.shared_key] if n < 2 else [])
            rows.append({"name": team.name, "api_keys": keys, "weight": team.weight, "max_count": dict(team.quota),
                         "priority": n % 3})
        return rows

    def published(self):
        """Notes the times of what the configuration that was just published adds, withdraws and changes."""
        now = time.monotonic()
        for team in self.teams.values():
            if not team.quotas or team.quotas[-1][1] != team.quota:
                team.quotas.append((now, dict(team.quota)))
            for key in team.keys:
                if not key.published:
                    key.since, key.published = now, True
        for key in self.keys.values():
            if key not in self.teams[key.team].keys and not key.withdrawn_at:
                key.withdrawn_at = now

    def change(self):
        """Draws the next configuration: a few teams get or lose a key, or another quota or weight."""
        for team in self.random.sample(sorted(self.teams), max(1, len(self.teams) // 3)):
            team = self.teams[team]
            kind = self.random.choice(("add", "withdraw", "withdraw", "cut", "raise"))
            spare = [key for key in team.keys if not key.permanent]
            if kind == "withdraw" and spare:
                team.keys.remove(self.random.choice(spare))
            elif kind in ("add", "withdraw") and len(team.keys) < MOST_KEYS:
                self._add_key(team)
            elif kind == "cut":
                team.quota = self._draw_quota(CUT_SHARES)
            else:
                team.quota = self._draw_quota(QUOTA_SHARES)
            team.weight = self.random.randrange(1, 11)

    def raise_quotas(self):
        """Gives every team room for all that it has submitted; jobs that a cut holds back go on."""
        for team in self.teams.values():
            team.quota = self._draw_quota((QUOTA_SHARES[1], QUOTA_SHARES[1]))

    # What callers send.

    def draw_team(self, draw):
        names = sorted(self.teams)
        return draw.choices(names, [self.teams[name].load for name in names])[0]

    def headers_of(self, team, draw=None):
        """The header of a caller of a team; with `draw`, any of its keys, and one that no configuration withdraws
        without it."""
        keys = self.teams[team].keys
        return bearer(draw.choice(keys).value if draw else keys[0].value)

    def unknown_headers(self, draw):
        """Headers that name no key of any configuration."""
        known = draw.choice([key for key in self.keys.values() if not key.withdrawn_at]).value
        return draw.choice((
            (), bearer(""), bearer(self._other(known)), bearer(known + "x"), bearer(known[:-1]),
            bearer(self.shared_key), (f"Authorization: Basic {known}",), (f"Authorization: {known}",),
            bearer(known) + bearer(known), bearer("k" * LONG_KEY_LENGTH), (f"X-Api-Key: {known}",)))

    def _other(self, known):
        return known[:5] + ("A" if known[5] != "A" else "B") + known[6:]

    def withdrawn(self):
        return [key for key in self.keys.values() if key.withdrawn_at]

    # The rules.

    def _bound(self, changed_at):
        """How long after a change calls may still be handled as before it."""
        calm = not self.site.active_faults and self.site.calm_since < changed_at
        return APPLY_S if calm else APPLY_S + STRETCH_S

    def answered(self, what, headers, sent, node, starts, status):
        """Holds the answer to a call on a queue that needs a key against the configurations that may be in force."""
        judge = self.site.judge
        key = self.keys.get(headers[0].removeprefix("Authorization: Bearer ")) if len(headers) == 1 else None
        if key is None:
            judge.counts[f"unknown_key_{status}"] += 1
            if status not in REFUSALS:
                judge.violate("KEY", f"{what}: status {status} with an unknown key")
            return
        place = (node.name, starts, key.value)
        if status == 401:
            self.refused.setdefault(place, time.monotonic())
            age = sent - key.since
            if key.permanent or (not key.withdrawn_at and age > self._bound(key.since)):
                judge.violate("KEY", f"{what}: status 401 with a key that was added {age:.2f} s before")
            return
        if status == 429 or status == 503 or not key.withdrawn_at:
            return
        age = sent - key.withdrawn_at
        judge.counts["longest_withdrawn_ms"] = max(judge.counts["longest_withdrawn_ms"], int(1000 * age))
        if age > self._bound(key.withdrawn_at):
            judge.violate("KEY", f"{what}: status {status} with a key that was withdrawn {age:.2f} s before")
        refused_at = self.refused.get(place)
        if refused_at and key.withdrawn_at < refused_at < sent - REVERT_S:
            judge.violate("KEY", f"{what}: status {status}, and the key was refused there "
                                 f"{sent - refused_at:.2f} s before")

    @staticmethod
    def _quotas_in_force(team, at):
        """The quotas of the configurations that nodes may have followed at a time."""
        return [quota for n, (_, quota) in enumerate(team.quotas)
                if n + 1 == len(team.quotas) or at - team.quotas[n + 1][0] <= APPLY_S + STRETCH_S]

    def _highest_quota(self, team, at):
        rows = self._quotas_in_force(team, at)
        return {r: max(q[r] for q in rows) if all(q[r] for q in rows) else 0 for r in RESOURCES}

    def started(self, job, step, what, ordered):
        """Adds a run to what its team uses, and holds that against the quota."""
        team = self.teams.get(job.team)
        if team is None:
            return
        needed = {r: step.get(r, 0) for r in RESOURCES}
        team.used.update(needed)
        quota = self._highest_quota(team, ordered)
        judge = self.site.judge
        judge.counts["starts_of_teams"] += 1
        over = {r: team.used[r] for r in RESOURCES if quota[r] and team.used[r] > quota[r]}
        judge.counts["starts_over_quota"] += bool(over)
        if any(amount > quota[r] * QUOTA_OVERAGE + needed[r] for r, amount in over.items()):
            judge.violate("QUOTA", f"{what}: {team.name} has {over} in use, quota {quota}")

    def ended(self, job, step):
        team = self.teams.get(job.team)
        if team is not None:
            team.used.subtract({r: step.get(r, 0) for r in RESOURCES})

    def room(self, job):
        """What a job's team may use beside what it does; without a limit where it has none."""
        team = self.teams.get(job.team)
        if team is None:
            return {r: float("inf") for r in RESOURCES}
        rows = self._quotas_in_force(team, time.monotonic())
        return {r: min(q[r] - team.used[r] if q[r] else float("inf") for q in rows) for r in RESOURCES}


def bearer(key):
    return (f"Authorization: Bearer {key}",)
