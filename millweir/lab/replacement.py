"""Faults of a relay whose process is replaced: two processes with one folder and one address for clients.

While both run, clients hand in messages whose order or time shows whether the two act as one relay: pairs
with one key, the second on another connection than the first, and messages that nobody delivers, whose time
is up about when the old process ends.  Hosts are cordoned and uncordoned at either process.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time

from millweir.lab.history import Cordoned, History, Replaced, monotonic_ns
from millweir.lab.processes import Relay, WaitTimeout, wait_until
from millweir.lab.standins import Clients

YES_WITHIN_S = 6.0  # of a new process
KILL_AFTER_S = 3.7  # time from SIGTERM to SIGKILL
MAX_TERM_DELAY_S = 0.5  # from the new process's yes to the old one's SIGTERM
PAIRS = 6
PAIR_GAP_S = 0.02  # between the two messages of a pair, as drawn at most
DUE_MESSAGES = 40
DUE_AFTER_S = (2.8, 4.2)  # from the yes to the end of their time
CORDON_S = 5.0
UNCORDON_TRIES = 40
UNCORDON_RETRY_S = 0.25


async def replace_process(
    relay: Relay,
    clients: Clients,
    parked_group: int,
    hosts: list[str],
    history: History,
    rng: random.Random,
) -> None:
    """Replace a relay's process as in an upgrade; nothing where another fault holds or ends the relay.

    `hosts`: to be cordoned meanwhile; `parked_group`: a destination without a host in use.

    Raises WaitTimeout where the new process says no yes, or the old one does not end in time.
    """
    if not relay.up or relay.has_predecessor or not await relay.is_ready():
        return
    kept = [await clients.connect(relay.listen) for _ in range(PAIRS)]
    relay.replace()
    process = relay.process
    await wait_until_yes(relay, process)
    if relay.process is not process or not relay.alive:
        return  # ended by another fault
    due_after = [rng.uniform(*DUE_AFTER_S) for _ in range(DUE_MESSAGES)]
    due = asyncio.gather(
        *(clients.send_due(relay.name, relay.listen, parked_group, seconds) for seconds in due_after)
    )
    pairs = asyncio.gather(*(_send_pair(relay, clients, one, rng) for one in kept))
    cordons = asyncio.gather(cordon_hosts(relay, hosts, CORDON_S, history, rng))
    await asyncio.sleep(rng.uniform(0.0, MAX_TERM_DELAY_S))
    relay.signal_predecessor(signal.SIGTERM)
    try:
        await wait_until(lambda: not relay.has_predecessor, KILL_AFTER_S, f"the old process of {relay.name}")
    finally:
        relay.signal_predecessor(signal.SIGKILL)
        history.add(Replaced(monotonic_ns(), relay.name))
    await asyncio.gather(due, pairs, cordons)


async def wait_until_yes(relay: Relay, process: object) -> None:
    """Wait until a relay's new process says that it is ready, or is ended by another fault."""
    until = time.monotonic() + YES_WITHIN_S
    while relay.process is process and relay.alive:
        if (await relay.command("health")).startswith("SUCCESS"):
            return
        if time.monotonic() > until and not relay.stopped:
            raise WaitTimeout(f"{relay.name}: no yes of the new process within {YES_WITHIN_S} s")
        await asyncio.sleep(0.05)


async def _send_pair(relay: Relay, clients: Clients, kept: Clients.Connection, rng: random.Random) -> None:
    """Send two messages of a new key, the one on a kept connection, the other one on a new one."""
    key = f"pair{rng.getrandbits(40):x}"
    await asyncio.sleep(rng.uniform(0.0, MAX_TERM_DELAY_S))
    connections = [kept, None]
    rng.shuffle(connections)
    for connection in connections:
        await clients.send_ordered(relay.name, relay.listen, key, connection)
        await asyncio.sleep(rng.uniform(0.0, PAIR_GAP_S))


async def cordon_hosts(
    relay: Relay, hosts: list[str], seconds: float, history: History, rng: random.Random
) -> None:
    """Cordon hosts at the same moment, at one of the relay's processes after the other, and uncordon them."""
    first = rng.randrange(2)
    await asyncio.gather(
        *(_cordon_host(relay, host, (first + number) % 2 == 1, history) for number, host in enumerate(hosts))
    )
    await asyncio.sleep(seconds)
    await asyncio.gather(*(_uncordon_host(relay, host, history, rng) for host in hosts))


async def _cordon_host(relay: Relay, host: str, at_predecessor: bool, history: History) -> None:
    answer = await relay.command(f"cordon {host}", at_predecessor)
    if answer.startswith("SUCCESS"):
        history.add(Cordoned(monotonic_ns(), relay.name, host))


async def _uncordon_host(relay: Relay, host: str, history: History, rng: random.Random) -> None:
    for _ in range(UNCORDON_TRIES):
        # From here on the ban may have ended, whatever is answered.
        history.add(Cordoned(monotonic_ns(), relay.name, host, over=True))
        answer = await relay.command(f"uncordon {host}", at_predecessor=rng.random() < 0.5)
        if answer.startswith("SUCCESS"):
            return
        await asyncio.sleep(UNCORDON_RETRY_S)
