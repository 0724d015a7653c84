"""Measures the cost of membership for a relay: time and memory at ready, processor time, off and on in pairs.

    python benchmarks/members.py --rounds 8 --against ../other

Each round starts, in rotating order: another checkout's relay (with --against), this checkout's relay without
an operator's file, and this checkout's with one in a fleet of five.  Processor time is that of the whole
process over --seconds without messages.  Differences are taken by pairs within a round.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path

CHECKOUT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(CHECKOUT))

from millweir.lab.cluster import Rig  # noqa: E402  (from this checkout, wherever it is called from)
from millweir.lab.scenario import Scenario  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def read_memory_mb(pid: int) -> float:
    """Return the resident memory in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise OSError(f"{pid} has ended")


def read_cpu_seconds(pid: int) -> float:
    """Return the processor seconds used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure_relay(relay: object, seconds: float, started_at: float) -> dict[str, float]:
    await relay.ready()
    ready = time.monotonic() - started_at
    pid = relay.process.pid
    found = {"ready": ready, "memory": read_memory_mb(pid), "start_cpu": read_cpu_seconds(pid)}
    if seconds:
        await asyncio.sleep(1.5)  # until it has joined the fleet
        before = read_cpu_seconds(pid)
        await asyncio.sleep(seconds)
        found["cpu"] = (read_cpu_seconds(pid) - before) / seconds
        found["memory_later"] = read_memory_mb(pid)
    return found


async def measure_start(which: str, root: Path, number: int, seconds: float) -> dict[str, float]:
    """Start and measure one relay; the others of its fleet are started before."""
    async with Rig(Scenario(relays=5 if which == "on" else 1, rate=0.0), 1, number=number) as rig:
        relay = rig.relays["r1"]
        relay.kill(lose_folder=True)
        if which != "on":
            spawn_bare(relay, root)
        else:
            await rig.wait_until_seen_as("r2", "r3", ("alive",), 20)
            relay.spawn()
        return await measure_relay(relay, seconds, time.monotonic())


def spawn_bare(relay: object, root: Path) -> None:
    """Start a relay without arguments, as the platform does."""
    env = os.environ | {
        "RELAY_NAME": relay.name,
        "RELAY_LISTEN": f"{relay.listen[0]}:{relay.listen[1]}",
        "RELAY_STATE": str(relay.folder / "state"),
        "RELAY_CONFIG": str(relay.folder / "config.json"),
        "PYTHONPATH": str(root),
    }
    with open(relay.folder / "log", "ab") as log:
        relay.process = subprocess.Popen([sys.executable, "-m", "millweir"], env=env, stderr=log, cwd=root)
    relay.killed = False


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--against", type=Path)
    arguments = parser.parse_args()
    kinds = {"off": CHECKOUT, "on": CHECKOUT} | (
        {"other": arguments.against.resolve()} if arguments.against else {}
    )
    rounds: list[dict[str, dict[str, float]]] = []
    for number in range(arguments.rounds):
        order = list(kinds)
        order = order[number % len(order) :] + order[: number % len(order)]
        rounds.append(
            {
                which: asyncio.run(measure_start(which, kinds[which], number, arguments.seconds))
                for which in order
            }
        )
    for field in rounds[0]["off"]:
        for which in kinds:
            values = [found[which][field] for found in rounds]
            median = statistics.median(values)
            line = f"{field:<13} {which:<6} median {median:.4f}  {min(values):.4f} to {max(values):.4f}"
            if which != "off":
                differences = [found[which][field] - found["off"][field] for found in rounds]
                line += f"  less off, in pairs: {statistics.median(differences):+.4f}"
            print(line)


if __name__ == "__main__":
    main()
