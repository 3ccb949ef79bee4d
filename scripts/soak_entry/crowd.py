"""Callers that ask one node for states without a pause, each over one open connection, and what became of them."""

import asyncio
import socket
import time
from collections import Counter

from .clients import DEADLINE_MS, HOST, LOSS_SLACK_S

QUESTION = "GET /batch/ HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {deadline}\r\nContent-Length: 0\r\n\r\n"


class Caller(asyncio.Protocol):
    """One connection. It ends when the node closes it, and a request may be open then."""

    def __init__(self, crowd):
        self.crowd = crowd
        self.transport = None
        self.sent_at = 0.0  # of the open request; 0 where none is open
        self.received = b""
        self.is_last = False  # the node has said that it closes the connection

    def connection_made(self, transport):
        self.transport = transport
        self.crowd.open.add(self)
        self._ask()

    def _ask(self):
        self.sent_at = time.monotonic()
        self.transport.write(self.crowd.question)
        if self.crowd.half_closed:
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)

    def data_received(self, data):
        self.received += data
        head, found, rest = self.received.partition(b"\r\n\r\n")
        if not found:
            return
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(":", 1) for line in lines[1:])
        if len(rest) < int(headers["content-length"]):
            return
        self.received = b""
        self.crowd.answered(lines[0].split(" ")[1], time.monotonic() - self.sent_at)
        self.sent_at = 0.0
        self.is_last = "close" in headers.get("connection", "")
        if not self.is_last and not self.crowd.half_closed:
            self._ask()

    def connection_lost(self, error):
        self.crowd.ended(self, error)


class Crowd:
    def __init__(self, site, node, half_closed=False):
        self.site, self.node, self.half_closed = site, node, half_closed
        self.question = QUESTION.format(host=HOST, deadline=DEADLINE_MS).encode()
        self.open = set()
        self.counts = Counter()
        self.longest_answer = 0.0
        self.unanswered = []  # (when, how long after the request was sent, what ended it)

    async def connect(self, count):
        loop = asyncio.get_running_loop()
        for _ in range(count):
            try:
                await loop.create_connection(lambda: Caller(self), self.node.address, self.site.front_port)
            except OSError:
                self.counts["refused"] += 1

    def answered(self, status, waited):
        self.counts[status] += 1
        self.longest_answer = max(self.longest_answer, waited)

    def ended(self, caller, error):
        self.open.discard(caller)
        if not caller.sent_at:
            return
        now = time.monotonic()
        waited = now - caller.sent_at - self.site.stalled_since(caller.sent_at)
        if waited <= LOSS_SLACK_S and not self.half_closed:
            self.counts["ended_within_slack"] += 1
            return
        self.unanswered.append((now, waited, type(error).__name__ if error else "end of stream"))
