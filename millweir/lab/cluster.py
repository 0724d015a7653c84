"""Play a scenario on real relays: processes, stand-ins, a proxy for each directed pair, timed faults."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from millweir.lab.checker import Terms, Verdict, check_rules
from millweir.lab.history import History, Ready, Struck, steady
from millweir.lab.processes import Address, Relay, TookTooLong
from millweir.lab.scenario import HOST, Fault, Scenario, timeline
from millweir.lab.standins import SETTINGS, Clients, Host, Platform
from millweir.lab.views import Finding, Truth, Watched, findings
from millweir.lab.wire import Faults, Wire

KILL_AFTER = 3.7  # seconds from SIGTERM to SIGKILL at the earliest
RESTART_AFTER = 0.6  # seconds from SIGKILL to the next start
RELOADS = 3  # signals in a row
POLL = 0.25  # seconds between looks at the views
DUE = 8.6  # seconds after the last packet until every end is due


def own_address(number: int = 0) -> str:
    """A loopback address that no other rig on this machine uses."""
    pid = os.getpid()
    return f"127.{64 + number % 64}.{pid >> 8 & 255}.{pid & 255}"


@dataclass(slots=True)
class Played:
    """What a scenario came to."""

    verdict: Verdict
    finding: Finding
    faults: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)  # of the rig's own waits

    @property
    def fine(self) -> bool:
        return self.verdict.fine and self.finding.fine and not self.failures


class Rig:
    """All that a scenario needs; `async with` starts it, and ends every process on the way out."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path | None = None, number: int = 0) -> None:
        self.scenario, self.seed = scenario, seed
        self.folder = folder or Path(tempfile.mkdtemp(prefix="mw-"))
        self._keep = folder is not None
        self.folder.mkdir(parents=True, exist_ok=True)
        self.chance = random.Random(seed ^ 0x5EED)
        self.host = own_address(number)
        self.history, self.truth = History(), Truth(scenario.names)
        self.platform = Platform((self.host, 7900), self.history)
        calls = [0]
        self.hosts = [
            Host(
                f"h{n}",
                n % scenario.groups,
                scenario.host_rate,
                (self.host, 8000 + n),
                self.history,
                random.Random(self.chance.getrandbits(60)),
                calls,
            )
            for n in range(scenario.hosts)
        ]
        self.wires: dict[tuple[str, str], Wire] = {}
        self.relays: dict[str, Relay] = {}
        self._clients: Clients | None = None
        self._tasks: set[asyncio.Task] = set()
        self.failures: list[str] = []

    async def __aenter__(self) -> Rig:
        try:
            await self._open()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._close()

    # Addresses.

    def members_at(self, name: str) -> Address:
        return self.host, 7100 + self.scenario.names.index(name)

    def wire_at(self, start: str, end: str) -> Address:
        names = self.scenario.names
        return self.host, 10000 + names.index(start) * len(names) + names.index(end)

    def operator(self, name: str, /, seeds: tuple[str, ...] = (), **more: str) -> str:
        """The operator's file of a relay: it reaches the others by its own wires."""
        scenario, names = self.scenario, self.scenario.names

        def text(address: Address) -> str:
            return f'"{address[0]}:{address[1]}"'

        via = "\n".join(
            f"{text(self.members_at(end))} = {text(self.wire_at(name, end))}" for end in names if end != name
        )
        seeds = seeds or names[:2]
        lines = {
            "cluster": '"rig"',
            "listen": text(self.members_at(name)),
            "seeds": f"[{', '.join(text(self.members_at(seed)) for seed in seeds)}]",
            "place": f'"b{names.index(name) % 2}/m{names.index(name)}"',
            "interval": f'"{scenario.interval // 1000}us"',
            "timeout": f'"{scenario.interval // 2000}us"',
            "suspicion": str(scenario.suspicion),
            "doubt-most": f'"{scenario.doubt_most // 1000}us"',
            "contact-every": f'"{max(scenario.interval * 5, 10 ** 8) // 1000}us"',
            "protocol": str(scenario.protocols.get(name, 2)),
        } | more
        if scenario.key:
            key = self.folder / "key"
            key.write_text("a key for this rig alone\n")
            lines["key-file"] = f'"{key}"'
        body = "\n".join(f"{key} = {value}" for key, value in lines.items())
        return f"[members]\n{body}\n\n[members.via]\n{via}\n"

    def config(self, name: str) -> dict:
        return {
            "name": name,
            "seed": "2a",
            "limits": {"memory_mb": 192, "sockets": 512, "disk_mb": 16},
            "discovery": f"{self.platform.address[0]}:{self.platform.address[1]}",
            "known": self.platform.list() | {"index": 0},
            "settings": SETTINGS
            | {
                "balancers": self.scenario.relays,
                "family-info": SETTINGS["family-info"] | {"bundle-max": [self.scenario.bundle]},
            },
        }

    # Start and end.

    async def _open(self) -> None:
        await self.platform.open()
        for host in self.hosts:
            await host.open()
            await self.platform.put(host)
        for start in self.scenario.names if self.scenario.members else ():
            for end in self.scenario.names:
                if start != end:
                    chance = random.Random(self.chance.getrandbits(60))
                    wire = self.wires[start, end] = Wire(start, end, self.members_at(end), chance)
                    await wire.open(self.wire_at(start, end))
        for (start, end), wire in self.wires.items():
            wire.back = self.wires[end, start]
        for number, name in enumerate(self.scenario.names):
            relay = self.relays[name] = Relay(
                name,
                self.folder / name,
                (self.host, 7000 + number),
                lambda name=name: self.config(name),
                self.operator(name) if self.scenario.members else "",
            )
            relay.spawn()
        await asyncio.gather(*(relay.ready() for relay in self.relays.values()))
        for name in self.relays:
            self.history.add(Ready(steady(), name))

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for relay in self.relays.values():
            if relay.alive:
                relay.signal(signal.SIGCONT)
                relay.kill()
        if self._clients:
            self._clients.close()
        for part in (*self.wires.values(), *self.hosts, self.platform):
            with contextlib.suppress(AttributeError):
                part.close()
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def task(self, what: object) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Views.

    async def views(self) -> dict[str, dict[str, str]]:
        """Of each relay that is up: how it sees each other one."""
        up = [relay for relay in self.relays.values() if relay.up]
        found = await asyncio.gather(*(relay.view() for relay in up))
        return {
            relay.name: {row["name"]: row["degree"] for row in view["members"]}
            for relay, view in zip(up, found, strict=True)
            if view
        }

    async def agreed(
        self, seconds: float = 30.0, among: tuple[str, ...] = (), fits: Callable[[dict], bool] | None = None
    ) -> float:
        """Wait until all that are up hold each other for there; returns how long it took."""
        began = time.monotonic()
        names = set(among or self.scenario.names)
        views: dict = {}

        def all_there() -> bool:
            return names <= set(views) and all(
                views[name].get(other) in ("alive", "late") for name in names for other in names - {name}
            )

        while True:
            views = await self.views()
            if (fits or (lambda _: all_there()))(views):
                return time.monotonic() - began
            if time.monotonic() - began > seconds:
                raise TookTooLong(f"no agreement within {seconds} s: {views}")
            await asyncio.sleep(0.05)

    async def sees(self, viewer: str, name: str, degrees: tuple[str, ...], seconds: float = 30.0) -> float:
        """Wait until one relay holds another for one of these; returns how long it took."""
        return await self.agreed(seconds, fits=lambda views: views.get(viewer, {}).get(name) in degrees)

    # Faults.

    def set_links(
        self, starts: tuple[str, ...], ends: tuple[str, ...], both: bool = False, **how: object
    ) -> None:
        for start in starts:
            for end in ends:
                for pair in ((start, end), (end, start)) if both else ((start, end),):
                    if wire := self.wires.get(pair):
                        for key, value in how.items():
                            setattr(wire.faults, key, value)

    async def strike(self, fault: Fault) -> None:
        """Let a fault begin, and end after its span; the rig's own waits that fail are kept."""
        self._note(fault, over=False)
        try:
            if fault.kind in HOST:
                await asyncio.gather(*(self._strike_host(fault, int(name[1:])) for name in fault.who))
            elif fault.who:
                await asyncio.gather(*(self._strike_process(fault, self.relays[name]) for name in fault.who))
            else:
                await self._strike_links(fault)
        except TookTooLong as late:
            self.failures.append(f"{fault.line()}: {late}")
        self._note(fault, over=True)

    def _note(self, fault: Fault, over: bool) -> None:
        for who in fault.who or ("",):
            self.history.add(Struck(steady(), fault.kind, who, over))
        self.truth.struck(time.monotonic(), fault, over)

    async def _strike_process(self, fault: Fault, relay: Relay) -> None:
        seconds = fault.span / 1e9
        if fault.kind == "stop":
            relay.stop()
            await asyncio.sleep(seconds)
            relay.go_on()
        elif fault.kind == "starve":
            await relay.starve(fault.share, seconds)
        elif fault.kind == "full":
            relay.fill(True)
            await asyncio.sleep(seconds)
            relay.fill(False)
        elif fault.kind == "skew":
            relay.skew(fault.hours)
            await asyncio.sleep(seconds)
            relay.skew(0)
        elif fault.kind == "reload":
            for _ in range(RELOADS):
                relay.signal(signal.SIGHUP)
                await asyncio.sleep(seconds / RELOADS)
        elif relay.alive:
            if fault.kind == "term":
                await relay.end()
            elif fault.kind == "roll":
                relay.killed = True  # whoever waits for it to be ready waits no longer
                relay.signal(signal.SIGTERM)
                await asyncio.sleep(KILL_AFTER)
                self._kill(relay)
            elif fault.kind == "kill-twice":
                relay.kill()
                await asyncio.sleep(RESTART_AFTER)
                relay.spawn()
                await asyncio.sleep(self.chance.uniform(0.0, RESTART_AFTER))
                self._kill(relay)
            else:
                relay.kill(fault.kind == "lose")
            self.truth.died(time.monotonic(), relay.name, fault.kind)
            await asyncio.sleep(seconds)
            if fault.span and not relay.alive:
                await self.back(relay, fault.wait / 1e9 if fault.kind == "slow" else 0.0)

    def _kill(self, relay: Relay) -> None:
        """Kill what runs by now, and say so: another fault may have started it since this one began."""
        self.history.add(Struck(steady(), "kill", relay.name))
        relay.kill()

    async def back(self, relay: Relay, held: float = 0.0) -> None:
        """Start it again, with the folder that it has."""
        self.truth.returned(time.monotonic(), relay.name)
        relay.spawn(held > 0)
        if held:
            await asyncio.sleep(held)
            relay.go_on()
        await relay.ready()
        if not relay.killed:
            self.history.add(Ready(steady(), relay.name))

    async def _strike_host(self, fault: Fault, number: int) -> None:
        host = self.hosts[number]
        if fault.kind == "drain":
            await self.platform.put(host, "DRAINING")
            await asyncio.sleep(fault.span / 1e9)
            await self.platform.put(host)
        elif fault.kind == "refuse":
            host.shut()
            await asyncio.sleep(fault.span / 1e9)
            await host.reopen()
        elif fault.kind == "shut":
            host.shut_for(fault.span, fault.share)
            await asyncio.sleep(fault.span / 1e9)
            host.open_again()
        elif fault.kind in ("mute", "short"):
            setattr(host, fault.kind, True)
            await asyncio.sleep(fault.span / 1e9)
            setattr(host, fault.kind, False)
        else:
            host.hang(True)
            await asyncio.sleep(fault.span / 1e9)
            host.hang(False)

    async def _strike_links(self, fault: Fault) -> None:
        seconds, both = fault.span / 1e9, fault.kind in ("cut", "split", "flap")
        how = {
            "cut": {"cut": True},
            "split": {"cut": True},
            "cut-one-way": {"cut": True},
            "loss": {"loss": fault.share},
            "duplicate": {"duplicate": fault.share},
            "delay": {"delay": fault.wait / 1e9},
            "reorder": {"jitter": fault.wait / 1e9},
            "bandwidth": {"bytes_second": fault.bytes_second},
            "flap": {"cut": True},
        }[fault.kind]
        calm = {key: getattr(Faults(), key) for key in how}
        end = time.monotonic() + seconds
        if fault.kind == "flap":
            while time.monotonic() < end:
                self.set_links(fault.start, fault.end, both, **how)
                await asyncio.sleep(fault.wait / 1e9)
                self.set_links(fault.start, fault.end, both, **calm)
                await asyncio.sleep(fault.wait / 1e9)
        else:
            self.set_links(fault.start, fault.end, both, **how)
            await asyncio.sleep(seconds)
        self.set_links(fault.start, fault.end, both, **calm)

    # A whole scenario.

    async def play(self, say: Callable[[str], None] = lambda line: None) -> Played:
        scenario, faults = self.scenario, timeline(self.scenario, self.seed)
        if scenario.members:
            await self.agreed()
        watched = Watched()
        began = time.monotonic()
        self.truth.began = began
        self._clients = Clients(
            lambda: [(relay.name, relay.listen) for relay in self.relays.values() if relay.up],
            scenario.groups,
            scenario.rate,
            self.history,
            random.Random(self.chance.getrandbits(60)),
        )
        for relay in self.relays.values():
            await self._clients.rest(relay.name, relay.listen, scenario.crowd)
        load = self.task(self._clients.run(scenario.span / 1e9)) if scenario.rate else None
        watch = self.task(self._watch(watched)) if scenario.members else None
        running = []
        for fault in faults:
            await asyncio.sleep(max(began + fault.at / 1e9 - time.monotonic(), 0))
            say(fault.line())
            running.append(self.task(self.strike(fault)))
        await asyncio.sleep(max(began + scenario.span / 1e9 - time.monotonic(), 0))
        if running:
            await asyncio.wait(running)
        with contextlib.suppress(TookTooLong):
            if scenario.members:
                await self.agreed(30.0, tuple(relay.name for relay in self.relays.values() if relay.up))
        if load:
            await load
            await asyncio.sleep(DUE)
        if watch:
            watched.last = await self.views()
            watch.cancel()
        self.truth.over = time.monotonic()
        self.failures += [
            f"{relay.name} ended by itself: {relay.tail()}"
            for relay in self.relays.values()
            if not relay.alive and relay.name not in self.truth.down
        ]
        events = {relay.name: relay.read_events() for relay in self.relays.values()}
        verdict = check_rules(self.history, self.terms(), steady())
        finding = findings(self.truth, watched, events) if scenario.members else Finding()
        if self._keep:
            self.history.write(self.folder / "history.jsonl")
            (self.folder / "views.json").write_bytes(msgspec.json.encode(watched.rows))
        return Played(verdict, finding, [fault.line() for fault in faults], self.failures)

    async def _watch(self, watched: Watched) -> None:
        while True:
            watched.add(time.monotonic(), await self.views())
            await asyncio.sleep(POLL)

    @staticmethod
    def terms() -> Terms:
        def named(**fits: object) -> frozenset[str]:
            return frozenset(
                grade["name"]
                for grade in SETTINGS["grades"]
                if all(grade.get(key) == value for key, value in fits.items())
            )

        rules = SETTINGS["obligations"]
        known = min(grade["dedup-window-us"] for grade in SETTINGS["grades"] if "dedup-window-us" in grade)
        return Terms(
            named(semantics="side_effect"),
            named(semantics="token"),
            named(**{"one-at-a-time": True}),
            known * 1000,
            rules["drain-grace-us"] * 1000,
        )
