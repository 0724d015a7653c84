"""A new configuration names a new class and a new address of discovery; is all that was taken on ended?"""

from __future__ import annotations

import asyncio
import copy
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2 as rig  # noqa: E402

OVERDUE = 0.3 + rig.SLACK
GRACE = 2.0 + rig.SLACK
RATE = 3  # calls a second that the partner takes


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


async def play(case: rig.Case) -> list[str]:
    partner, other, spare = (
        rig.Host(case, "h1", 1, rate=float(RATE)),
        rig.Host(case, "h2", 2),
        rig.Host(case, "h3", 2),
    )
    partner.decide = make_limit()
    hosts = [partner, other, spare]
    agent = rig.Agent(case, hosts)
    await case.serve(*hosts, agent)
    moved = rig.Agent(case, hosts, agent)
    await case.serve(moved)
    port, state = rig.free_port(), case.make_state()
    ordered = rig.build_grade(
        "listing-update",
        "token",
        **{"give-up-us": 24_000_000, "dedup-window-us": 6_000_000, "key-scope": "all", "one-at-a-time": True},
    )
    settings = rig.build_settings([ordered])
    settings["obligations"] |= {"key-quiet-us": 300_000, "drain-grace-us": 2_000_000}
    config = {
        "name": "n1",
        "listen": f"{rig.LOOPBACK}:{port}",
        "discovery": agent.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"index": 41, "snapshot": True, "endpoints": [host.row for host in hosts]},
        "settings": settings,
    }
    relay = rig.Relay(case, "relay", state, config)
    await case.wait_ready(port)
    await asyncio.sleep(2.0)
    if case.trouble:
        # A class appears, and discovery has another address; nothing else is new.
        new = copy.deepcopy(config)
        reissue = rig.build_grade(
            "barcode-reissue", "side_effect", **{"dedup-window-us": 6_000_000, "key-scope": "all"}
        )
        new["settings"]["grades"].append(reissue)  # it has no `one-at-a-time`, which is optional
        new["discovery"] = moved.address
        relay.write_config(new)
        relay.send(rig.signal.SIGHUP)
        agent.stop_listening()
        await asyncio.sleep(1.5)
        agent.close_connections()
    told = moved if case.trouble else agent
    await asyncio.sleep(2.5)  # what discovery has to tell counts as told 4 s after SIGHUP
    client = rig.Client(case, port)
    messages = []
    for number in range(40):
        message = {"id": f"m{number:03d}", "class": "listing-update", "left_ms": 4_000, "dest": 1}
        messages.append(await client.hand_in(message))
        await asyncio.sleep(1 / 30)  # a quarter of 120 a second for one partner
    drained_at = told.tell(other, "DRAINING")
    told_at = drained_at + 6.0  # whatever discovery has to tell counts as told 6 s later at the latest
    for number in range(100):
        message = {"id": f"d{number:03d}", "class": "listing-update", "left_ms": 10_000, "dest": 2}
        messages.append(await client.hand_in(message))
        await asyncio.sleep(0.1)
    client.close()
    await asyncio.sleep(6.0)

    rig.find_ends(messages, hosts, told)
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
    for call in other.calls:
        if call["first"] > told_at + GRACE:
            when = f"told to drain at {case.at(told_at)} at the latest"
            broken.append(f"host h2, {when}, was sent {call['id']} at {case.at(call['first'])}")
    return broken


rig.run_case(FOLDER, play)
