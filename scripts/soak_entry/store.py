"""A stand-in of the users' platform store: logs, keyed topics, a group, the configuration and the registry."""

import asyncio
import base64
import random
import struct
import time
from collections import defaultdict, deque

from . import net

PARTS = 8
PAGE = 500
APPEND_S = 0.004
REPEATS_KEPT = 5
READ_ONLY = {"keyed.op", "keyed.servers"}


class Partition:
    def __init__(self):
        self.records = []  # of (key, value); offsets never expire within a run
        self.first = 0
        self.newest = {}  # key -> offset of its newest record with a value
        self.producers = {}  # name -> [epoch, last sequence, recent answers]
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def append(self, contents):
        first = len(self.records)
        for content in contents:
            key, value = content[1:1 + content[0]], content[1 + content[0]:]
            if value:
                self.newest[key] = len(self.records)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": first, "end": len(self.records)}


class Group:
    """Partitions are dealt evenly; one that moves is given out once its holder has let go of it."""

    def __init__(self):
        self.members = {}  # name -> [time of the last join, ttl in s, generation it has seen]
        self.generation = 1
        self.target = {}
        self.holder = {}
        self.commits = defaultdict(int)

    def expire(self):
        now = time.monotonic()
        gone = [m for m, (joined, ttl, _) in self.members.items() if now - joined > ttl]
        for member in gone:
            self.remove(member)

    def remove(self, member):
        if self.members.pop(member, None) is not None:
            self.deal()

    def deal(self, shuffled=None):
        self.generation += 1
        names = sorted(self.members)
        if shuffled is not None:
            shuffled.shuffle(names)
        load = {m: 0 for m in names}
        most = -(-len(self.target) // len(names)) if names else 0
        for part, member in sorted(self.target.items()):
            keep = shuffled is None and member in load and load[member] < most
            if names and not keep:
                member = min(names, key=lambda m: load[m])
            self.target[part] = member if names else None
            if names:
                load[member] += 1
        self.hand_over()

    def hand_over(self):
        for part, member in self.target.items():
            holder = self.holder.get(part)
            if holder != member and (holder not in self.members or self.members[holder][2] >= self.generation):
                self.holder[part] = member

    def join(self, member, topics, ttl, generation):
        self.expire()
        known = member in self.members
        self.members[member] = [time.monotonic(), ttl, generation]
        fresh = [(t, p) for t in topics for p in range(PARTS) if (t, p) not in self.target]
        for part in fresh:
            self.target[part] = None
        if fresh or not known:
            self.deal()
        self.hand_over()
        rows = [[t, p, self.commits[(t, p)]] for (t, p), m in sorted(self.target.items())
                if m == member and self.holder.get((t, p)) == member]
        return {"generation": self.generation, "parts": rows}


class Store:
    def __init__(self, network, port, seed):
        self.port = port
        self.server = net.HttpServer(network, "store", self.handle)
        self.parts = defaultdict(Partition)
        self.groups = defaultdict(Group)
        self.random = random.Random(seed)

    async def start(self, nodes):
        await self.server.start([net.store_address(n) for n in range(nodes)], self.port)

    def stop(self):
        self.server.stop()

    def put(self, topic, key, value):
        """Writes as the operator or as the platform; `value` is text, or None to drop the key."""
        self.parts[topic, 0].append([bytes([len(key)]) + key.encode() + (value or "").encode()])

    def redeal(self):
        for group in self.groups.values():
            group.deal(self.random)

    async def handle(self, request):
        name = request.path.rpartition("/")[2]
        handler = {"log-append": self._append, "log-read": self._read, "log-newest": self._newest,
                   "log-join": self._join, "log-leave": self._leave, "log-owners": self._owners,
                   "log-commit": self._commit, "log-trim": self._trim}.get(name)
        return await handler(request) if handler else (404, {})

    def _partition(self, request):
        return self.parts[request.query["topic"], int(request.query["part"])]

    async def _append(self, request):
        query = request.query
        if query["topic"] in READ_ONLY:
            return 403, {}
        contents = list(split(request.body))
        partition = self._partition(request)
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query.get("sequence", 0))
                state = partition.producers.setdefault(query["producer"], [0, None, deque(maxlen=REPEATS_KEPT)])
                if epoch < state[0]:
                    return 409, {"reason": "fenced"}
                if epoch > state[0]:
                    state[0], state[1] = epoch, None
                    state[2].clear()
                for earlier, answer in state[2]:
                    if earlier == sequence:
                        return 200, answer
                if contents and state[1] is not None and sequence != state[1] + 1:
                    return 409, {"reason": "seq", "sequence": state[1] + 1}
            if "at" in query and int(query["at"]) != len(partition.records):
                return 412, {"end": len(partition.records)}
            answer = partition.append(contents)
            if "producer" in query and contents:
                state[1] = sequence
                state[2].append((sequence, answer))
            return 200, answer

    async def _read(self, request):
        partition = self._partition(request)
        start = int(request.query["from"])
        if start < partition.first:
            return 410, {"first": partition.first}
        wait = min(int(request.query.get("wait_ms", 0)), 30000) / 1000
        if start >= len(partition.records) and wait:
            try:
                await asyncio.wait_for(partition.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        limit = int(request.query.get("max_kb", 1024)) * 1024
        out = [struct.pack(">QQ", len(partition.records), partition.first)]
        for content in partition.records[start:]:
            content = self._seen_by(request, content)
            limit -= len(content) + 4
            if limit < 0:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    async def _newest(self, request):
        partition = self._partition(request)
        after = request.query.get("after", "").encode()
        keys = sorted(k for k in partition.newest if k > after)
        items = []
        for key in keys[:PAGE]:
            offset = partition.newest[key]
            content = self._seen_by(request, partition.records[offset])
            items.append({"key": key.decode(), "value": base64.b64encode(content[1 + content[0]:]).decode(),
                          "offset": offset})
        return 200, {"items": items, "more_pages": len(keys) > PAGE, "end": len(partition.records)}

    @staticmethod
    def _seen_by(request, content):
        """Peers and workers are reached at addresses of the reading node's own, which are as long as theirs."""
        if request.query["topic"] == "keyed.claims":
            return content.replace(net.peer_address(-1, 0)[:12].encode(),
                                   net.peer_address(request.node, 0)[:12].encode())
        if request.query["topic"] == "keyed.servers":
            return content.replace(net.worker_address(-1, 0)[:12].encode(),
                                   net.worker_address(request.node, 0)[:12].encode())
        return content

    async def _join(self, request):
        body = request.json()
        return 200, self.groups[body["group"]].join(body["member"], body["topics"], body["ttl_ms"] / 1000,
                                                    body.get("generation", 0))

    async def _leave(self, request):
        body = request.json()
        self.groups[body["group"]].remove(body["member"])
        return 200, {}

    async def _owners(self, request):
        group = self.groups[request.query["group"]]
        group.expire()
        return 200, {"owners": [[t, p, m, group.commits[t, p]] for (t, p), m in sorted(group.holder.items())]}

    async def _commit(self, request):
        body = request.json()
        group = self.groups[body["group"]]
        part = (body["topic"], body["part"])
        if group.holder.get(part) != body["member"]:
            return 409, {}
        group.commits[part] = body["offset"]
        return 200, {}

    async def _trim(self, request):
        partition = self._partition(request)
        partition.first = max(partition.first, min(int(request.query["before"]), len(partition.records)))
        return 200, {}


def split(body):
    """The records of an append."""
    place = 0
    while place < len(body):
        size = struct.unpack_from(">I", body, place)[0]
        yield body[place + 4:place + 4 + size]
        place += 4 + size
