"""Two messages of one key come to one relay while its process is replaced; do they go one at a time?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2 as rig  # noqa: E402

KEYS = 16
WORK = 0.2  # at a partner of usual pace: 120 to 210 ms (listing-update)


async def hand_in_pair(case: rig.Case, kept: rig.Client, port: int, number: int) -> list[dict]:
    """One program sends on the connection it keeps, another one on a new connection, a moment later."""
    pair = [
        {
            "id": f"{letter}{number:03d}",
            "class": "listing-update",
            "left_ms": 24_000,
            "dest": 1,
            "key": f"k{number}",
        }
        for letter in "ab"
    ]
    await kept.hand_in(pair[0])
    await asyncio.sleep(0.02)
    other = rig.Client(case, port)
    await other.hand_in(pair[1])
    other.close()
    return pair


async def play(case: rig.Case) -> list[str]:
    host = rig.Host(case, "h1", 1, work=WORK)
    agent = rig.Agent(case, [host])
    await case.serve(host, agent)
    port, state = rig.free_port(), case.make_state()
    settings = rig.build_settings(
        [
            rig.build_grade(
                "listing-update",
                "token",
                **{"give-up-us": 24_000_000, "dedup-window-us": 6_000_000},
                **{"key-scope": "all", "one-at-a-time": True},
            )
        ]
    )
    settings["obligations"]["key-quiet-us"] = 300_000
    controls = [f"{rig.LOOPBACK}:{rig.free_port()}" for _ in range(2)]

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

    old = rig.Relay(case, "old", state, configure(controls[0]))
    await case.wait_control(controls[0], 30.0)
    kept = [await rig.Client(case, port).connect() for _ in range(KEYS)]
    for number, client in enumerate(kept):  # each program is in use before
        await client.hand_in(
            {"id": f"w{number:03d}", "class": "listing-update", "left_ms": 24_000, "dest": 1}
        )
    await asyncio.sleep(1.5)
    if case.trouble:
        rig.Relay(case, "new", state, configure(controls[1]))
        await case.wait_control(controls[1])
    pairs = []
    for number, client in enumerate(kept):
        if number == KEYS // 2 and case.trouble:
            old.send(rig.signal.SIGTERM)  # at the new process's yes; the other programs go on
        pairs.append(await hand_in_pair(case, client, port, number))
        await asyncio.sleep(0.02)
    await asyncio.sleep(8.0)

    broken = []
    calls = {}
    for call in host.calls:
        calls.setdefault(call["id"], []).append(call)
    for first, second in pairs:
        if first["status"] not in (200, 202) or second["status"] not in (200, 202):
            continue
        for later in calls.get(second["id"], ()):
            out = [
                c for c in calls.get(first["id"], ()) if c["first"] < later["whole"] < (c["answered"] or 1e9)
            ]
            unsent = not any(c["answered"] for c in calls.get(first["id"], ()) if c["first"] < later["whole"])
            if out and later["whole"] + rig.SLACK < (out[0]["answered"] or 1e9):
                broken.append(
                    f"key {first['key']}: {second['id']} was sent at {case.at(later['whole'])} while "
                    f"{first['id']}, taken at {case.at(first['answered'])}, was out "
                    f"(from {case.at(out[0]['first'])} to {case.at(out[0]['answered'])})"
                )
            elif unsent and not out:
                broken.append(f"key {first['key']}: {second['id']} was sent before {first['id']}")
    return broken


rig.run_case(FOLDER, play)
