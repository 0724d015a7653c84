"""The decisions as the network code uses them: add packets, tick, pop the actions, report outcomes.

No I/O and no clock: each call is given the time, in whole nanoseconds.  Actions are queued here until the
caller pops them, so that no call into the decisions is made from within another one.
"""

from __future__ import annotations

from collections import deque
from itertools import count
from typing import Generic, TypeVar

from millweir.answers.policy import waits_for_proof
from millweir.control import Relay, bounds
from millweir.events import HostTransition, HostView, RecoveringHost, RefusalReason
from millweir.interface import Change, Entry, Limits, Outcome, Settings
from millweir.records import Call, Host, Packet

Item = TypeVar("Item")


class Part(Generic[Item]):
    """One packet's part in a job: one attempt to deliver it."""

    __slots__ = (
        "_number",
        "_packet",
        "forbids_second_copy",
        "in_order",
        "item",
        "job",
        "until",
        "waits_for_proof",
    )

    def __init__(
        self, item: Item, job: Job[Item], until: int, packet: Packet, number: int, allows_second_copies: bool
    ) -> None:
        self.item = item
        self.job = job
        self.until = until  # how long to wait for its outcome
        self.forbids_second_copy = not allows_second_copies
        # Its packet is not sent again before a refusal is proven.
        self.waits_for_proof = waits_for_proof(packet.profile.effect, allows_second_copies)
        self.in_order = packet.key is not None
        self._packet = packet  # this and the number are for the engine alone
        self._number = number


class Job(Generic[Item]):
    """One call to make: its host and the packets that it carries."""

    __slots__ = ("_call", "_host", "host", "parts", "picked_at")

    def __init__(self, host: Host, call: Call, now: int) -> None:
        self._host = host  # for the engine alone
        self._call = call
        self.host = host.id.decode()
        self.picked_at = now
        self.parts: list[Part[Item]] = []

    @property
    def answer_deadline(self) -> int:
        """The earliest deadline of its packets."""
        return self._call.deadline


class UndeliveredPacket(Generic[Item]):
    """A packet that ended undelivered; `again`: it may be handed in again, after `retry_after`."""

    __slots__ = ("again", "attempts", "item", "reason", "retry_after")

    def __init__(self, item: Item, packet: Packet, again: bool, retry_after: int) -> None:
        self.item = item
        self.reason = packet.end_reason
        self.attempts = len(packet.trips)
        self.again = again
        self.retry_after = retry_after


class DecisionEngine(Generic[Item]):
    """One relay's decisions, and the port through which they act."""

    def __init__(self, settings: Settings, limits: Limits, seed: int, now: int) -> None:
        self.bounds = bounds(settings, limits)
        self._now, self._alarm_at = now, 0
        self._next_packet_id = count(1).__next__
        self._items: dict[int, Item] = {}
        self._parts: dict[tuple[Packet, int], Part[Item]] = {}
        self._open_jobs: dict[Call, Job[Item]] = {}  # of this round; may get more packets
        self._jobs: deque[Job[Item]] = deque()
        self._cancelled: deque[Part[Item]] = deque()
        self._ended: deque[UndeliveredPacket[Item]] = deque()
        self._idle_hosts: deque[str] = deque()
        self._allows_second_copies = settings.allow_second_copies
        self._relay = Relay(self, settings, seed, now)

    # Input of the caller.

    def check_admission(self, destination: int, size: int, room: int, remaining: int, lag: int) -> int:
        """0 if a packet of that size may be added, else the retry-after for its client.

        `remaining`: the time to its deadline; `lag`: by how much requests were answered late recently.
        """
        return self._relay.check_admission(destination, size, room, remaining, lag)

    @property
    def refusal_reason(self) -> RefusalReason:
        """Why the last message was refused."""
        return self._relay.refusal_reason

    def pop_transition(self) -> HostTransition | None:
        """The next change of a host's state that is not logged yet."""
        return self._relay.pop_transition()

    def add_packet(
        self,
        now: int,
        item: Item,
        profile: int,
        tenant: int,
        key: int,
        deadline: int,
        destination: int,
        earlier: tuple[tuple[int, bool], ...] = (),
        restored: bool = False,
        taken_at: int = 0,
    ) -> None:
        """Add a packet.

        `earlier`: its trips before the restart, each with its time and whether it never ran.
        `restored`: it was accepted before the restart.
        `taken_at`: by which the packets of a key are ordered.
        """
        ident = self._next_packet_id()
        self._now, self._items[ident] = now, item
        self._relay.add_packet(
            now, ident, profile, tenant, key, deadline, destination, earlier, restored, taken_at
        )

    def update_hosts(
        self, now: int, change: Change, entries: tuple[Entry, ...], received_at: int = 0
    ) -> list[str]:
        """Apply an update of the host list.

        Returns the names that stand for hosts of another destination now.
        `received_at`: when it may have arrived, if that is earlier because the process was stalled.
        """
        self._now = now
        reassigned = self._relay.update_hosts(now, change, entries, received_at or now)
        return [name.decode() for name in reassigned]

    def is_current_host(self, job: Job[Item]) -> bool:
        """Whether the name of the job's host still stands for a host of that destination."""
        return self._relay.is_current_record(job._host)

    def report_outcome(
        self,
        now: int,
        part: Part[Item],
        outcome: Outcome,
        finished: bool = False,
        wait: int = 0,
        load: tuple[float, ...] = (),
        proven: bool = True,
    ) -> None:
        """Report how one part of a job ended; `finished`: its packet has its final outcome.

        `proven`: the answer can't belong to another call.  Else it is settled later: a refusal by
        `settle_outcome`; a final outcome by the caller, who does not send the packet again.
        """
        if self._parts.pop((part._packet, part._number), None) is None:
            return
        self._now = now
        ident, latency = part._packet.id, now - part.job.picked_at
        self._relay.end_trip(now, ident, part._number, outcome, finished, latency, wait, load, proven)
        if finished:
            self._items.pop(ident, None)

    def withdraw(self, now: int, item: Item) -> None:
        """End an item's packet without an answer, wherever it waits; a call that is out goes on."""
        ident = next((ident for ident, held in self._items.items() if held is item), None)
        if ident is not None:
            self._now = now
            del self._items[ident]
            self._relay.withdraw_packet(now, ident)

    def end_key_quiet(self, now: int, part: Part[Item]) -> None:
        """Report that a final outcome that was unproven is confirmed: the next packet of the key may go."""
        self._now = now
        self._relay.end_key_quiet(now, part._packet)

    def hold_key(self, now: int, profile: int, key: int) -> None:
        """Hold back the packets of a key for a while: a call of an ended one may still be out."""
        self._now = now
        self._relay.hold_key(now, profile, key)

    def limit_key(self, now: int, key: int, taken_before: int) -> None:
        """Let only packets of a key go that were taken before a time: another process holds an older one."""
        self._now = now
        self._relay.limit_key(now, key, taken_before)

    def settle_outcome(self, now: int, part: Part[Item], never_ran: bool) -> None:
        """Report whether an outcome that was unproven is a confirmed refusal: the trip never ran."""
        self._now = now
        self._relay.settle_outcome(now, part._packet.id, part._number, never_ran)

    def draw_back_off(self, failures: int) -> int:
        """The time until discovery is asked again, drawn at random, after so many failures in a row."""
        return self._relay.draw_discovery_back_off(failures)

    def set_cordon(self, now: int, host: bytes, out: bool, since: int = 0) -> bool:
        """Cordon a host, as of `since` (0: now), or lift its cordon; False if no list ever named the host."""
        self._now = now
        return self._relay.set_cordon(now, host, out, since or now)

    def update_settings(self, settings: Settings) -> int:
        """Apply settings read at SIGHUP, which hold only the profiles that are new or changed.

        Returns the number of the first of those.
        """
        first = len(self._relay._profiles)
        self._relay.update_settings(settings)
        return first

    def apply_retry_after(self, now: int, host: bytes, until: int) -> None:
        """Apply a retry-after that another process of this relay received."""
        self._now = now
        self._relay.apply_retry_after(now, host, until)

    def view_host(self, host: bytes) -> HostView | None:
        """What the relay knows of a host; None for an unknown one."""
        return self._relay.view_host(host)

    @property
    def recovering_changes(self) -> int:
        """The number of changes to the result of `list_recovering_hosts`."""
        return self._relay.recovering_changes

    def list_recovering_hosts(self) -> list[RecoveringHost]:
        """Hosts in slow start or whose last call failed, for the next process and one running beside this."""
        return self._relay.list_recovering_hosts()

    def restore_host(self, now: int, recovering: RecoveringHost) -> bool:
        """Apply what such a process knew of a host; False if no list has named it yet."""
        self._now = now
        return self._relay.restore_host(now, recovering)

    def report_earlier_failure(self, now: int, destination: int, failed_at: int) -> None:
        """Report an attempt before the restart that never ran, where nothing else is known of it."""
        self._now = now
        self._relay.report_earlier_failure(now, destination, failed_at)

    def count_hosts(self) -> tuple[int, int]:
        """Listed hosts, and those of them that are avoided now: cordoned, draining or ejected."""
        listed = [host for host in self._relay._hosts.values() if host in host.destination.hosts]
        return len(listed), sum(
            1 for host in listed if host.drain_started_at or (host.slow_start_rate and not host.recovered_at)
        )

    def begin_shutdown(self, leave_at: int, replaced: bool = False) -> None:
        """The process is to stop at that time; `replaced`: its successor is running already."""
        self._relay.begin_shutdown(leave_at, replaced)

    def set_replaced(self, replaced: bool) -> None:
        """Note whether the successor of this process, which is stopping, is running."""
        self._relay.set_replaced(replaced)

    # Actions for the caller.

    def tick(self, now: int) -> int:
        """Decide, after all pending input was given; returns the latest time of the next tick, 0 for none."""
        self._now = now
        self._relay.end_round(now)
        self._open_jobs.clear()
        return self._alarm_at if self._alarm_at > now else 0

    def may_write(self, now: int, part: Part[Item]) -> bool:
        """Whether a part may be written now: its connection may have come up long after the job was made."""
        return not part._packet.ended and self._relay.may_write(now, part.job._host, part._packet)

    def pop_job(self) -> Job[Item] | None:
        """The next call to make."""
        return self._jobs.popleft() if self._jobs else None

    def pop_cancelled(self) -> Part[Item] | None:
        """The next part that is no longer to be waited for."""
        return self._cancelled.popleft() if self._cancelled else None

    def pop_ended(self) -> UndeliveredPacket[Item] | None:
        """The next packet that ended undelivered."""
        return self._ended.popleft() if self._ended else None

    def pop_idle_host(self) -> str | None:
        """The next host whose idle connections are to be closed, before any job is carried out."""
        return self._idle_hosts.popleft() if self._idle_hosts else None

    # The port, called by the decisions.

    def send(self, packet: Packet, host: Host, time_out: int) -> None:
        number = len(packet.trips) - 1
        call = packet.trips[number].call
        job = self._open_jobs.get(call)
        if job is None:
            job = self._open_jobs[call] = Job(host, call, self._now)
            self._jobs.append(job)
        until = self._now + time_out if time_out else packet.deadline
        part = Part(self._items[packet.id], job, until, packet, number, self._allows_second_copies)
        job.parts.append(part)
        self._parts[packet, number] = part

    def cancel(self, packet: Packet, number: int) -> None:
        part = self._parts.get((packet, number))
        if part is not None:
            self._cancelled.append(part)

    def dismiss(self, packet: Packet, wait: int) -> None:
        self._ended.append(UndeliveredPacket(self._items.pop(packet.id), packet, True, wait))

    def fail(self, packet: Packet) -> None:
        self._ended.append(UndeliveredPacket(self._items.pop(packet.id), packet, False, 0))

    def close_idle_connections(self, host: Host) -> None:
        self._idle_hosts.append(host.id.decode())

    def set_alarm(self, delay: int) -> None:
        self._alarm_at = self._now + delay

    def request_host_list(self) -> None:
        """Does nothing: the network code always watches the host list."""
