"""The part that the relay starts: core, links, folder, events and the local socket, wired up."""

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
from millweir.members.links import Links
from millweir.members.messages import VERSIONS, Claim, Datagram, Rank, Told, Whole
from millweir.members.rules import Address
from millweir.members.seal import Seal
from millweir.members.section import Members
from millweir.members.view import Change, Degree, Standing
from millweir.operator.events import EventLog
from millweir.operator.units import address

FILE_NAME = "members.json"
SAVE_EVERY = 10.0  # seconds between looks whether the others' addresses have changed
LEAVE_TIME = 0.4  # seconds in which a leave is told
CALL_MOST = 4096  # bytes of a call on the local socket
CALLERS_MOST = 16
WATCH_MOST = 1 << 20  # bytes that a watcher may be behind
REMEMBERED = 64  # addresses kept for a restart

now = time.monotonic_ns


class Kept(msgspec.Struct):
    """What outlasts the process."""

    name: str
    incarnation: int
    contacts: list[tuple[str, int]] = []


class Row(msgspec.Struct, frozen=True):
    """One member as this one sees it."""

    name: str
    degree: str
    since: float  # seconds
    by: str
    incarnation: int
    address: str
    place: str
    versions: tuple[int, int]
    heard: float | None  # seconds since its own last word
    paths: tuple[str, ...] = ()  # cut, as "a->b by c"


class View(msgspec.Struct, frozen=True):
    """All that this member holds."""

    name: str
    standing: str
    doubt: str
    slow: int
    late_ms: int
    incarnation: int
    counts: dict[str, int]
    members: tuple[Row, ...]


class Part:
    """Membership of one relay; also the core's port."""

    def __init__(self, section: Members, name: str, folder: Path) -> None:
        self._section, self._folder = section, folder
        self._name = section.name or name
        if not self._name:
            raise ValueError("members: neither the relay nor [members] has a name")
        birth = secrets.randbits(62)
        versions = VERSIONS[0], section.protocol
        host, port = address(section.advertise or section.listen)
        self.events = EventLog(KINDS)
        self._kept = self._read_kept()
        claim = Claim(
            self._name,
            birth,
            self._kept.incarnation,
            Rank.ALIVE,
            host,
            port,
            self._name,
            *versions,
            section.place,
        )
        via = {address(start): address(end) for start, end in section.via.items()}
        self._links = Links(
            Seal(section.cluster, section.keys(), birth, versions),
            via,
            section.members_most,
            section.bytes_most,
            self._heard,
            self._whole_told,
            self._whole,
            self._refused,
        )
        contacts = [address(seed) for seed in section.seeds]
        contacts += [tuple(contact) for contact in self._kept.contacts]
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._callers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._claim, self._contacts = claim, contacts
        self.core: Core | None = None
        self._left_at = 0
        self.socket = Path(section.socket) if section.socket else folder / "members.sock"

    async def start(self) -> None:
        """Bind and begin; OSError where an address is taken."""
        self._loop = asyncio.get_running_loop()
        await self._links.open(address(self._section.listen))
        with contextlib.suppress(FileNotFoundError):
            self.socket.unlink()
        mask = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(self._called, str(self.socket), limit=CALL_MOST)
        finally:
            os.umask(mask)
        self.core = Core(
            self,
            self._section.rules(),
            random.Random(secrets.randbits(62)),
            now(),
            self._claim,
            self._contacts,
        )
        self.core.time_passed(now())
        self._save_later()

    def leave(self) -> None:
        """Told to go: say so at once; `stop` waits for it."""
        if self.core and self.core.standing is not Standing.LEAVING:
            self.core.leave(now())
            self._left_at = now()
            self.events.emit("members.left", told=self.core.alive)

    async def stop(self) -> None:
        if self.core:
            self.leave()
            await asyncio.sleep(max(LEAVE_TIME - (now() - self._left_at) / 1e9, 0))
        self._save()
        if self._timer:
            self._timer.cancel()
        self._links.close()
        if self._server:
            self._server.close()
        for task in self._callers:
            task.cancel()
        with contextlib.suppress(FileNotFoundError):
            self.socket.unlink()

    # The core's port.

    def send(self, to: Address, version: int, datagram: Datagram) -> None:
        self._links.send(to, version, datagram)

    def ask_whole(self, to: Address) -> None:
        self._links.ask_whole(to)

    def wake(self, at: int) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(at - now(), 0) / 1e9, self._woken)

    def changed(self, change: Change) -> None:
        self.events.emit(
            "members.changed",
            name=change.name,
            before=change.before and change.before.value,
            after=change.after.value,
            by=change.by,
            incarnation=change.incarnation,
        )

    def keep(self, incarnation: int) -> None:
        self._kept.incarnation = incarnation
        self._save()

    def say(self, event: str, **fields: Any) -> None:
        self.events.emit(event, **fields)

    # What the links tell.

    def _woken(self) -> None:
        self._timer = None
        self.core.time_passed(now())

    def _heard(self, told: Told) -> None:
        if self.core:  # not before it is all there
            self.core.heard(now(), told)

    def _whole_told(self, whole: Whole) -> None:
        if self.core:
            self.core.whole_told(now(), whole)

    def _whole(self, high: int) -> Whole:
        return self.core.whole(high)

    def _refused(self, reason: str, peer: str) -> None:
        self.events.emit("members.refused", reason=reason, peer=peer)

    # The folder.

    def _read_kept(self) -> Kept:
        """From an earlier life; one that can't be read is as none: the others know the incarnation."""
        try:
            kept = msgspec.json.decode((self._folder / FILE_NAME).read_bytes(), type=Kept)
            if kept.name == self._name and 0 <= kept.incarnation < 1 << 62:
                return kept
        except FileNotFoundError:
            pass
        except (OSError, msgspec.DecodeError) as fault:
            self.events.emit("members.folder-failed", fault=str(fault)[:200])
        return Kept(self._name, 0)

    def _save(self) -> None:
        path = self._folder / FILE_NAME
        fresh = path.with_suffix(".new")
        try:
            fresh.write_bytes(msgspec.json.encode(self._kept))
            fresh.replace(path)
        except OSError as fault:
            self.events.emit("members.folder-failed", fault=str(fault)[:200])

    def _save_later(self) -> None:
        contacts = self.core.some_contacts(REMEMBERED)
        if set(contacts) - {tuple(contact) for contact in self._kept.contacts} and contacts:
            self._kept.contacts = contacts
            self._save()
        self._loop.call_later(SAVE_EVERY, self._save_later)

    # The local socket: one line of JSON a call.

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        try:
            if len(self._callers) >= CALLERS_MOST:
                writer.write(b'{"fault":"too many callers"}\n')
                return
            self._callers.add(task)
            async with asyncio.timeout(2):
                call = msgspec.json.decode(await reader.readline(), type=dict[str, str])
            what = call.get("do")
            if what == "view":
                writer.write(msgspec.json.encode(self.view()) + b"\n")
            elif what == "leave":
                self.leave()
                writer.write(b'{"done":"leave"}\n')
            elif what == "watch":
                await self._watch(reader, writer)
            else:
                writer.write(b'{"fault":"no such call"}\n')
            await writer.drain()
        except (OSError, TimeoutError, ValueError, msgspec.DecodeError):
            writer.write(b'{"fault":"no call"}\n')
        finally:
            self._callers.discard(task)
            writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Events from now on until the caller goes; one that doesn't read is let go."""

        def tell(line: bytes) -> None:
            if writer.transport.get_write_buffer_size() > WATCH_MOST:
                writer.transport.abort()
            else:
                writer.write(line)

        self.events.watchers.add(tell)
        try:
            while await reader.read(CALL_MOST):
                pass
        finally:
            self.events.watchers.discard(tell)

    def view(self) -> View:
        at, core = now(), self.core
        paths: dict[str, list[str]] = {}
        for cut in core.cuts.values():
            if cut.down:
                for name in (cut.start, cut.end):
                    paths.setdefault(name, []).append(f"{cut.start}->{cut.end} by {cut.by}")
        rows = []
        for name, member in sorted(core.members.items()):
            claim, degree = member.claim, core.degree(at, member)
            rows.append(
                Row(
                    name,
                    degree.value,
                    round((at - member.since) / 1e9, 3),
                    member.word,
                    claim.incarnation,
                    f"{claim.host}:{claim.port}",
                    claim.place,
                    (claim.low, claim.high),
                    round((at - member.heard_at) / 1e9, 3) if member.heard_at > 0 else None,
                    tuple(paths.get(name, ())) if degree not in (Degree.GONE, Degree.LEFT) else (),
                )
            )
        return View(
            self._name,
            core.standing.value,
            core.in_doubt(at),
            core.slow,
            core.lateness,
            core.me.incarnation,
            dict(self._links.counts),
            tuple(rows),
        )
