"""A small yard on loopback for the demo and the soak: stand-ins and entry nodes, started and stopped."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD", "build")
TEAMS = [("arreo", "arreo-demo"), ("lakfaelles", "lakfaelles-demo")]
OPERATOR_TOKEN = "operator-demo"
ZONES = ["zone-a", "zone-b", "zone-c"]
VMS = 50
VMS_PER_RACK = 8


def endpoint(port):
    return {"address": "127.0.0.1", "port": port}


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def free_base():
    """Returns the first port of a block that is free for a whole yard."""
    count = 50 + VMS
    for base in range(12000, 30000, 200):
        if all(is_free(base + n) for n in range(count)):
            return base
    sys.exit("demo: no free ports")


class Yard:
    """The processes of one yard and the files they read."""

    def __init__(self, folder, nodes, base):
        self.folder = folder
        self.nodes = nodes
        self.platform = base
        self.control = base + 1
        self.http = [base + 2 + n for n in range(nodes)]
        self.wire = [base + 22 + n for n in range(nodes)]
        self.backend = [base + 50 + n for n in range(VMS)]
        self.processes = {}
        folder.mkdir(parents=True, exist_ok=True)

    def write(self, name, value):
        path = self.folder / name
        path.write_text(json.dumps(value, indent=2) + "\n")
        return path

    def write_settings(self):
        capacity = {"cpu_millis": 16000, "memory_mb": 32768, "accelerators": 0, "slots": 8}
        listed, hosted = [], []
        for n, port in enumerate(self.backend):
            rack = n // VMS_PER_RACK
            listed.append({"vm": f"vm-{n}", "role": "backend_server", "state": "live",
                           "rack": f"rack-{rack}", "zone": ZONES[rack % len(ZONES)],
                           "region": "region-1", "endpoint": endpoint(port),
                           "capacity": capacity, "connections": 64})
            hosted.append({"vm": f"vm-{n}", "listen": endpoint(port), "capacity": capacity})
        self.write("platform.json", {"listen": endpoint(self.platform), "vms": listed})
        self.write("backend.json", {"vms": hosted, "control": endpoint(self.control)})
        for n in range(self.nodes):
            peers = [{"node": f"node-{k}", "zone": ZONES[k % 3], "wire": endpoint(self.wire[k])}
                     for k in range(self.nodes) if k != n]
            self.write(f"node-{n}.json", {
                "node": f"node-{n}", "zone": ZONES[n % 3], "region": "region-1",
                "wire": endpoint(self.wire[n]), "peers": peers,
                "http": {"listen": endpoint(self.http[n]), "operator_token": OPERATOR_TOKEN},
                "platform": {"endpoint": endpoint(self.platform)}})
        self.write("config.json", {"teams": [
            {"team": team, "share": 1, "token": token} for team, token in TEAMS]})

    def write_load(self, **more):
        return self.write("load.json", {
            "nodes": [endpoint(port) for port in self.http],
            "teams": [{"team": team, "token": token} for team, token in TEAMS],
            "backend_control": endpoint(self.control), **more})

    def start(self, name, *command):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command], stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def start_node(self, n):
        self.start(f"node-{n}", BUILD / "programs/bergamotyardd", "--config",
                   self.folder / f"node-{n}.json")

    def start_all(self):
        self.write_settings()
        for kind in ("platform", "backend"):
            self.start(kind, BUILD / f"standins/bergamotyard-{kind}-standin", "--settings",
                       self.folder / f"{kind}.json")
        for n in range(self.nodes):
            self.start_node(n)

    def is_ready(self, n):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.http[n]}/readyz", timeout=2) as answer:
                return answer.status == 200
        except OSError:
            return False

    def wait_ready(self, seconds=60):
        end = time.monotonic() + seconds
        waiting = list(range(self.nodes))
        while waiting and time.monotonic() < end:
            waiting = [n for n in waiting if not self.is_ready(n)]
            time.sleep(0.1)
        if waiting:
            raise RuntimeError(f"not ready after {seconds} s: nodes {waiting}")

    def tool(self, *words, node=0, token=OPERATOR_TOKEN, quiet=False):
        command = [str(BUILD / "programs/bergamotyard"), *words, "--node",
                   f"127.0.0.1:{self.http[node]}", "--token", token]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if not quiet:
            print(f"$ bergamotyard {' '.join(words)}\n{done.stdout}{done.stderr}", end="", flush=True)
        if done.returncode != 0:
            raise RuntimeError(f"bergamotyard {words[0]} ended with {done.returncode}")
        return done.stdout

    def switch(self, port, value):
        call = urllib.request.Request(f"http://127.0.0.1:{port}/v1/switch",
                                      data=json.dumps(value).encode(), method="POST")
        urllib.request.urlopen(call, timeout=5).close()

    def stop_all(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=40)
            except subprocess.TimeoutExpired:
                process.kill()
