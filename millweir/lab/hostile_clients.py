"""Clients that flood a relay or hold its connections, run as a process of their own beside the usual clients.

    python -m millweir.lab.hostile_clients HOST:PORT PATTERN SECONDS [--connections N] [--seed N]

Prints one JSON object at the end: connections opened, and the longest time in seconds that one of them was
open with neither a byte of an answer nor its end.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import count

import uvloop

HOSTILE_PREFIX = "hostile"  # of the ids of their messages
BATCH = 32  # messages in one piece of a flood
UNLISTED_DESTINATION = 100_000  # the first of those that no list names
RECONNECT_S = 0.002  # from the end of a connection to the next one
TRICKLE_S = 0.01  # between two bytes of a client that writes slowly
DESCRIPTORS_BESIDE_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Pattern:
    """What each connection of a hostile client does."""

    connections: int
    pieces: Callable[[Names], Iterator[bytes]]  # what it writes, as fast as it is taken
    pause: float = 0.0  # seconds between two pieces
    reads: bool = True
    closes: bool = False  # behind the last piece, without reading


class Names:
    """Draws ids, accounts and keys that were never used before."""

    def __init__(self, relay: str, rng: random.Random) -> None:
        self._prefix = f"{HOSTILE_PREFIX}-{relay}-{rng.getrandbits(48):012x}"
        self._next = count().__next__

    def draw(self) -> str:
        return f"{self._prefix}{self._next():x}"


def read_relay(message_id: str) -> str:
    """Return the relay to which a hostile client sent a message; empty for other messages."""
    prefix, _, rest = message_id.partition("-")
    return rest.partition("-")[0] if prefix == HOSTILE_PREFIX else ""


def encode_message(
    names: Names, body: bytes, service_class: str = "status", dest: int = 0, more: str = ""
) -> bytes:
    """Encode a request that hands in a message under a new id."""
    return (
        f"POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {names.draw()}\r\n"
        f"X-Service-Class: {service_class}\r\n"
        f"X-Time-Left: 6000m\r\nX-Addressing: dest={dest}\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _send_unlisted(names: Names) -> Iterator[bytes]:
    for first in count(UNLISTED_DESTINATION, BATCH):
        yield b"".join(encode_message(names, b"x", dest=first + n) for n in range(BATCH))


def _send_unknown_class(names: Names) -> Iterator[bytes]:
    while True:
        yield b"".join(encode_message(names, b"x", f"class-{names.draw()}") for _ in range(BATCH))


def _send_valid(names: Names) -> Iterator[bytes]:
    while True:
        yield b"".join(_encode_new_key(names) for _ in range(BATCH))


def _encode_new_key(names: Names) -> bytes:
    name = names.draw()
    more = f"X-Account: {name}\r\nCookie: about={name}\r\nIdempotency-Key: {name}\r\n"
    return encode_message(names, b"x" * 20, "order", more=more)


def _send_large(service_class: str) -> Callable[[Names], Iterator[bytes]]:
    return lambda names: (encode_message(names, b"x" * 15_000, service_class) for _ in range(240))


def _send_some(messages: int, body: int) -> Callable[[Names], Iterator[bytes]]:
    return lambda names: iter([b"".join(encode_message(names, b"x" * body) for _ in range(messages))])


def _hold_chunks(names: Names) -> Iterator[bytes]:
    head = encode_message(names, b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    yield head + b"2\r\nxx\r\n" * 7_500


def _hold_body(names: Names) -> Iterator[bytes]:
    yield encode_message(names, b"x" * 60_000)[:-30_000]


def _hold_head(names: Names) -> Iterator[bytes]:
    yield encode_message(names, b"")[:-2] + b"a:b\r\n" * 800


def _write_slowly(names: Names) -> Iterator[bytes]:
    for byte in encode_message(names, b"", more="Padding: " + "x" * 10_000 + "\r\n"):
        yield bytes((byte,))


def _hold_url(names: Names) -> Iterator[bytes]:
    yield b"POST /" + b"x" * 8_000


def _send_unsound(names: Names) -> Iterator[bytes]:
    yield b"nonsense " + names.draw().encode() + b"\r\n\r\n"


PATTERNS = {
    "unlisted": Pattern(1, _send_unlisted),
    "unknown-class": Pattern(1, _send_unknown_class),
    "valid": Pattern(1, _send_valid),
    "large": Pattern(300, _send_large("status")),
    "large-unknown-class": Pattern(300, _send_large("unheard-of")),
    "unread": Pattern(4, _send_unlisted, reads=False),
    "closed": Pattern(8, _send_some(200, 300), closes=True),
    "chunks": Pattern(300, _hold_chunks),
    "half-body": Pattern(300, _hold_body),
    "short-fields": Pattern(300, _hold_head),
    "slow-head": Pattern(300, _write_slowly, TRICKLE_S),
    "long-url": Pattern(300, _hold_url),
    "unsound": Pattern(20, _send_unsound),
}


class Statistics:
    """What all connections saw together."""

    def __init__(self) -> None:
        self.opened = 0
        self.longest_wait = 0.0

    def record_wait(self, seconds: float) -> None:
        self.longest_wait = max(self.longest_wait, seconds)


class HostileConnection(asyncio.Protocol):
    """One connection: writes its pieces, and is replaced by another one when it ends."""

    def __init__(
        self, pattern: Pattern, names: Names, statistics: Statistics, on_end: Callable[[], None]
    ) -> None:
        self._pattern, self._statistics, self._on_end = pattern, statistics, on_end
        self._pieces = pattern.pieces(names)
        self._transport: asyncio.Transport | None = None
        self._writable = True
        self._opened_at = time.monotonic()
        self._waits = True  # for the first byte of an answer, or the end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._statistics.opened += 1
        if not self._pattern.reads:
            self._transport.pause_reading()
        self._write()

    def _write(self) -> None:
        while self._writable and not self._transport.is_closing():
            piece = next(self._pieces, None)
            if piece is None:
                if self._pattern.closes:
                    self._transport.close()
                return
            self._transport.write(piece)
            if self._pattern.pause:
                asyncio.get_running_loop().call_later(self._pattern.pause, self._write)
                return

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        asyncio.get_running_loop().call_soon(self._write)

    def data_received(self, data: bytes) -> None:
        self._end_wait()

    def connection_lost(self, exc: Exception | None) -> None:
        self._writable = False
        self._end_wait()
        self._on_end()

    def end(self) -> None:
        """Close it at the end of the run."""
        self._end_wait()
        if self._transport:
            self._transport.abort()

    def _end_wait(self) -> None:
        if self._waits and self._pattern.reads:
            self._statistics.record_wait(time.monotonic() - self._opened_at)
        self._waits = False


async def run_pattern(
    pattern: Pattern, address: tuple[str, int], relay: str, seconds: float, seed: int
) -> Statistics:
    """Keep the pattern's connections open, each replaced as it ends, for so many seconds."""
    loop, statistics = asyncio.get_running_loop(), Statistics()
    names = Names(relay, random.Random(seed))
    end = loop.time() + seconds

    async def keep_one_open() -> None:
        while loop.time() < end:
            ended = asyncio.Event()
            connection = HostileConnection(pattern, names, statistics, ended.set)
            try:
                await loop.create_connection(lambda connection=connection: connection, *address)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                async with asyncio.timeout(max(end - loop.time(), 0)):
                    await ended.wait()
            except TimeoutError:
                connection.end()
            await asyncio.sleep(RECONNECT_S)

    await asyncio.gather(*(keep_one_open() for _ in range(pattern.connections)))
    return statistics


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("pattern", choices=PATTERNS)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--connections", type=int, default=0)
    parser.add_argument("--relay", default="", help="its name, for the ids of the messages")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    pattern = PATTERNS[given.pattern]
    if given.connections:
        pattern = replace(pattern, connections=given.connections)
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = pattern.connections + DESCRIPTORS_BESIDE_CONNECTIONS
    if most == resource.RLIM_INFINITY or wanted <= most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))
    host, _, port = given.address.rpartition(":")
    statistics = uvloop.run(run_pattern(pattern, (host, int(port)), given.relay, given.seconds, given.seed))
    json.dump({"opened": statistics.opened, "longest_wait": round(statistics.longest_wait, 3)}, sys.stdout)


if __name__ == "__main__":
    main()
