"""New configurations in a row: discovery moves, then a file comes that lacks the key `discovery`."""

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

LIFETIME_MS = 8_000
INTERVAL_S = 0.05
FAULT_EVERY = 10  # calls: the host answers one in so many with 500
OVERDUE_S = 0.35  # PROTOCOL: 300 ms after its time is up, and 50 ms on every time limit
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
            "name": "order-charge",
            "credit": 1.0,
            "objective-us": 2_500_000,
            "give-up-us": 8_000_000,
            "late-share": 0.4,
            "semantics": "side_effect",
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
        "drain-grace-us": 500_000,
        "cold-from": 0.17,
        "cold-us": 9_800_000,
        "fall-multiple": 2,
        "fall-us": 2_000_000,
    },
}


class Host:
    """Answers 200, and one call in some with 500: such a message may not be sent again."""

    def __init__(self, record: Record) -> None:
        self.address = ("127.0.0.1", find_free_port())
        self.delivered: dict[str, float] = {}
        self._calls = 0
        self._record = record

    async def open(self) -> None:
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while message := await read_message(reader):
                ident = message[1]["x-correlation-id"]
                self._calls += 1
                status = 500 if self._calls % FAULT_EVERY == 0 else 200
                await asyncio.sleep(0.15)
                writer.write(encode_answer(status))
                self._record.add(f"host answered {status} id={ident}")
                if status == 200:
                    self.delivered.setdefault(ident, now())
        writer.close()


async def case(record: Record) -> list[str]:
    platform, host = Platform(record), Host(record)
    await platform.open()
    await host.open()
    await platform.list_hosts({"name": "s-1", "address": f"127.0.0.1:{host.address[1]}", "group": 1})
    relay = Relay(record, platform, SETTINGS, {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3})
    clients = Clients(record, relay)
    try:
        process = relay.start(platform.build_list(-1))
        await relay.wait_ready()

        async def hand_in_all(until: float) -> None:
            number, tasks = 0, set()
            while now() < until:
                number += 1
                ident = f"m{number:05d}"
                tasks.add(
                    asyncio.create_task(clients.hand_in(ident, "order-charge", 1, LIFETIME_MS, b"charge"))
                )
                await asyncio.sleep(INTERVAL_S)
            await asyncio.gather(*tasks)

        work = asyncio.create_task(hand_in_all(now() + 22))
        await asyncio.sleep(3)
        await platform.move()
        moved = relay.config | {"discovery": f"{platform.address[0]}:{platform.address[1]}"}
        relay.write_config(moved)
        relay.signal(process, signal.SIGHUP)
        await asyncio.sleep(6)
        if TROUBLE:
            relay.write_config({key: value for key, value in moved.items() if key != "discovery"})
            relay.signal(process, signal.SIGHUP)
            record.add("the file lacks the key discovery")
        await work
        await asyncio.sleep(LIFETIME_MS / 1000 + 2)
        if process.poll() is not None:
            return ["the relay ended on SIGHUP"]
    finally:
        relay.end_all()
    breaches = []
    for ident, (handed_in_at, _) in clients.taken.items():
        ends = [host.delivered[ident]] if ident in host.delivered else []
        ends += [platform.notices[ident][0]] if ident in platform.notices else []
        due = handed_in_at + LIFETIME_MS / 1000 + OVERDUE_S
        if not ends or min(ends) > due:
            breaches.append(f"{ident} was taken on at {handed_in_at:.3f} and has no end by {due:.3f}")
    record.add(f"taken={len(clients.taken)} delivered={len(host.delivered)} notices={len(platform.notices)}")
    return breaches


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent / "record.txt", case)
