"""Measures the cost of one more packet while many are held: one is added, one call ends, one is sent.

    python benchmarks/held.py                                  this checkout
    python benchmarks/held.py --against ../other --rounds 3    alternating with another checkout, with ratios

Microseconds of processor time per packet (median of batches) of the decision engine: no sockets, no disk, a
simulated clock.  The hosts are simulated: the measuring loop decides when a call ends.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path

CHECKOUT = Path(__file__).resolve().parent.parent


def measure(held: int, destinations: int, hosts: int, slots: int, rate: float, packets: int) -> float:
    """Return the median microseconds per packet."""
    from millweir.facade import DecisionEngine
    from millweir.interface import SECOND, Change, Effect, Entry, Limits, Outcome, Phase, Profile, Settings

    profiles = tuple(
        Profile(effect.value, value, 5 * SECOND // 2, 600 * SECOND, 0.4, effect, 6 * SECOND, False, False)
        for effect, value in ((Effect.IDEMPOTENT, 2.0), (Effect.NON_IDEMPOTENT, 1.0))
    )
    settings = Settings(
        relays=1,
        profiles=profiles,
        tenants=(),
        zone=0,
        zones=("a",),
        kinds=("big",),
        period=5_000_000,
        slots=slots,
        max_open=0,
        max_trips=8,
        cancel=True,
        retry_after=True,
        max_retry_after=2 * SECOND,
        idle_close=10 * SECOND,
        connect_timeout=SECOND,
        value_halves=True,
        max_batch_packets=(1,),
        has_own_limit=(False,),
        over_quota_value=0.1,
        polls_host_list=False,
        host_list_poll_interval=0,
        rates_listed=True,
        rates_approximate=False,
        report_fields=(),
        drain_grace=SECOND,
        answer_slack=20_000_000,
        recovery_multiple=2.0,
        recovery_window=2 * SECOND,
        initial_capacity=0.2,
        recovery_time=10 * SECOND,
        key_quiet_period=300_000_000,
        allow_second_copies=True,
    )
    now, rng = SECOND, random.Random(1)
    engine: DecisionEngine[int] = DecisionEngine(settings, Limits(1024, 3 << 20, 64 << 20), 1, now)
    entries = tuple(
        Entry(b"%06d" % (at * 1000 + n), 0, 0, at, Phase.READY, rate)
        for at in range(destinations)
        for n in range(hosts // destinations)
    )
    engine.update_hosts(now, Change.FULL, entries)
    jobs_in_flight = []

    def add_packet() -> None:
        engine.add_packet(now, 0, rng.randrange(2), 0, 0, now + 600 * SECOND, rng.randrange(destinations))

    def run_tick() -> None:
        engine.tick(now)
        while job := engine.pop_job():
            jobs_in_flight.append(job)

    while engine._relay._open_packets < held + slots:
        for _ in range(min(100, held + slots - engine._relay._open_packets)):
            add_packet()
        now += 1_000_000
        run_tick()
    batch_microseconds = []
    for _ in range(packets // 10):
        batch_start = time.process_time_ns()
        for _ in range(10):
            now += 2_000_000
            add_packet()
            if jobs_in_flight:
                job = jobs_in_flight.pop(0)
                for part in job.parts:
                    engine.report_outcome(now, part, Outcome.FULFILLED, True)
            run_tick()
        batch_microseconds.append((time.process_time_ns() - batch_start) / 1e4)
    return statistics.median(batch_microseconds)


def measure_checkout(src: Path, arguments: argparse.Namespace) -> dict[str, float]:
    """Measure one checkout in a separate process."""
    names = ("destinations", "hosts", "slots", "rate", "packets")
    command = [sys.executable, __file__, "--one", *(f"--{name}={getattr(arguments, name)}" for name in names)]
    run = subprocess.run(
        [*command, "--held", *map(str, arguments.held)],
        stdout=subprocess.PIPE,
        check=True,
        env=os.environ | {"PYTHONPATH": str(src)},
        timeout=600,
    )
    return json.loads(run.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--held", type=int, nargs="+", default=[100, 400, 1600, 6400, 25600])
    parser.add_argument("--destinations", type=int, default=16)
    parser.add_argument("--hosts", type=int, default=32)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--rate", type=float, default=1000.0)
    parser.add_argument("--packets", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--against", type=Path)
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.one:
        print(
            json.dumps(
                {
                    held: measure(
                        held,
                        arguments.destinations,
                        arguments.hosts,
                        arguments.slots,
                        arguments.rate,
                        arguments.packets,
                    )
                    for held in arguments.held
                }
            )
        )
        return
    checkouts = {"here": CHECKOUT} | ({"other": arguments.against} if arguments.against else {})
    rounds = [
        {name: measure_checkout(src, arguments) for name, src in checkouts.items()}
        for _ in range(arguments.rounds)
    ]
    medians = {
        name: [statistics.median(one[name][str(held)] for one in rounds) for held in arguments.held]
        for name in checkouts
    }
    print("held      " + "".join(f"{held:>10}" for held in arguments.held))
    for name, median_us_values in medians.items():
        print(
            f"{name:<10}" + "".join(f"{median_us:>10.0f}" for median_us in median_us_values) + "  us a packet"
        )
    if arguments.against:
        ratios = (a / b for a, b in zip(medians["here"], medians["other"], strict=True))
        print("ratio     " + "".join(f"{ratio:>10.3f}" for ratio in ratios))


if __name__ == "__main__":
    main()
