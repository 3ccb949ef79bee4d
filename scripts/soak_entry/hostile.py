"""Clients that send endless or slow messages, do not read their answers, or stay idle in a crowd."""

import asyncio
import socket

CLIENTS = 6
BYTES = 8 << 20
# A chunk of one byte takes six on the wire.
CHUNKED_BYTES = 24 << 20
SLOW_CLIENTS = 40
PIECE = 1 << 16
# A sender gives up once the process has read nothing for this long.
STALL_S = 3.0
STEP_S = 0.1
CHUNKED = b"POST /batch/hostile HTTP/1.1\r\nHost: yard.example\r\nTransfer-Encoding: chunked\r\n\r\n"


class Client:
    """One connection that sends without reading."""

    def __init__(self, address):
        self.address = address
        self.socket = socket.socket()
        # Answers that are not read fill a small window early.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.sent = 0
        self.refused = False

    async def connect(self):
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(loop.sock_connect(self.socket, self.address), STALL_S)
        except (OSError, asyncio.TimeoutError):
            self.refused = True

    async def send(self, data):
        """Returns whether the process took the bytes."""
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_sendall(self.socket, data), STALL_S)
        except (OSError, asyncio.TimeoutError):
            self.refused = True
            return False
        self.sent += len(data)
        return True

    async def flood(self, begin, part, size):
        """Sends a beginning, and one part again and again."""
        await self.connect()
        piece = part * max(1, PIECE // len(part))
        if not self.refused and await self.send(begin):
            while self.sent < size and await self.send(piece):
                pass

    async def drip(self, data, pieces):
        """Sends a beginning, and then one byte after the other."""
        await self.connect()
        if not self.refused and await self.send(data):
            for _ in range(pieces):
                await asyncio.sleep(STEP_S)
                if not await self.send(b"x"):
                    return

    def close(self):
        self.socket.close()


def flood_form(begin, part, size=BYTES, clients=CLIENTS):
    async def run(address):
        senders = [Client(address) for _ in range(clients)]
        await asyncio.gather(*(sender.flood(begin, part, size) for sender in senders))
        return senders
    return run


def body_of(size):
    return b"POST /batch/hostile HTTP/1.1\r\nHost: yard.example\r\nContent-Length: %d\r\n\r\n" % size


async def drip_header(address):
    senders = [Client(address) for _ in range(SLOW_CLIENTS)]
    await asyncio.gather(*(sender.drip(b"GET /", 60) for sender in senders))
    return senders


async def drip_body(address):
    senders = [Client(address) for _ in range(SLOW_CLIENTS)]
    await asyncio.gather(*(sender.drip(body_of(2000), 60) for sender in senders))
    return senders


def crowd_form(clients):
    async def run(address):
        senders = [Client(address) for _ in range(clients)]
        for sender in senders:
            await sender.connect()
        return senders
    return run


# Forms whose clients must not raise the memory of the process.
MEMORY_FORMS = {
    "trailers": flood_form(CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Trailer: value\r\n"),
    "one-trailer": flood_form(CHUNKED + b"1\r\nx\r\n0\r\nX-Trailer: ", b"v"),
    "extension": flood_form(CHUNKED + b"1;name=", b"v"),
    "large-bodies": flood_form(body_of(BYTES + 1), b"x"),
    "one-byte-chunks": flood_form(CHUNKED, b"1\r\nx\r\n", CHUNKED_BYTES),
    "header": flood_form(b"GET / HTTP/1.1\r\nHost: yard.example\r\n", b"X-Field: value\r\n"),
    "target": flood_form(b"GET /", b"x"),
    "pipelined": flood_form(b"", b"PUT / HTTP/1.1\r\nHost: yard.example\r\n\r\n"),
}
# Forms whose clients must not keep their descriptors.
DESCRIPTOR_FORMS = {
    "slow-header": drip_header,
    "slow-body": drip_body,
    "unread-answers": flood_form(b"", b"PUT / HTTP/1.1\r\nHost: yard.example\r\n\r\n", BYTES, SLOW_CLIENTS),
    "quiet": crowd_form(SLOW_CLIENTS),
}
