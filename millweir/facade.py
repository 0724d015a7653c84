"""The decisions in blocking style for the network code: hand in, tick, pick what is to be done, report.

No I/O and no clock: each call is given the time, in whole nanoseconds.  What the module decides is kept here
until the caller picks it, so that no call into the module is ever made from within another.
"""

from __future__ import annotations

from collections import deque
from itertools import count
from typing import Generic, TypeVar

from millweir.control import Relay, bounds
from millweir.events import ColdHost, HostTransition, HostView, RefusalReason
from millweir.interface import Change, Entry, Limits, Outcome, Settings
from millweir.records import Call, Host, Packet

Item = TypeVar("Item")


class Part(Generic[Item]):
    """One packet's part in a job."""

    __slots__ = ("_number", "_packet", "item", "job", "until")

    def __init__(self, item: Item, job: Job[Item], until: int, packet: Packet, number: int) -> None:
        self.item = item
        self.job = job
        self.until = until  # how long to wait for its outcome
        self._packet = packet  # this and the number are for the facade alone
        self._number = number


class Job(Generic[Item]):
    """One call to make: a host and what travels to it."""

    __slots__ = ("_call", "_goal", "host", "parts", "picked_at")

    def __init__(self, goal: Host, call: Call, now: int) -> None:
        self._goal = goal  # for the facade alone
        self._call = call
        self.host = goal.id.decode()
        self.picked_at = now
        self.parts: list[Part[Item]] = []

    @property
    def answer_by(self) -> int:
        """When the time of the first of its messages is up."""
        return self._call.deadline


class Ending(Generic[Item]):
    """A packet that ended undelivered; where it may come again, after how long."""

    __slots__ = ("again", "attempts", "item", "reason", "wait")

    def __init__(self, item: Item, packet: Packet, again: bool, wait: int) -> None:
        self.item = item
        self.reason = packet.end_reason
        self.attempts = len(packet.trips)
        self.again = again
        self.wait = wait


class Facade(Generic[Item]):
    """One relay's decisions, and the port that the module acts through."""

    def __init__(self, settings: Settings, limits: Limits, seed: int, now: int) -> None:
        self.bounds = bounds(settings, limits)
        self._now, self._due = now, 0
        self._idents = count(1).__next__
        self._items: dict[int, Item] = {}
        self._parts: dict[tuple[Packet, int], Part[Item]] = {}
        self._filling: dict[Call, Job[Item]] = {}
        self._jobs: deque[Job[Item]] = deque()
        self._dropped: deque[Part[Item]] = deque()
        self._ended: deque[Ending[Item]] = deque()
        self._freed: deque[str] = deque()
        self._relay = Relay(self, settings, seed, now)

    # What the caller tells.

    def refusal(self, destination: int, size: int, room: int, left: int, lag: int) -> int:
        """0 where a packet of that size may be handed in, else how long its client ought to wait.

        `left`: its time; `lag`: how late requests were answered of late.
        """
        return self._relay.check_admission(destination, size, room, left, lag)

    @property
    def refused_for(self) -> RefusalReason:
        """Why the last message was refused."""
        return self._relay.refusal_reason

    def transition(self) -> HostTransition | None:
        """The next change of a host's state that the log has not been told of."""
        return self._relay.pop_transition()

    def take(
        self,
        now: int,
        item: Item,
        profile: int,
        tenant: int,
        key: int,
        hard_stop: int,
        destination: int,
        earlier: tuple[tuple[int, bool], ...] = (),
        restored: bool = False,
    ) -> None:
        """Hand in a packet; `earlier` holds the trips of an earlier life: when, and whether it never ran.

        `restored`: an earlier life took it on.
        """
        ident = self._idents()
        self._now, self._items[ident] = now, item
        self._relay.add_packet(now, ident, profile, tenant, key, hard_stop, destination, earlier, restored)

    def told(self, now: int, change: Change, entries: tuple[Entry, ...], came_at: int = 0) -> None:
        """News of the list; `came_at`: when it may have come, where this process stood still meanwhile."""
        self._now = now
        self._relay.update_hosts(now, change, entries, came_at or now)

    def report(
        self,
        now: int,
        part: Part[Item],
        outcome: Outcome,
        finished: bool = False,
        wait: int = 0,
        load: tuple[float, ...] = (),
    ) -> None:
        """How one part of a job ended; `finished`: nothing more is owed for its packet."""
        if self._parts.pop((part._packet, part._number), None) is None:
            return
        self._now = now
        ident, latency = part._packet.id, now - part.job.picked_at
        self._relay.end_trip(now, ident, part._number, outcome, finished, latency, wait, load)
        if finished:
            self._items.pop(ident, None)

    def rest(self, failures: int) -> int:
        """How long until discovery is asked, after so many failures in a row."""
        return self._relay.draw_discovery_back_off(failures)

    def cordon(self, now: int, host: bytes, out: bool, since: int = 0) -> bool:
        """A host out by hand, since then (0: now), or back; False for an id that no list ever named."""
        self._now = now
        return self._relay.set_cordon(now, host, out, since or now)

    def settings_told(self, settings: Settings) -> int:
        """Settings read at SIGHUP, with only the profiles that are new or changed; returns the number of
        the first of them."""
        first = len(self._relay._profiles)
        self._relay.update_settings(settings)
        return first

    def wait_told(self, now: int, host: bytes, until: int) -> None:
        """A wait told to a process beside this one, until then."""
        self._now = now
        self._relay.apply_retry_after(now, host, until)

    def host_view(self, host: bytes) -> HostView | None:
        """What is believed of a host; None where it is not known."""
        return self._relay.view_host(host)

    @property
    def cold_changes(self) -> int:
        """Grows with each change of what `list_recovering_hosts` tells."""
        return self._relay.recovering_changes

    def cold_hosts(self) -> list[ColdHost]:
        """Hosts that are cold or whose last call went wrong, for the next process and the one beside."""
        return self._relay.list_recovering_hosts()

    def cold_told(self, now: int, cold: ColdHost) -> bool:
        """What such a process knew of a host; False where no list has named it yet."""
        self._now = now
        return self._relay.restore_host(now, cold)

    def earlier_failure(self, now: int, destination: int, failed_at: int) -> None:
        """An attempt of an earlier life never ran there, and nothing more is known of that."""
        self._now = now
        self._relay.report_earlier_failure(now, destination, failed_at)

    def targets(self) -> tuple[int, int]:
        """Hosts in the list, and of those the ones avoided now: out by hand, draining, or set aside."""
        listed = [host for host in self._relay._hosts.values() if host in host.destination.hosts]
        return len(listed), sum(
            1 for host in listed if host.drain_started_at or (host.slow_start_rate and not host.recovered_at)
        )

    def leave(self, leave_at: int, replaced: bool = False) -> None:
        """The process is to stop then; `replaced`: by one that is at work already."""
        self._relay.begin_shutdown(leave_at, replaced)

    # What the caller asks for.

    def tick(self, now: int) -> int:
        """All that came in together has been told; returns when to tick again at the latest, 0 for never."""
        self._now = now
        self._relay.end_round(now)
        self._filling.clear()
        return self._due if self._due > now else 0

    def still(self, now: int, part: Part[Item]) -> bool:
        """Whether a part may be written now: its link may have come up long after the job was picked."""
        return not part._packet.ended and self._relay.may_write(now, part.job._goal, part._packet)

    def pick(self) -> Job[Item] | None:
        """The next call to make."""
        return self._jobs.popleft() if self._jobs else None

    def dropped(self) -> Part[Item] | None:
        """The next trip that is no longer to be waited for."""
        return self._dropped.popleft() if self._dropped else None

    def ended(self) -> Ending[Item] | None:
        """The next packet that has its end without being delivered."""
        return self._ended.popleft() if self._ended else None

    def freed(self) -> str | None:
        """The next host whose idle links are to be closed, before any job is carried out."""
        return self._freed.popleft() if self._freed else None

    # What the module does.

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        number = len(packet.trips) - 1
        call = packet.trips[number].call
        job = self._filling.get(call)
        if job is None:
            job = self._filling[call] = Job(host, call, self._now)
            self._jobs.append(job)
        until = self._now + time_out if time_out else packet.deadline
        part = Part(self._items[packet.id], job, until, packet, number)
        job.parts.append(part)
        self._parts[packet, number] = part

    def cancel(self, packet: Packet, number: int) -> None:
        part = self._parts.get((packet, number))
        if part is not None:
            self._dropped.append(part)

    def dismiss(self, packet: Packet, wait: int) -> None:
        self._ended.append(Ending(self._items.pop(packet.id), packet, True, wait))

    def error(self, packet: Packet) -> None:
        self._ended.append(Ending(self._items.pop(packet.id), packet, False, 0))

    def free_links(self, host: Host) -> None:
        self._freed.append(host.id.decode())

    def alarm(self, delay: int) -> None:
        self._due = self._now + delay

    def watch(self) -> None:
        """The list is always watched on sockets."""
