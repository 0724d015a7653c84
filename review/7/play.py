"""Messages that a replaced process still owes: does each get its end in time?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2 as rig  # noqa: E402

UPGRADES = 16
ASK_AFTER = 1.0  # the platform asks the new process so long after its start, and up to 0.5 s later
STEP = 7 / 32
OVERDUE = 0.3 + rig.SLACK  # a notice is overdue 300 ms after the time is up, and 50 ms of slack
RATE = 2  # calls a second that the partner takes: 1.8 at least
CLUMP = 24  # messages for one partner, GAP apart: a quarter of 120 a second, for less than 5 s
GAP = 1 / 30
FIRST_END = 3.2  # their times are up from so long after the yes on, 20 ms apart


def make_limit():
    """Return a decision: so many calls in each span of 1 s, the others are told to wait for its end."""
    taken: dict[int, int] = {}

    def decide(call: dict) -> tuple[str, float, str]:
        span = int(call["whole"])
        taken[span] = taken.get(span, 0) + 1
        if taken[span] <= RATE:
            return "200 OK", 0.1, ""
        return "429 Too Many Requests", 0.0, f"Retry-After: {span + 1 - call['whole'] + 0.001:.3f}\r\n"

    return decide


async def play(case: rig.Case) -> list[str]:
    host = rig.Host(case, "h1", 1, rate=float(RATE))
    host.decide = make_limit()
    agent = rig.Agent(case, [host])
    await case.serve(host, agent)
    port, state = rig.free_port(), case.make_state()
    settings = rig.build_settings([rig.build_grade("status-update", "pure")])

    def configure(control: str) -> dict:
        return {
            "name": "n1",
            "listen": f"{rig.LOOPBACK}:{port}",
            "control": control,
            "discovery": agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"index": 41, "snapshot": True, "endpoints": [host.row]},
            "settings": settings,
        }

    def start(number: int) -> tuple[rig.Relay, str]:
        control = f"{rig.LOOPBACK}:{rig.free_port()}"
        return rig.Relay(case, f"process{number}", state, configure(control)), control

    messages: list[dict] = []

    async def send_clump(client: rig.Client, number: int, yes_at: float) -> None:
        """Hand messages in, as fast as the page says for one partner, whose times are up about when the old
        process has to have ended."""
        for step in range(CLUMP):
            await asyncio.sleep(max(0.0, yes_at - (CLUMP - step) * GAP - time.monotonic()))
            left = yes_at + FIRST_END + step * 0.02 - time.monotonic()
            message = {"id": f"m{number}x{step:02d}", "class": "status-update", "left_ms": int(left * 1000)}
            messages.append(await client.hand_in(message | {"dest": 1}))

    current, control = start(0)
    await case.wait_control(control, 30.0)
    for number in range(1, UPGRADES + 1):
        kept = await rig.Client(case, port).connect()
        await kept.ask("GET /ready HTTP/1.1\r\nHost: service.internal\r\n")
        yes_at = time.monotonic() + ASK_AFTER + STEP * number % 0.5
        clump = asyncio.create_task(send_clump(kept, number, yes_at))
        if case.trouble:
            following, control = start(number)
        await asyncio.sleep(yes_at - time.monotonic())
        if case.trouble:
            await case.wait_control(control)
            current.send(rig.signal.SIGTERM)  # at the new process's yes
            if not await current.wait_ended(3.7):
                current.send(rig.signal.SIGKILL)
            current = following
        else:
            await asyncio.sleep(3.7)
        await clump
        kept.close()
        await asyncio.sleep(0.6)

    await asyncio.sleep(1.0)
    rig.find_ends(messages, [host], agent)
    broken = []
    for message in messages:
        if message["status"] not in (200, 202):
            continue
        end = message["end"]
        if end is None or end[0] > message["deadline"] + OVERDUE:
            broken.append(
                f"{message['id']}: taken at {case.at(message['answered'])}, its time was up at "
                f"{case.at(message['deadline'])}, "
                + (f"{end[1]} {end[0] - message['deadline']:.3f} s later" if end else "no end came")
            )
    return broken


rig.run_case(FOLDER, play)
