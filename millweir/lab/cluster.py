"""Runs a scenario on relay processes, with stand-ins, a fault proxy per directed pair and timed faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from millweir.lab.checker import Terms, Verdict, check_rules
from millweir.lab.closed_connections import ClosedConnections, CloseTerms
from millweir.lab.copied_answers import CopiedAnswers, CopyTerms
from millweir.lab.destination import Destination, RecoveryTerms
from millweir.lab.history import Answered, Ended, History, Offered, Ready, Started, Struck, monotonic_ns
from millweir.lab.processes import ROOT, Address, Relay, WaitTimeout
from millweir.lab.replacement import cordon_hosts, replace_process
from millweir.lab.scenario import (
    CLIENTS,
    HOST,
    HOST_CLOSES,
    HOST_COPIES,
    PLATFORM_COPIES,
    Fault,
    Scenario,
    list_faults,
)
from millweir.lab.standins import SETTINGS, Clients, Host, Platform, draw_setting_changes
from millweir.lab.views import FaultRecord, MembershipFinding, PolledViews, evaluate_views
from millweir.lab.wire import Faults, Wire

KILL_AFTER_S = 3.7  # minimum time from SIGTERM to SIGKILL
RESTART_AFTER_S = 0.6  # from SIGKILL to the next start
RELOAD_SIGNALS = 3
MAX_COPIES = 4  # of one answer
VIEW_POLL_S = 0.25
USAGE_POLL_S = 0.1
OUTCOME_WAIT_S = 8.6  # from the last message until every outcome is due


@dataclass(slots=True)
class PeakUsage:
    """The most that any process of a relay took."""

    memory_mb: float = 0.0
    descriptors: int = 0


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """The requests of usual clients: how many, how many had no answer in time, and the 99th percentile."""

    requests: int
    unanswered: int
    p99_ms: float


def measure_answers(history: History) -> AnswerTimes:
    """Measure from the offer of each message to its answer."""
    offered_at = {row.id: row.at for row in history.select(Offered)}
    answers = list(history.select(Answered))
    times = sorted(row.at - offered_at[row.id] for row in answers if row.status)
    p99 = times[len(times) * 99 // 100] / 1e6 if times else 0.0
    return AnswerTimes(len(answers), sum(1 for row in answers if not row.status), p99)


def rig_address(number: int = 0) -> str:
    """Return a loopback address that no other rig on this machine uses."""
    pid = os.getpid()
    return f"127.{64 + number % 64}.{pid >> 8 & 255}.{pid & 255}"


@dataclass(slots=True)
class RunResult:
    """The result of a scenario run."""

    verdict: Verdict
    finding: MembershipFinding
    faults: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)  # timeouts of the rig's own waits
    connections: int = 0  # to hosts and the platform, opened by the relays' processes that run at the end
    usage: dict[str, PeakUsage] = field(default_factory=dict)  # by relay
    answers: AnswerTimes = field(default_factory=lambda: AnswerTimes(0, 0, 0.0))

    @property
    def passed(self) -> bool:
        return self.verdict.passed and self.finding.passed and not self.failures


class Rig:
    """All components of a scenario run; `async with` starts them and ends every process on exit."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path | None = None, number: int = 0) -> None:
        self.scenario, self.seed = scenario, seed
        self.folder = folder or Path(tempfile.mkdtemp(prefix="mw-"))
        self._keep = folder is not None
        self.folder.mkdir(parents=True, exist_ok=True)
        self.rng = random.Random(seed ^ 0x5EED)
        self._change_rng = random.Random(seed ^ 0xC4A46E)  # of replacements, commands and configuration files
        self.host = rig_address(number)
        self.history, self.injected_faults = History(), FaultRecord(scenario.names)
        self.platform = Platform((self.host, 7900), self.history, random.Random(seed ^ 0xC0B1E5))
        calls = [0]
        limits = self._build_destinations()
        self.hosts = [
            Host(
                f"h{n}",
                n % scenario.groups,
                limits[n % len(limits)],
                (self.host, 8000 + n),
                self.history,
                random.Random(self.rng.getrandbits(60)),
                calls,
            )
            for n in range(scenario.hosts)
        ]
        for host in self.hosts:
            host.refused_share = scenario.refused_share
            host.service_time = scenario.service_time
            host.is_over = self._is_over
        self.wires: dict[tuple[str, str], Wire] = {}
        self.relays: dict[str, Relay] = {}
        self._clients: Clients | None = None
        self._tasks: set[asyncio.Task] = set()
        self.failures: list[str] = []
        self.usage = {name: PeakUsage() for name in scenario.names}
        self.hostile_waits: list[float] = []  # the longest of each hostile process, see hostile_clients

    async def __aenter__(self) -> Rig:
        try:
            await self._open()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._close()

    def _build_destinations(self) -> list[Destination]:
        """One rate limit for each destination, or for each host."""
        terms = RecoveryTerms.from_settings(SETTINGS["obligations"])
        count = self.scenario.groups if self.scenario.shared_limit else self.scenario.hosts
        return [Destination(self.scenario.host_rate, terms, monotonic_ns()) for _ in range(count)]

    def _build_parked_host(self) -> Host:
        """A host that is never used, so that messages for its destination wait until their time is up."""
        terms = RecoveryTerms.from_settings(SETTINGS["obligations"])
        destination = Destination(self.scenario.host_rate, terms, 0)
        address = self.host, 8000 + self.scenario.hosts
        rng = random.Random(self.seed)
        return Host("parked", self.scenario.groups, destination, address, self.history, rng, [0])

    def _is_over(self, ident: str) -> bool:
        """Whether the hosts say of a message that it is over; the same for every call."""
        share = self.scenario.over_share
        return share > 0 and random.Random(f"{self.seed} {ident}").random() < share

    # Addresses.

    def members_address(self, name: str) -> Address:
        return self.host, 7100 + self.scenario.names.index(name)

    def wire_address(self, start: str, end: str) -> Address:
        names = self.scenario.names
        return self.host, 10000 + names.index(start) * len(names) + names.index(end)

    def build_operator_file(self, name: str, /, seeds: tuple[str, ...] = (), **more: str) -> str:
        """Build the operator's file of a relay, which reaches each other relay through a fault proxy."""
        scenario, names = self.scenario, self.scenario.names

        def quote(address: Address) -> str:
            return f'"{address[0]}:{address[1]}"'

        via = "\n".join(
            f"{quote(self.members_address(end))} = {quote(self.wire_address(name, end))}"
            for end in names
            if end != name
        )
        seeds = seeds or names[:2]
        lines = {
            "cluster": '"rig"',
            "listen": quote(self.members_address(name)),
            "seeds": f"[{', '.join(quote(self.members_address(seed)) for seed in seeds)}]",
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

    def build_config(self, name: str) -> dict:
        return {
            "name": name,
            "seed": "2a",
            "limits": {
                "memory_mb": self.scenario.memory_mb,
                "sockets": self.scenario.descriptors,
                "disk_mb": self.scenario.disk_mb,
            },
            "discovery": f"{self.platform.address[0]}:{self.platform.address[1]}",
            "known": self.platform.build_host_list() | {"index": 0},
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
            await self.platform.update_host(host)
        if self.scenario.replaces_processes:
            await self.platform.update_host(self._build_parked_host(), "DRAINING")
        for start in self.scenario.names if self.scenario.members else ():
            for end in self.scenario.names:
                if start != end:
                    rng = random.Random(self.rng.getrandbits(60))
                    wire = self.wires[start, end] = Wire(start, end, self.members_address(end), rng)
                    await wire.open(self.wire_address(start, end))
        for (start, end), wire in self.wires.items():
            wire.reverse = self.wires[end, start]
        for number, name in enumerate(self.scenario.names):
            relay = self.relays[name] = Relay(
                name,
                self.folder / name,
                (self.host, 7000 + number),
                lambda name=name: self.build_config(name),
                self.build_operator_file(name) if self.scenario.members else "",
                ((self.host, 7200 + 2 * number), (self.host, 7201 + 2 * number)),
            )
            self._spawn(relay)
        await asyncio.gather(*(relay.ready() for relay in self.relays.values()))
        for name in self.relays:
            self.history.add(Ready(monotonic_ns(), name))

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

    def start_task(self, coroutine: object) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Views.

    async def collect_views(self) -> dict[str, dict[str, str]]:
        """Return for each running relay how it sees each other one."""
        up = [relay for relay in self.relays.values() if relay.up]
        views = await asyncio.gather(*(relay.request_view() for relay in up))
        return {
            relay.name: {row["name"]: row["degree"] for row in view["members"]}
            for relay, view in zip(up, views, strict=True)
            if view
        }

    async def wait_until_agreed(
        self,
        seconds: float = 30.0,
        among: tuple[str, ...] = (),
        condition: Callable[[dict], bool] | None = None,
    ) -> float:
        """Wait until all relays see each other as alive; return the seconds it took."""
        started_at = time.monotonic()
        names = set(among or self.scenario.names)
        views: dict = {}

        def all_alive() -> bool:
            return names <= set(views) and all(
                views[name].get(other) in ("alive", "late") for name in names for other in names - {name}
            )

        while True:
            views = await self.collect_views()
            if (condition or (lambda _: all_alive()))(views):
                return time.monotonic() - started_at
            if time.monotonic() - started_at > seconds:
                raise WaitTimeout(f"no agreement within {seconds} s: {views}")
            await asyncio.sleep(0.05)

    async def wait_until_seen_as(
        self, viewer: str, name: str, degrees: tuple[str, ...], seconds: float = 30.0
    ) -> float:
        """Wait until one relay sees another in one of these states; return the seconds it took."""
        return await self.wait_until_agreed(
            seconds, condition=lambda views: views.get(viewer, {}).get(name) in degrees
        )

    # Faults.

    def set_links(
        self, starts: tuple[str, ...], ends: tuple[str, ...], both: bool = False, **faults: object
    ) -> None:
        for start in starts:
            for end in ends:
                for pair in ((start, end), (end, start)) if both else ((start, end),):
                    if wire := self.wires.get(pair):
                        for key, value in faults.items():
                            setattr(wire.faults, key, value)

    async def inject_fault(self, fault: Fault) -> None:
        """Inject a fault and end it after its span; record waits of the rig that time out."""
        self._record_fault(fault, over=False)
        try:
            if fault.kind in HOST_COPIES + PLATFORM_COPIES:
                await self._inject_copies(fault)
            elif fault.kind in HOST_CLOSES:
                await self._inject_closes(fault)
            elif fault.kind in CLIENTS:
                await asyncio.gather(*(self._run_hostile_clients(fault, name) for name in fault.who))
            elif fault.kind in HOST:
                await asyncio.gather(*(self._inject_host_fault(fault, int(name[1:])) for name in fault.who))
            elif fault.who:
                await asyncio.gather(
                    *(self._inject_process_fault(fault, self.relays[name]) for name in fault.who)
                )
            else:
                await self._inject_connection_fault(fault)
        except WaitTimeout as timeout:
            self.failures.append(f"{fault.describe()}: {timeout}")
        self._record_fault(fault, over=True)

    def _record_fault(self, fault: Fault, over: bool) -> None:
        for who in fault.who or ("",):
            self.history.add(Struck(monotonic_ns(), fault.kind, who, over))
        self.injected_faults.record_fault(time.monotonic(), fault, over)

    async def _inject_process_fault(self, fault: Fault, relay: Relay) -> None:
        seconds = fault.span / 1e9
        if fault.kind == "stop":
            relay.stop()
            await asyncio.sleep(seconds)
            relay.resume()
        elif fault.kind == "starve":
            await relay.starve(fault.share, seconds)
        elif fault.kind == "full":
            relay.set_disk_full(True)
            await asyncio.sleep(seconds)
            relay.set_disk_full(False)
        elif fault.kind == "skew":
            relay.set_clock_skew(fault.hours)
            await asyncio.sleep(seconds)
            relay.set_clock_skew(0)
        elif fault.kind == "reload":
            for _ in range(RELOAD_SIGNALS):
                relay.write_config(draw_setting_changes(self._change_rng))
                relay.signal(signal.SIGHUP)
                await asyncio.sleep(seconds / RELOAD_SIGNALS)
            if (rejected := await relay.count_rejected_files()) and relay.up:
                self.failures.append(f"{relay.name} turned {rejected} good files down")
        elif fault.kind == "replace":
            parked_group, hosts = self.scenario.groups, self._draw_host_pair()
            await replace_process(relay, self._clients, parked_group, hosts, self.history, self._change_rng)
        elif fault.kind == "cordon":
            await cordon_hosts(relay, self._draw_host_pair(), seconds, self.history, self._change_rng)
        elif relay.alive:
            if fault.kind == "term":
                await relay.terminate()
                self.history.add(Ended(monotonic_ns(), relay.name))
            elif fault.kind == "roll":
                relay.killed = True  # ends a wait for it to be ready
                relay.signal(signal.SIGTERM)
                await asyncio.sleep(KILL_AFTER_S)
                self._record_and_kill(relay)
            elif fault.kind == "kill-twice":
                self._kill(relay)
                await asyncio.sleep(RESTART_AFTER_S)
                self._spawn(relay)
                await asyncio.sleep(self.rng.uniform(0.0, RESTART_AFTER_S))
                self._record_and_kill(relay)
            else:
                self._kill(relay, fault.kind == "lose")
            self.injected_faults.record_death(time.monotonic(), relay.name, fault.kind)
            await asyncio.sleep(seconds)
            if fault.span and not relay.alive:
                await self.restart(relay, fault.wait / 1e9 if fault.kind == "slow" else 0.0)

    def _draw_host_pair(self) -> list[str]:
        return [host.name for host in self._change_rng.sample(self.hosts, 2)]

    def _record_and_kill(self, relay: Relay) -> None:
        """Kill the current process and record it: another fault may have restarted it meanwhile."""
        self.history.add(Struck(monotonic_ns(), "kill", relay.name))
        self._kill(relay)

    def _kill(self, relay: Relay, lose_folder: bool = False) -> None:
        """Kill a process, and record that it has ended only once it has."""
        relay.kill(lose_folder)
        self.history.add(Ended(monotonic_ns(), relay.name))

    def _spawn(self, relay: Relay, held: bool = False) -> None:
        self.history.add(Started(monotonic_ns(), relay.name))
        relay.spawn(held)

    async def restart(self, relay: Relay, held: float = 0.0) -> None:
        """Start it again with its existing folder."""
        self.injected_faults.record_restart(time.monotonic(), relay.name)
        self._spawn(relay, held > 0)
        if held:
            await asyncio.sleep(held)
            relay.resume()
        await relay.ready()
        if not relay.killed:
            self.history.add(Ready(monotonic_ns(), relay.name))

    async def _inject_host_fault(self, fault: Fault, number: int) -> None:
        host = self.hosts[number]
        if fault.kind == "drain":
            await self.platform.update_host(host, "DRAINING")
            await asyncio.sleep(fault.span / 1e9)
            await self.platform.update_host(host)
        elif fault.kind == "refuse":
            host.go_down()
            await asyncio.sleep(fault.span / 1e9)
            await host.come_back()
        elif fault.kind == "shut":
            host.refuse_calls_for(fault.span, fault.share)
            await asyncio.sleep(fault.span / 1e9)
            host.accept_calls_again()
        elif fault.kind in ("mute", "short"):
            setattr(host, fault.kind, True)
            await asyncio.sleep(fault.span / 1e9)
            setattr(host, fault.kind, False)
        else:
            host.set_hung(True)
            await asyncio.sleep(fault.span / 1e9)
            host.set_hung(False)

    async def _run_hostile_clients(self, fault: Fault, name: str) -> None:
        host, port = self.relays[name].listen
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "millweir.lab.hostile_clients", f"{host}:{port}"),
            *(fault.kind.removeprefix("clients-"), str(fault.span / 1e9)),
            *("--connections", str(fault.connections), "--relay", name),
            *("--seed", str(self.rng.getrandbits(40))),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            output, _ = await process.communicate()
            self.hostile_waits.append(json.loads(output)["longest_wait"])
        finally:
            if process.returncode is None:
                process.kill()

    async def _poll_usage(self) -> None:
        while True:
            for name, relay in self.relays.items():
                memory_mb, descriptors = relay.measure_usage()
                peak = self.usage[name]
                peak.memory_mb = max(peak.memory_mb, memory_mb)
                peak.descriptors = max(peak.descriptors, descriptors)
            await asyncio.sleep(USAGE_POLL_S)

    def _check_usage(self, answers: AnswerTimes) -> None:
        """Record as failures what went over the limits of the settings."""
        scenario = self.scenario
        for name, peak in self.usage.items():
            if peak.memory_mb > scenario.memory_mb:
                self.failures.append(f"{name} took {peak.memory_mb:.0f} MB of {scenario.memory_mb}")
            if peak.descriptors > scenario.descriptors:
                self.failures.append(f"{name} held {peak.descriptors} descriptors of {scenario.descriptors}")
        if answers.unanswered > scenario.max_unanswered * answers.requests:
            self.failures.append(f"{answers.unanswered} of {answers.requests} requests had no answer in time")

    async def _inject_copies(self, fault: Fault) -> None:
        terms = CopyTerms(
            fault.share,
            fault.after / 1e9,
            fault.wait / 1e9,
            most=MAX_COPIES if fault.kind == "copy-several" else 1,
            older=fault.kind == "copy-older",
            partial=fault.kind == "copy-part",
        )
        await _apply_terms([self._find_copier(fault.kind, who) for who in fault.who], terms, fault)

    def _find_copier(self, kind: str, who: str) -> CopiedAnswers:
        if kind == "copy-list":
            return self.platform.list_copies
        return self.platform.notice_copies if kind == "copy-notice" else self.hosts[int(who[1:])].copies

    async def _inject_closes(self, fault: Fault) -> None:
        terms = CloseTerms(fault.share, fault.after / 1e9, fault.wait / 1e9, fault.kind == "reset-links")
        await _apply_terms([self.hosts[int(who[1:])].closes for who in fault.who], terms, fault)

    async def _inject_connection_fault(self, fault: Fault) -> None:
        seconds, both_directions = fault.span / 1e9, fault.kind in ("cut", "split", "flap")
        active_faults = {
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
        defaults = {key: getattr(Faults(), key) for key in active_faults}
        end = time.monotonic() + seconds
        if fault.kind == "flap":
            while time.monotonic() < end:
                self.set_links(fault.start, fault.end, both_directions, **active_faults)
                await asyncio.sleep(fault.wait / 1e9)
                self.set_links(fault.start, fault.end, both_directions, **defaults)
                await asyncio.sleep(fault.wait / 1e9)
        else:
            self.set_links(fault.start, fault.end, both_directions, **active_faults)
            await asyncio.sleep(seconds)
        self.set_links(fault.start, fault.end, both_directions, **defaults)

    # A whole scenario.

    async def play(self, report: Callable[[str], None] = lambda line: None) -> RunResult:
        scenario, faults = self.scenario, list_faults(self.scenario, self.seed)
        if scenario.members:
            await self.wait_until_agreed()
        polled = PolledViews()
        started_at = time.monotonic()
        self.injected_faults.started_at = started_at
        self._clients = Clients(
            lambda: [(relay.name, relay.listen) for relay in self.relays.values() if relay.up],
            scenario.groups,
            scenario.rate,
            self.history,
            random.Random(self.rng.getrandbits(60)),
        )
        for relay in self.relays.values():
            await self._clients.open_idle_connections(relay.name, relay.listen, scenario.crowd)
        load = self.start_task(self._clients.run(scenario.span / 1e9)) if scenario.rate else None
        watch = self.start_task(self._poll_views(polled)) if scenario.members else None
        usage = self.start_task(self._poll_usage())
        running = []
        for fault in faults:
            await asyncio.sleep(max(started_at + fault.at / 1e9 - time.monotonic(), 0))
            report(fault.describe())
            running.append(self.start_task(self.inject_fault(fault)))
        await asyncio.sleep(max(started_at + scenario.span / 1e9 - time.monotonic(), 0))
        if running:
            await asyncio.wait(running)
        with contextlib.suppress(WaitTimeout):
            if scenario.members:
                await self.wait_until_agreed(
                    30.0, tuple(relay.name for relay in self.relays.values() if relay.up)
                )
        if load:
            await load
            await asyncio.sleep(OUTCOME_WAIT_S)
        if watch:
            polled.last = await self.collect_views()
            watch.cancel()
        usage.cancel()
        self.injected_faults.ended_at = time.monotonic()
        answers = measure_answers(self.history)
        self._check_usage(answers)
        self.failures += [
            f"{relay.name} ended by itself: {relay.tail()}"
            for relay in self.relays.values()
            if not relay.alive and relay.name not in self.injected_faults.down
        ]
        events = {relay.name: relay.read_events() for relay in self.relays.values()}
        counts = [await relay.request_counters() for relay in self.relays.values() if relay.up]
        verdict = check_rules(self.history, self.build_terms(), monotonic_ns())
        finding = (
            evaluate_views(self.injected_faults, polled, events) if scenario.members else MembershipFinding()
        )
        if self._keep:
            self.history.write(self.folder / "history.jsonl")
            (self.folder / "views.json").write_bytes(msgspec.json.encode(polled.rows))
        return RunResult(
            verdict,
            finding,
            [fault.describe() for fault in faults],
            self.failures,
            sum(count.get("links_opened", 0) for count in counts),
            self.usage,
            answers,
        )

    async def _poll_views(self, polled: PolledViews) -> None:
        while True:
            polled.add(time.monotonic(), await self.collect_views())
            await asyncio.sleep(VIEW_POLL_S)

    @staticmethod
    def build_terms() -> Terms:
        def profile_names(**condition: object) -> frozenset[str]:
            return frozenset(
                grade["name"]
                for grade in SETTINGS["grades"]
                if all(grade.get(key) == value for key, value in condition.items())
            )

        rules = SETTINGS["obligations"]
        dedup_window_us = min(
            grade["dedup-window-us"] for grade in SETTINGS["grades"] if "dedup-window-us" in grade
        )
        return Terms(
            profile_names(semantics="side_effect"),
            profile_names(semantics="token"),
            profile_names(**{"one-at-a-time": True}),
            dedup_window_us * 1000,
            rules["drain-grace-us"] * 1000,
        )


async def _apply_terms(
    draws: Sequence[CopiedAnswers | ClosedConnections], terms: CopyTerms | CloseTerms, fault: Fault
) -> None:
    """Let the stand-ins draw by these terms for the fault's span, or until a later fault replaces them."""
    for draw in draws:
        draw.terms = terms
    await asyncio.sleep(fault.span / 1e9)
    for draw in draws:
        if draw.terms is terms:
            draw.terms = None
