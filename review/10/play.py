"""A process that owes large messages is replaced; does the folder stay within its limit?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2 as rig  # noqa: E402

DISK_MB = 3
BODY = bytes(range(256)) * 200  # 50 KiB of at most 64 KiB
RATE = 2


def make_limit():
    """Return a decision: so many calls in each span of 1 s, the others are told to wait for its end."""
    taken: dict[int, int] = {}

    def decide(call: dict) -> tuple[str, float, str]:
        span = int(call["whole"])
        taken[span] = taken.get(span, 0) + 1
        if taken[span] <= RATE:
            return "200 OK", 0.15, ""
        return "429 Too Many Requests", 0.0, f"Retry-After: {span + 1 - call['whole'] + 0.001:.3f}\r\n"

    return decide


def measure(folder: Path) -> int:
    """Return what the folder holds: each file counts in whole 512 bytes."""
    total = 0
    for path in folder.iterdir():
        try:
            total += -(-path.stat().st_size // 512) * 512
        except OSError:
            continue
    return total


async def play(case: rig.Case) -> list[str]:
    host = rig.Host(case, "h1", 1, rate=float(RATE))
    host.decide = make_limit()
    agent = rig.Agent(case, [host])
    await case.serve(host, agent)
    port, state = rig.free_port(), case.make_state()
    settings = rig.build_settings([rig.build_grade("status-update", "pure")])
    controls = [f"{rig.LOOPBACK}:{rig.free_port()}" for _ in range(2)]

    def configure(control: str) -> dict:
        return {
            "name": "n1",
            "listen": f"{rig.LOOPBACK}:{port}",
            "control": control,
            "discovery": agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": DISK_MB},
            "known": {"index": 41, "snapshot": True, "endpoints": [host.row]},
            "settings": settings,
        }

    peak = (0, 0.0)

    async def watch_folder() -> None:
        nonlocal peak
        while True:
            peak = max(peak, (measure(state), asyncio.get_running_loop().time()))
            await asyncio.sleep(0.002)

    watch = asyncio.create_task(watch_folder())
    old = rig.Relay(case, "old", state, configure(controls[0]))
    await case.wait_control(controls[0], 30.0)
    await asyncio.sleep(1.0)

    async def hand_in(letter: str, client: rig.Client, count: int) -> None:
        for number in range(count):
            message = {"id": f"{letter}{number:03d}", "class": "status-update", "left_ms": 14_000, "dest": 1}
            message["body"] = BODY
            await client.hand_in(message)
            await asyncio.sleep(0.03)

    kept = await rig.Client(case, port).connect()
    await hand_in("a", kept, 20)
    if case.trouble:
        rig.Relay(case, "new", state, configure(controls[1]))
        await case.wait_control(controls[1])
    others = [await rig.Client(case, port).connect() for _ in range(16)]
    for number, client in enumerate(others):
        await hand_in(f"b{number}", client, 3)
    if case.trouble:
        old.send(rig.signal.SIGTERM)
        if not await old.wait_ended(3.7):
            old.send(rig.signal.SIGKILL)
    await asyncio.sleep(4.0)
    watch.cancel()
    case.record(f"most bytes in the folder: {peak[0]} of {DISK_MB << 20} at {case.at(peak[1])}")
    if peak[0] > DISK_MB << 20:
        return [f"the folder held {peak[0]} bytes at {case.at(peak[1])}, over its {DISK_MB << 20}"]
    return []


rig.run_case(FOLDER, play)
