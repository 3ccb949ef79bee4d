"""The service that takes machines down for their upkeep."""

import asyncio

from soak_entry import net

from . import yard

UP, UPKEEP = "up", "upkeep"


class Machines:
    def __init__(self, site):
        self.site = site
        self.state = {worker.machine: UP for worker in site.workers}
        self.done = set()  # (machine, wave)
        self.token = {}
        self.server = net.HttpServer(site.network, "cloud", self.handle)

    async def start(self):
        await self.server.start([yard.CLOUD_ADDRESS], self.site.cloud_port)

    async def handle(self, request):
        if request.path.rpartition("/")[2] != "machine-upkeep":
            return 404, {}
        body = request.json()
        machine, wave = body["machine"], body["wave"]
        token = int(request.headers.get("fencing-token", 0))
        status, answer = self._order(machine, wave, token)
        self.site.record(f"machines: upkeep of {machine} for wave {wave}, token {token}: {status} {answer}")
        return status, answer

    def _order(self, machine, wave, token):
        if machine not in self.state:
            return 400, {}
        if token < self.token.get(machine, 0):
            return 409, {"reason": "fence"}
        self.token[machine] = token
        if (machine, wave) in self.done:
            return 200, {}
        if self.state[machine] != UP:
            return 409, {"reason": "busy"}
        self.state[machine] = UPKEEP
        self.done.add((machine, wave))
        worker = next(w for w in self.site.workers if w.machine == machine)
        self.site.judge.upkeep(worker)
        worker.crash()
        self.site.network.spawn(self._return(worker))
        return 200, {}

    async def _return(self, worker):
        await asyncio.sleep(yard.BOUNDS["upkeep_s"])
        self.state[worker.machine] = UP
        await worker.start()
        self.site.record(f"machines: {worker.machine} is back as {worker.id}")
