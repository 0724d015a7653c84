"""Order over a replacement of the process: messages of one key, taken by two processes of one relay."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
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

KEYS = 8
INTERVAL_S = 0.55  # between two messages of a key: 109% of what the relay may have out at once there
SERVICE_S = 0.3  # that the host takes for a call
LIFETIME_MS = 24_000
TOLERANCE_S = 0.05  # PROTOCOL: every time limit is longer by 50 ms
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
            "name": "listing-update",
            "credit": 1.0,
            "objective-us": 4_000_000,
            "give-up-us": 24_000_000,
            "late-share": 0.4,
            "semantics": "token",
            "key-scope": "all",
            "dedup-window-us": 6_000_000,
            "one-at-a-time": True,
        }
    ],
    "family-info": {"slots": 12, "bundle-max": [1], "kind-apart": [False], "late": "by_half"},
    "ceilings": {
        "max-attempts": 12,
        "max-open": 200,
        "cancel": True,
        "second-copies": True,
        "retry-after": True,
        "max-retry-after-us": 3_000_000,
        "idle-close-us": 10_000_000,
        "connect-timeout-us": 1_000_000,
    },
    "obligations": {
        "answer-slack-us": 20_000,
        "drain-grace-us": 2_000_000,
        "cold-from": 0.18,
        "cold-us": 14_000_000,
        "fall-multiple": 2,
        "fall-us": 2_000_000,
        "key-quiet-us": 300_000,
    },
}


class Host:
    """Takes each call, runs it for a fixed time and answers 200."""

    def __init__(self, record: Record) -> None:
        self.address = ("127.0.0.1", find_free_port())
        self.calls: list[tuple[float, str]] = []
        self.delivered: dict[str, float] = {}
        self._record = record

    async def open(self) -> None:
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while message := await read_message(reader):
                ident = message[1]["x-correlation-id"]
                self.calls.append((now(), ident))
                self._record.add(f"host call id={ident}")
                await asyncio.sleep(SERVICE_S)
                writer.write(encode_answer(200))
                self.delivered.setdefault(ident, now())
                self._record.add(f"host answered 200 id={ident}")
        writer.close()


async def send_updates(clients: Clients, key: int, until: float) -> None:
    """Hand in the updates of one key, one after the other; a refused one comes again."""
    number = 0
    while now() < until:
        began_at = now()
        number += 1
        for attempt in range(4):
            ident = f"k{key}-{number:03d}-{attempt}"
            cookie = f"Cookie: about=listing{key}\r\n"
            status = await clients.hand_in(ident, "listing-update", 1, LIFETIME_MS, b"update", cookie)
            if status in (200, 202):
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(max(0.0, began_at + INTERVAL_S - now()))


def find_breaches(clients: Clients, host: Host, platform: Platform) -> list[str]:
    """Nothing is sent for a message while one of its key that was taken on before it is not over."""
    over = {ident: at for ident, (at, _) in platform.notices.items()}
    for ident, at in host.delivered.items():
        over[ident] = min(at, over.get(ident, at))
    breaches = []
    for called_at, ident in host.calls:
        key, handed_in_at = ident.split("-")[0], clients.taken.get(ident, (0.0, 0.0))[0]
        open_before = [
            earlier
            for earlier, (_, told_at) in clients.taken.items()
            if earlier.split("-")[0] == key
            and told_at < handed_in_at
            and over.get(earlier, float("inf")) > called_at + TOLERANCE_S
        ]
        if open_before:
            breaches.append(
                f"call for {ident} at {called_at:.3f} while {len(open_before)} earlier ones of its key were "
                f"not over, the first {open_before[0]}"
            )
    return breaches


def count_stale(host: Host) -> int:
    """Count the updates that were applied after a newer one of their key."""
    newest: dict[str, str] = {}
    stale = 0
    for ident in host.delivered:  # in the order of the answers
        key = ident.split("-")[0]
        stale += ident < newest.get(key, "")
        newest[key] = max(ident, newest.get(key, ""))
    return stale


async def case(record: Record) -> list[str]:
    platform, host = Platform(record), Host(record)
    await platform.open()
    await host.open()
    await platform.list_hosts({"name": "s-1", "address": f"127.0.0.1:{host.address[1]}", "group": 1})
    relay = Relay(record, platform, SETTINGS, {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3})
    clients = Clients(record, relay)
    try:
        old = relay.start(platform.build_list(-1))
        await relay.wait_ready()
        start = now()
        work = [asyncio.create_task(send_updates(clients, key, start + 18)) for key in range(KEYS)]
        await asyncio.sleep(8)
        if TROUBLE:  # DAYS, "Replacing the process"
            new = relay.start(platform.build_list(-1))
            await relay.wait_healthy(new)
            relay.signal(old, signal.SIGTERM)
            if not await relay.wait_end(old, 3.7):
                relay.signal(old, signal.SIGKILL)
        await asyncio.gather(*work)
        end = now() + 26
        while now() < end and any(
            ident not in host.delivered and ident not in platform.notices for ident in clients.taken
        ):
            await asyncio.sleep(0.1)
    finally:
        relay.end_all()
    record.add(f"taken={len(clients.taken)} calls={len(host.calls)} delivered={len(host.delivered)}")
    record.add(f"updates applied after a newer one of their key: {count_stale(host)}")
    return find_breaches(clients, host, platform)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
