"""Two hosts are taken out by hand while the relay's process is replaced; do both stay out?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig_2 as rig  # noqa: E402

GRACE = 0.5 + rig.SLACK
PAUSE = 0.1  # between the two calls of the operator


async def play(case: rig.Case) -> list[str]:
    hosts = [rig.Host(case, name, 1, rate=60.0, work=0.1) for name in ("a", "b", "c", "d")]
    agent = rig.Agent(case, hosts)
    await case.serve(*hosts, agent)
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
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"index": 41, "snapshot": True, "endpoints": [host.row for host in hosts]},
            "settings": settings,
        }

    old = rig.Relay(case, "old", state, configure(controls[0]))
    await case.wait_control(controls[0], 30.0)

    async def send_traffic() -> None:
        """Twenty messages a second, each program on a new connection after a while."""
        client = rig.Client(case, port)
        for number in range(200):
            if number % 5 == 0:
                client.close()
            message = {"id": f"m{number:04d}", "class": "status-update", "left_ms": 10_000, "dest": 1}
            await client.hand_in(message)
            await asyncio.sleep(0.05)
        client.close()

    traffic = asyncio.create_task(send_traffic())
    await asyncio.sleep(1.0)
    if case.trouble:
        rig.Relay(case, "new", state, configure(controls[1]))
        await case.wait_control(controls[1])
    # The operator takes host a out, then host b, now that the new process has said yes.
    out: dict[str, float] = {}
    for name, control in (("a", controls[0]), ("b", controls[1] if case.trouble else controls[0])):
        if (await case.command(control, f"cordon {name}")).startswith("SUCCESS"):
            out[name] = asyncio.get_running_loop().time()
        await asyncio.sleep(PAUSE)
    if case.trouble:
        old.send(rig.signal.SIGTERM)
        await old.wait_ended(3.7)
    await traffic
    await asyncio.sleep(1.0)

    broken = []
    for host in hosts:
        if host.name in out:
            late = [call for call in host.calls if call["first"] > out[host.name] + GRACE]
            broken += [
                f"host {host.name}, out by hand since {case.at(out[host.name])} and never called back, "
                f"was sent {call['id']} at {case.at(call['first'])}"
                for call in late
            ]
    return broken


rig.run_case(FOLDER, play)
