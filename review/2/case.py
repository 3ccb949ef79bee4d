"""An entry process is killed and starts again while the owner, which answers the calls that it forwards, stands still
for less than a second."""

import asyncio
import pathlib
import re
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import yard  # noqa: E402

NODES, ROUNDS = 7, 21
FREEZE_S = 0.4
RESTART_S = 0.1  # from the end of a process to the start of the next
CALLS = 16
PAUSE_S = 1.2
FIRST = "5c0e7a21d94b36f8"
STEP = {"count": 1, "cpu": 1000, "mem_mb": 500, "estimated_ms": 300}


class Judge(yard.Judge):
    """LOST: finish_s after the end of the traffic jobs are asked for, and one that was accepted isn't known."""

    def __init__(self, site):
        super().__init__(site)
        self.begun = set()

    def started(self, worker, run, order):
        self.begun.add(run.task[:16])


async def call(site, node, method, name, body=None):
    """Returns the status, or None where the connection ended without an answer."""
    try:
        status, answer = await yard.http(method, node.address, site.front_port, yard.QUEUE + name, body, 5.0,
                                         ("Deadline-Ms: 4000",))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status, answer = None, type(error).__name__
    site.record(f"client: {method} {name} at {node.name}: {status} {answer}")
    return status


def owner_of(site):
    claims = site.store.parts["keyed.claims", 0].records
    return site.nodes[int(re.findall(rb"edge-hmo-a-(\d)", claims[-1])[0]) - 1]


async def play_round(site, member, names, trouble):
    """Clients ask one node for a job's state and hand in jobs there; returns the names of the accepted ones."""
    owner = owner_of(site)
    if trouble:
        site.record(f"{owner.name} stands still")
        owner.signal(signal.SIGSTOP)
    begin = time.monotonic()
    asked = [site.network.spawn(call(site, member, "GET", FIRST)) for _ in range(CALLS)]
    await asyncio.sleep(0.05)
    if trouble:
        site.record(f"{member.name} is killed")
        await member.kill()
        await asyncio.sleep(RESTART_S)
        await member.start()
        while not await member.is_ready() and time.monotonic() < begin + FREEZE_S:
            await asyncio.sleep(0.01)
    handed_in = [site.network.spawn(call(site, member, "POST", name, site.jobs[name])) for name in names]
    if trouble:
        await asyncio.sleep(max(0.0, begin + FREEZE_S - time.monotonic()))
        site.record(f"{owner.name} goes on")
        owner.signal(signal.SIGCONT)
    await asyncio.gather(*asked)
    return [name for name, status in zip(names, await asyncio.gather(*handed_in)) if status == 200]


async def scenario(site, trouble):
    made = {node: 0 for node in site.nodes}  # calls that the present process of a node has taken
    body = {"spec": "quote", "steps": [STEP]}
    site.jobs[FIRST] = body
    if await call(site, owner_of(site), "POST", FIRST, body) != 200:
        return False
    made[owner_of(site)] += 1
    await asyncio.sleep(1.0)
    accepted = []
    for n in range(ROUNDS):
        member = min((node for node in site.nodes if node is not owner_of(site)), key=made.get)
        names = [f"{0x7e57 + n:012x}{k:04x}" for k in range(made[member] + CALLS)]
        site.jobs.update({name: body for name in names})
        accepted += await play_round(site, member, names, trouble)
        made[member] = len(names)
        await asyncio.sleep(PAUSE_S)
    site.record(f"{len(accepted)} jobs were accepted; the traffic ends")
    await asyncio.sleep(yard.BOUNDS["finish_s"])
    for name in accepted:
        statuses = [await call(site, node, "GET", name) for node in site.nodes]
        if 410 in statuses:
            site.judge.violate(f"LOST: job {name} was accepted and {statuses.count(410)} of {NODES} nodes say that there "
                               f"is no such job; {'it began' if name in site.judge.begun else 'it never began'}")
    return bool(accepted)


def make(folder, record):
    return yard.Yard(folder, record, "review-2", nodes=NODES, racks=["r1-1"] * 3, judge=Judge)


if __name__ == "__main__":
    sys.exit(yard.play(HERE, make, scenario))
