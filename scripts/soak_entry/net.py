"""HTTP servers on loopback addresses, and the faults of the network between a node and what it calls.

Each node reaches each of its peers, workers and its store at an address of its own, so that the address a call
arrives at tells who calls whom, and a fault can hold for one pair only.
"""

import asyncio
import json
import socket
import time
from dataclasses import dataclass
from urllib.parse import parse_qsl

FIRST = 100  # Nodes and workers are numbered from this value in the last two parts of an address.
CHUNK = 65536
HELD_STEP_S = 0.02
RETRANSMISSION_S = 1.5  # within which held bytes are sent again after a cut


def node_address(node):
    return f"127.101.{FIRST}.{FIRST + node}"


def peer_address(node, peer):
    """The address at which a node reaches the link port of a peer."""
    return f"127.101.{FIRST + 1 + node}.{FIRST + peer}"


def worker_address(node, worker):
    return f"127.102.{FIRST + 1 + node}.{FIRST + worker}"


def store_address(node):
    return f"127.103.{FIRST + 1 + node}.{FIRST}"


def pair_of(address):
    """The node that uses an address, and what it reaches there."""
    parts = address.split(".")
    return int(parts[2]) - FIRST - 1, int(parts[3]) - FIRST


def reserve_port(reserved):
    """Asks the system for a port and keeps it reserved, so that it is given to nobody else meanwhile."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    reserved.append(sock)
    return sock.getsockname()[1]


@dataclass(frozen=True)
class Rule:
    """A fault in force on the calls of some nodes. Empty sets mean all."""

    kind: str  # store, worker or link
    # delay, refuse, reset, drop (not executed), lose (executed, not answered), late (executed later), cut (held back
    # until the cut is over, then executed and not answered; open connections carry nothing any more)
    effect: str
    seconds: float = 0.0
    share: float = 1.0  # of the calls
    nodes: frozenset = frozenset()
    targets: frozenset = frozenset()

    def meets(self, kind, node, target):
        return (self.kind == kind and (not self.nodes or node in self.nodes) and
                (not self.targets or target in self.targets))


class Network:
    """The rules in force, and the connections that they act on."""

    def __init__(self, random):
        self.random = random
        self.rules = []
        self.connections = set()
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def find(self, kind, node, target):
        return [r for r in self.rules
                if r.meets(kind, node, target) and (r.share >= 1 or self.random.random() < r.share)]

    def silence(self, kind, nodes, targets=()):
        """Open connections carry nothing any more; new ones work."""
        for connection in self.connections:
            if (connection.kind == kind and (not nodes or connection.node in nodes) and
                    (not targets or connection.target in targets)):
                connection.silent = True

    def reset(self, kind, nodes):
        for connection in list(self.connections):
            if connection.kind == kind and (not nodes or connection.node in nodes):
                connection.abort()

    async def close(self):
        for connection in list(self.connections):
            connection.abort()
        # wait_for() loses a cancellation that meets the end of what it waits for, so that one may not be enough.
        while self.tasks:
            for task in list(self.tasks):
                task.cancel()
            await asyncio.wait(list(self.tasks), timeout=0.2)


@dataclass(eq=False)
class Connection:
    kind: str
    node: int
    target: int
    writers: list
    silent: bool = False
    unacked: bool = False  # sent something to a process that had ended; the next process resets it

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()


@dataclass
class Request:
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    node: int
    target: int
    process: int  # that took the connection
    received: float  # when it arrived, which is before a delay

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Reads the first line, the headers and the body of a request or an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


class HttpServer:
    """Serves calls under the rules in force; `handler(request)` returns a status and a body."""

    def __init__(self, network, kind, handler):
        self.network = network
        self.kind = kind
        self.handler = handler
        self.server = None
        self.open = set()
        self.process = 0  # how often it has started
        self.dark = False

    async def start(self, addresses, port):
        if self.server:
            self.server.close()
        for connection in list(self.open):
            if connection.unacked:
                connection.abort()
        self.dark = False
        self.process += 1
        self.server = await asyncio.start_server(self._serve, addresses, port, limit=1 << 22, backlog=256)

    def stop(self, dark=False):
        """Refuses new connections and resets the open ones; where it goes dark, all are silent."""
        self.dark = dark
        if dark:
            for connection in self.open:
                connection.silent = True
            return
        if self.server:
            self.server.close()
        for connection in list(self.open):
            connection.abort()

    async def _serve(self, reader, writer):
        node, target = pair_of(writer.get_extra_info("sockname")[0])
        connection = Connection(self.kind, node, target, [writer], silent=self.dark)
        process = self.process
        self.open.add(connection)
        self.network.connections.add(connection)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target_text, _ = line.split(" ", 2)
                path, _, query = target_text.partition("?")
                request = Request(method, path, dict(parse_qsl(query)), headers, body, node, target, process,
                                  time.monotonic())
                if process != self.process:
                    connection.abort()
                    return
                connection.unacked = connection.unacked or self.dark
                if connection.silent:
                    for rule in self.network.find(self.kind, node, target):
                        if rule.effect == "cut":
                            self.network.spawn(self._hold_back(request, rule))
                elif not await self._answer(request, connection, writer):
                    connection.silent = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(connection)
            self.network.connections.discard(connection)
            writer.close()

    async def _answer(self, request, connection, writer):
        """Returns whether the connection still carries answers."""
        answered = True
        delay = 0.0
        for rule in self.network.find(self.kind, request.node, request.target):
            if rule.effect == "reset":
                connection.abort()
                raise ConnectionResetError
            if rule.effect == "refuse":
                self._write(writer, 503, b"{}")
                return True
            if rule.effect == "cut":
                self.network.spawn(self._hold_back(request, rule))
                return False
            if rule.effect == "drop":
                return False
            if rule.effect == "late":
                self.network.spawn(self._late(request, rule.seconds * self.network.random.random()))
                return False
            if rule.effect == "delay":
                delay = max(delay, rule.seconds)
            answered = answered and rule.effect != "lose"
        if delay:
            await asyncio.sleep(delay)
        status, body = await self.handler(request)
        if delay:
            await asyncio.sleep(delay)
        if not answered or connection.silent:
            return False
        self._write(writer, status, body if isinstance(body, bytes) else json.dumps(body).encode())
        await writer.drain()
        return True

    async def _hold_back(self, request, rule):
        """A partition holds bytes back, also those of a caller that has given up; they are sent again after it."""
        while rule in self.network.rules:
            await asyncio.sleep(HELD_STEP_S)
        await asyncio.sleep(RETRANSMISSION_S * self.network.random.random())
        if request.process == self.process:
            await self.handler(request)

    async def _late(self, request, seconds):
        await asyncio.sleep(seconds)
        await self.handler(request)

    @staticmethod
    def _write(writer, status, body):
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                     (status, len(body)) + body)


class LinkProxy:
    """Carries the links between nodes under the rules in force; refuses them while the peer does not listen."""

    def __init__(self, network, port):
        self.network = network
        self.port = port
        self.servers = {}

    async def open(self, peer, nodes):
        """Waits until a node listens, then takes links to it."""
        while True:
            try:
                _, writer = await asyncio.open_connection(node_address(peer), self.port)
                break
            except OSError:
                await asyncio.sleep(0.01)
        writer.close()
        addresses = [peer_address(node, peer) for node in range(nodes) if node != peer]
        if addresses:
            self.servers[peer] = await asyncio.start_server(self._serve, addresses, self.port)

    def close(self, peer):
        server = self.servers.pop(peer, None)
        if server:
            server.close()

    def stop(self):
        for peer in list(self.servers):
            self.close(peer)

    async def _serve(self, reader, writer):
        node, peer = pair_of(writer.get_extra_info("sockname")[0])
        connection = Connection("link", node, peer, [writer])
        self.network.connections.add(connection)
        try:
            if any(r.effect == "reset" for r in self.network.find("link", node, peer)):
                connection.abort()
                return
            far_reader, far_writer = await asyncio.open_connection(node_address(peer), self.port)
            connection.writers.append(far_writer)
            await asyncio.gather(self._pipe(reader, far_writer, connection, (node, peer)),
                                 self._pipe(far_reader, writer, connection, (peer, node)))
        except OSError:
            connection.abort()
        finally:
            self.network.connections.discard(connection)
            for each in connection.writers:
                each.close()

    async def _pipe(self, reader, writer, connection, way):
        """Bytes that meet a cut wait for its end, as they do behind a partition."""
        while data := await reader.read(CHUNK):
            while True:
                effects = {r.effect: r for r in self.network.find("link", *way)}
                if "reset" in effects:
                    connection.abort()
                    return
                if not connection.silent and "drop" not in effects:
                    break
                await asyncio.sleep(0.05)
            if "delay" in effects:
                await asyncio.sleep(effects["delay"].seconds)
            writer.write(data)
            await writer.drain()
        writer.close()
