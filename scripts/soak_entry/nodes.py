"""The processes under test: their settings files, their logs, and the signals that they are sent."""

import asyncio
import json
import math
import os
import pathlib
import resource
import signal
import time

from . import net
from .store import PARTS

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / os.environ.get("BUILD", "build")
PROGRAM = BUILD / "platform" / "bergamotyard-entry"
GRACE_S = 6.0
# A busy machine adds to the time that a planned stop takes.
GRACE_SLACK_S = 4.0


class Node:
    def __init__(self, site, index):
        self.site, self.index = site, index
        self.name = f"node-{index:02d}"
        self.address = net.node_address(index)
        self.settings_path = site.folder / f"{self.name}.json"
        self.log = open(site.folder / f"{self.name}.log", "ab")
        self.process = None
        self.opening = None
        self.lock = asyncio.Lock()
        self.killed_at = 0.0
        self.ending = False  # the current process is being ended on purpose
        self.ready = False
        self.retention_s = site.options.retention
        self.starts = 0
        self.log_from = 0  # where the log of the current process begins

    def write_settings(self):
        site = self.site
        path = self.settings_path.with_suffix(".new")
        bounds = site.teams.bounds() if site.teams else {}
        path.write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "edge", "serves": ["edge"],
            "ip": self.address, "zone": f"z{self.index % 3}", "region": "r",
            "zones": {f"z{n}": "r" for n in range(3)},
            "listen": {"front": f"{self.address}:{site.front_port}", "ready": f"{self.address}:{site.ready_port}"},
            "port_range": [site.link_port, site.link_port + 15], "seeds": [], "bootstrap": self.starts == 0,
            "limits": {"cpu_share": 0.25, "cores": 1, **site.machine_limits},
            "bounds": {"grace_s": GRACE_S, "hold_max_ms": 10000, "stop_timeout_ms": 200, "gang_timeout_ms": 3000,
                       "status_s": self.retention_s, "remote_factor": 2, "lease_ms": 3000,
                       "drain_timeout_ms": 2000, "upkeep_s": 2, **bounds},
            "orders": "rpc",
            "platform": {"address": f"{net.store_address(self.index)}:{site.store.port}", "form": "log", "parts": PARTS},
        }))
        path.replace(self.settings_path)

    async def start(self):
        self.write_settings()
        self.starts += 1
        self.ending = False
        self.log_from = os.fstat(self.log.fileno()).st_size
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, stdout=self.log, stderr=self.log, start_new_session=True,
            env={"PATH": os.environ.get("PATH", ""), "BERGAMOTYARD_SETTINGS": str(self.settings_path)},
            preexec_fn=self._limit_descriptors if self.site.descriptors else None)
        self.site.network.spawn(self._watch(self.process))
        self.opening = self.site.network.spawn(self.site.proxy.open(self.index, len(self.site.nodes)))

    def _limit_descriptors(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.site.descriptors, self.site.descriptors))

    async def _watch(self, process):
        status = await process.wait()
        self.opening.cancel()
        self.site.proxy.close(self.index)
        if process is self.process and not self.ending:
            self.killed_at = time.monotonic()
            self.site.judge.violate("ENDED", f"{self.name} ended by itself with status {status}")

    def is_up(self):
        return self.process is not None and self.process.returncode is None and not self.ending

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.ending = True
            # The kernel may take seconds to end a process, and takes connections for it until then.
            self.killed_at = math.inf
            self.signal(signal.SIGKILL)
            await self.process.wait()
            self.killed_at = time.monotonic()

    async def stop(self):
        """A planned stop; callers' requests must be answered and the process be gone within its grace time."""
        if not self.is_up():
            return
        self.ending = True
        begin = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            status = await asyncio.wait_for(self.process.wait(), GRACE_S + GRACE_SLACK_S)
            if time.monotonic() - begin > GRACE_S:
                self.site.judge.counts["stops_over_grace"] += 1
            if status > 0:
                self.site.judge.counts["stops_with_open_calls"] += 1
            if status == -signal.SIGTERM and not self._has_started():
                self.site.judge.counts["stops_before_start"] += 1
            elif status < 0 or status > 1:
                self.site.judge.violate("STOP", f"{self.name} ended with status {status} after SIGTERM")
        except asyncio.TimeoutError:
            self.site.judge.violate("STOP", f"{self.name} still ran {GRACE_S + GRACE_SLACK_S} s after SIGTERM")
            await self.kill()

    def _has_started(self):
        """Whether the current process has come so far that it handles signals and serves."""
        with open(self.log.name, "rb") as log:
            log.seek(self.log_from)
            return b'"event":"node.started"' in log.read()

    async def freeze(self, seconds):
        self.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.signal(signal.SIGCONT)

    async def reload(self):
        self.retention_s += 1
        self.write_settings()
        self.signal(signal.SIGHUP)

    async def ask_ready(self):
        """What the platform's balancer asks each node."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.site.ready_port), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /bergamotyard/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _, _ = await asyncio.wait_for(net.read_message(reader), 1)
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def balance(self):
        misses = 0
        while True:
            good = await self.ask_ready()
            misses = 0 if good else misses + 1
            self.ready = good or (self.ready and misses < 2)
            await asyncio.sleep(0.5)
