"""The membership component of a relay: core, transport, state file, events and local socket."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import secrets
import time
from pathlib import Path
from typing import Any

import msgspec

from millweir.members.core import Core
from millweir.members.events import KINDS
from millweir.members.links import MemberTransport
from millweir.members.messages import (
    PROTOCOL_VERSIONS,
    Datagram,
    FullState,
    MemberRecord,
    ReceivedDatagram,
    ReportedState,
)
from millweir.members.rules import Address
from millweir.members.seal import Authenticator
from millweir.members.section import Members
from millweir.members.view import Change, LocalState, MemberStatus
from millweir.operator.events import EventLog
from millweir.operator.units import address

STATE_FILE = "members.json"
SAVE_INTERVAL_SECONDS = 10.0  # between checks whether the contacts to be saved have changed
LEAVE_SECONDS = 0.4  # time given to the gossip of a leave before the sockets are closed
MAX_REQUEST_BYTES = 4096  # on the local socket
MAX_CLIENTS = 16  # concurrent connections to the local socket
MAX_WATCH_BACKLOG_BYTES = 1 << 20  # unread events after which a watcher is disconnected
MAX_SAVED_CONTACTS = 64  # addresses to contact after a restart

now = time.monotonic_ns


class PersistedState(msgspec.Struct):
    """Content of the state file, which outlasts the process."""

    name: str
    incarnation: int
    contacts: list[tuple[str, int]] = []


class MemberRow(msgspec.Struct, frozen=True):
    """One member in the JSON view."""

    name: str
    degree: str  # value of a MemberStatus
    since: float  # seconds since the status changed
    by: str  # reporter of that change
    incarnation: int
    address: str
    place: str
    versions: tuple[int, int]
    heard: float | None  # seconds since its own last datagram; None if there was none
    paths: tuple[str, ...] = ()  # that are down, as "a->b by c", where c is the reporter


class MembershipView(msgspec.Struct, frozen=True):
    """The local view of the membership, as JSON for operators."""

    name: str
    standing: str  # value of a LocalState
    doubt: str  # see Core.diagnose_local_health
    slow: int  # awareness score
    late_ms: int
    incarnation: int
    counts: dict[str, int]
    members: tuple[MemberRow, ...]


class Part:
    """Membership of one relay; implements the core's port."""

    def __init__(self, section: Members, name: str, folder: Path) -> None:
        self._section, self._folder = section, folder
        self._name = section.name or name
        if not self._name:
            raise ValueError("members: neither the relay nor [members] has a name")
        run_id = secrets.randbits(62)
        versions = PROTOCOL_VERSIONS[0], section.protocol
        host, port = address(section.advertise or section.listen)
        self.events = EventLog(KINDS)
        self._persisted = self._load_state()
        record = MemberRecord(
            self._name,
            run_id,
            self._persisted.incarnation,
            ReportedState.ALIVE,
            host,
            port,
            self._name,
            *versions,
            section.place,
        )
        via = {address(start): address(end) for start, end in section.via.items()}
        self._transport = MemberTransport(
            Authenticator(section.cluster, section.keys(), run_id, versions),
            via,
            section.members_most,
            section.bytes_most,
            self._receive_datagram,
            self._receive_full_state,
            self._build_full_state,
            self._log_rejection,
        )
        contacts = [address(seed) for seed in section.seeds]
        contacts += [tuple(contact) for contact in self._persisted.contacts]
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._clients: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._record, self._contacts = record, contacts
        self.core: Core | None = None
        self._left_at = 0
        self.socket = Path(section.socket) if section.socket else folder / "members.sock"

    async def start(self) -> None:
        """Binds the sockets and starts the protocol; raises OSError if an address is in use."""
        self._loop = asyncio.get_running_loop()
        await self._transport.open(address(self._section.listen))
        with contextlib.suppress(FileNotFoundError):
            self.socket.unlink()
        mask = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(
                self._handle_request, str(self.socket), limit=MAX_REQUEST_BYTES
            )
        finally:
            os.umask(mask)
        self.core = Core(
            self,
            self._section.rules(),
            random.Random(secrets.randbits(62)),
            now(),
            self._record,
            self._contacts,
        )
        self.core.time_passed(now())
        self._save_contacts()

    def leave(self) -> None:
        """Announces the leave at once; `stop` waits until it has been gossiped."""
        if self.core and self.core.local_state is not LocalState.LEAVING:
            self.core.leave(now())
            self._left_at = now()
            self.events.emit("members.left", told=self.core.active_count)

    async def stop(self) -> None:
        """Leaves, saves the state and closes all sockets."""
        if self.core:
            self.leave()
            await asyncio.sleep(max(LEAVE_SECONDS - (now() - self._left_at) / 1e9, 0))
        self._save_state()
        if self._timer:
            self._timer.cancel()
        self._transport.close()
        if self._server:
            self._server.close()
        for task in self._clients:
            task.cancel()
        with contextlib.suppress(FileNotFoundError):
            self.socket.unlink()

    # Implementation of `Port`.

    def send(self, to: Address, version: int, datagram: Datagram) -> None:
        self._transport.send(to, version, datagram)

    def request_full_state(self, to: Address) -> None:
        self._transport.request_full_state(to)

    def set_timer(self, at: int) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(at - now(), 0) / 1e9, self._handle_timer)

    def notify_status_change(self, change: Change) -> None:
        self.events.emit(
            "members.changed",
            name=change.name,
            before=change.before and change.before.value,
            after=change.after.value,
            by=change.reporter,
            incarnation=change.incarnation,
        )

    def save_incarnation(self, incarnation: int) -> None:
        self._persisted.incarnation = incarnation
        self._save_state()

    def log_event(self, event: str, **fields: Any) -> None:
        self.events.emit(event, **fields)

    # Callbacks of the timer and the transport.

    def _handle_timer(self) -> None:
        self._timer = None
        self.core.time_passed(now())

    def _receive_datagram(self, datagram: ReceivedDatagram) -> None:
        if self.core:  # the transport may receive before the core is created
            self.core.receive_datagram(now(), datagram)

    def _receive_full_state(self, full_state: FullState) -> None:
        if self.core:
            self.core.receive_full_state(now(), full_state)

    def _build_full_state(self, max_version: int) -> FullState:
        return self.core.build_full_state(max_version)

    def _log_rejection(self, reason: str, peer: str) -> None:
        self.events.emit("members.refused", reason=reason, peer=peer)

    # State file.

    def _load_state(self) -> PersistedState:
        """Reads the state of an earlier process run; an unreadable file counts as none.

        Nothing is lost by that: the other members know the incarnation.
        """
        try:
            state = msgspec.json.decode((self._folder / STATE_FILE).read_bytes(), type=PersistedState)
            if state.name == self._name and 0 <= state.incarnation < 1 << 62:
                return state
        except FileNotFoundError:
            pass
        except (OSError, msgspec.DecodeError) as error:
            self.events.emit("members.folder-failed", fault=str(error)[:200])
        return PersistedState(self._name, 0)

    def _save_state(self) -> None:
        path = self._folder / STATE_FILE
        new_path = path.with_suffix(".new")
        try:
            new_path.write_bytes(msgspec.json.encode(self._persisted))
            new_path.replace(path)
        except OSError as error:
            self.events.emit("members.folder-failed", fault=str(error)[:200])

    def _save_contacts(self) -> None:
        """Saves the contacts if there are new ones, and schedules the next check."""
        contacts = self.core.list_contacts(MAX_SAVED_CONTACTS)
        if set(contacts) - {tuple(contact) for contact in self._persisted.contacts} and contacts:
            self._persisted.contacts = contacts
            self._save_state()
        self._loop.call_later(SAVE_INTERVAL_SECONDS, self._save_contacts)

    # Local socket: each connection sends one request, a line of JSON.

    async def _handle_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        try:
            if len(self._clients) >= MAX_CLIENTS:
                writer.write(b'{"fault":"too many callers"}\n')
                return
            self._clients.add(task)
            async with asyncio.timeout(2):
                request = msgspec.json.decode(await reader.readline(), type=dict[str, str])
            command = request.get("do")
            if command == "view":
                writer.write(msgspec.json.encode(self.build_view()) + b"\n")
            elif command == "leave":
                self.leave()
                writer.write(b'{"done":"leave"}\n')
            elif command == "watch":
                await self._stream_events(reader, writer)
            else:
                writer.write(b'{"fault":"no such call"}\n')
            await writer.drain()
        except (OSError, TimeoutError, ValueError, msgspec.DecodeError):
            writer.write(b'{"fault":"no call"}\n')
        finally:
            self._clients.discard(task)
            writer.close()

    async def _stream_events(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Streams events until the client disconnects; a client that does not read is disconnected."""

        def forward(line: bytes) -> None:
            if writer.transport.get_write_buffer_size() > MAX_WATCH_BACKLOG_BYTES:
                writer.transport.abort()
            else:
                writer.write(line)

        self.events.watchers.add(forward)
        try:
            while await reader.read(MAX_REQUEST_BYTES):
                pass
        finally:
            self.events.watchers.discard(forward)

    def build_view(self) -> MembershipView:
        at, core = now(), self.core
        paths: dict[str, list[str]] = {}
        for report in core.path_reports.values():
            if report.down:
                for name in (report.start, report.end):
                    paths.setdefault(name, []).append(f"{report.start}->{report.end} by {report.reporter}")
        rows = []
        for name, member in sorted(core.members.items()):
            record, status = member.record, core.status_of(at, member)
            rows.append(
                MemberRow(
                    name,
                    status.value,
                    round((at - member.status_since) / 1e9, 3),
                    member.status_reporter,
                    record.incarnation,
                    f"{record.host}:{record.port}",
                    record.place,
                    (record.min_version, record.max_version),
                    round((at - member.last_received_at) / 1e9, 3) if member.last_received_at > 0 else None,
                    tuple(paths.get(name, ()))
                    if status not in (MemberStatus.GONE, MemberStatus.LEFT)
                    else (),
                )
            )
        return MembershipView(
            self._name,
            core.local_state.value,
            core.diagnose_local_health(at),
            core.awareness,
            core.lateness_ms,
            core.me.incarnation,
            dict(self._transport.counts),
            tuple(rows),
        )
