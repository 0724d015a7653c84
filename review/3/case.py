"""Hosts of a slow partner write one refusal twice, the second copy right behind the first."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import (
    TROUBLE,
    Clients,
    Platform,
    Record,
    Relay,
    encode_answer,
    find_free_port,
    now,
    read_message,
    run_case,
)

LATENCY_S = 0.02  # one way between the relay and a host (main-campus: 15 to 45 ms between buildings)
COPY_AFTER_S = 0.008  # from an answer to its second copy (issue 64: 2 to 9 ms)
SERVICE_S = 1.3
REFUSED_SHARE = 0.15  # turned away at once, as the queue is full
DESTINATIONS, HOSTS = 3, 6
INTERVAL_S = 0.076
SENDING_S = 35
COPIES_FROM_S = 14
LIFETIME_MS = 16_000
SETTINGS = {
    "balancers": 1,
    "period-us": 5000,
    "weight-source": "nominal",
    "membership-mode": "push",
    "localities": ["a"],
    "locality": 0,
    "skus": ["plain"],
    "grades": [
        {
            "name": "mailing-order",
            "credit": 1.0,
            "objective-us": 4_000_000,
            "give-up-us": 16_000_000,
            "late-share": 0.3,
            "semantics": "side_effect",
        }
    ],
    "family-info": {"slots": 12, "bundle-max": [1], "kind-apart": [False], "late": "by_half"},
    "ceilings": {
        "max-attempts": 12,
        "max-open": 200,
        "cancel": True,
        "second-copies": False,
        "retry-after": True,
        "max-retry-after-us": 3_000_000,
        "idle-close-us": 10_000_000,
        "connect-timeout-us": 1_500_000,
    },
    "obligations": {
        "answer-slack-us": 20_000,
        "drain-grace-us": 500_000,
        "cold-from": 0.13,
        "cold-us": 10_000_000,
        "fall-multiple": 2.5,
        "fall-us": 3_000_000,
    },
}


class Host:
    """Runs the calls of a connection one after the other; one of its answers is followed by a second copy."""

    def __init__(self, record: Record, name: str, group: int, seed: int) -> None:
        self.name, self.group = name, group
        self.address = ("127.0.0.1", find_free_port())
        self.runs: list[tuple[float, str]] = []
        self._copied = False
        self._record, self._rng = record, random.Random(seed)

    async def open(self) -> None:
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Bytes take LATENCY_S in each direction."""
        arrived: asyncio.Queue = asyncio.Queue()
        loop = asyncio.get_running_loop()

        async def receive() -> None:
            while message := await read_message(reader):
                loop.call_later(LATENCY_S, arrived.put_nowait, message)
            loop.call_later(LATENCY_S, arrived.put_nowait, None)

        def write(raw: bytes) -> None:
            loop.call_later(LATENCY_S, lambda: writer.is_closing() or writer.write(raw))

        receiving = asyncio.create_task(receive())
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while message := await arrived.get():
                ident = message[1]["x-correlation-id"]
                if self._rng.random() < REFUSED_SHARE:
                    write(encode_answer(503))
                    self._record.add(f"host {self.name} turned away with 503 id={ident}")
                    if TROUBLE and not self._copied and now() > COPIES_FROM_S:
                        await self._write_copy(ident, arrived, write)
                    continue
                self.runs.append((now(), ident))
                self._record.add(f"host {self.name} runs id={ident}")
                await asyncio.sleep(SERVICE_S)
                write(encode_answer(200))
                self._record.add(f"host {self.name} answered 200 id={ident}")
        receiving.cancel()
        writer.close()

    async def _write_copy(self, ident: str, arrived: asyncio.Queue, write: Callable[[bytes], None]) -> None:
        """Write the answer a second time, right behind, if nothing else waits on the connection."""
        await asyncio.sleep(COPY_AFTER_S)
        if arrived.empty():
            self._copied = True
            write(encode_answer(503))
            self._record.add(f"host {self.name} second copy of the 503 id={ident}")


async def case(record: Record) -> list[str]:
    platform = Platform(record)
    await platform.open()
    hosts = [Host(record, f"s-{at}", at % DESTINATIONS, at) for at in range(HOSTS)]
    for host in hosts:
        await host.open()
    await platform.list_hosts(
        *(
            {"name": host.name, "address": f"127.0.0.1:{host.address[1]}", "group": host.group}
            for host in hosts
        )
    )
    relay = Relay(record, platform, SETTINGS, {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3})
    clients = Clients(record, relay)
    try:
        relay.start(platform.build_list(-1))
        await relay.wait_ready()
        number, tasks, end = 0, set(), now() + SENDING_S
        while now() < end:
            number += 1
            ident, dest = f"m{number:05d}", number % DESTINATIONS
            tasks.add(
                asyncio.create_task(clients.hand_in(ident, "mailing-order", dest, LIFETIME_MS, b"order"))
            )
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(LIFETIME_MS / 1000 + 2)
    finally:
        relay.end_all()
    runs: dict[str, list[tuple[float, str]]] = {}
    for host in hosts:
        for at, ident in host.runs:
            runs.setdefault(ident, []).append((at, host.name))
    record.add(f"taken={len(clients.taken)} run={len(runs)} notices={len(platform.notices)}")
    return find_breaches(platform, runs)


def find_breaches(platform: Platform, runs: dict[str, list[tuple[float, str]]]) -> list[str]:
    """A single-use message that ran gets no other call, and no dismissal, which says that it never ran."""
    breaches = []
    for ident, rows in runs.items():
        where = ", ".join(f"{at:.3f} at {name}" for at, name in sorted(rows))
        if len(rows) > 1:
            breaches.append(f"{ident} ran {len(rows)} times: {where}")
        noticed_at, result = platform.notices.get(ident, (0.0, ""))
        if result == "bounced" and min(rows)[0] < noticed_at:
            breaches.append(f"{ident} ran: {where}; and was dismissed at {noticed_at:.3f}")
    return breaches


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent / "record.txt", case)
