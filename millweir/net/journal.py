"""The journal: what this relay owes outlasts its process, in one file of the folder that lasts.

A record is a length, a checksum and a body; what is read back ends at the first one that is not whole.  When
the file has grown, one with only what is still owed takes its place.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Callable
from pathlib import Path

from millweir.interface import MILLISECOND
from millweir.net import clock

FRAME = struct.Struct("<II")
TAKEN = struct.Struct("<BQqHHHHHi")  # kind, number, hard stop, five lengths of text, destination
TRIP = struct.Struct("<BQq")  # kind, number, when it went out
VOID = struct.Struct("<BQH")  # kind, number, which of its trips never ran
GIVEN_UP = struct.Struct("<BQBq")  # kind, number, may come again, wait
OVER = struct.Struct("<BQ")  # kind, number
CLOCK = struct.Struct("<BQq16s")  # kind, number 0: earlier builds skip it; wall clock ahead of steady, boot
TAKEN_KIND = 1
TRIP_KIND = 2
VOID_KIND = 3
GIVEN_UP_KIND = 4
OVER_KIND = 5
CLOCK_KIND = 6
OF_ANY_AGE = 0  # wall time of a trip of which nobody can say for sure how long ago it went out
TRIP_SIZE = 2 * FRAME.size + TRIP.size + VOID.size  # the most that one trip takes in a file
FIXED_SIZE = 2 * FRAME.size + TAKEN.size + GIVEN_UP.size  # besides texts, body and trips
FILE = "journal"
SLOTS = 4  # processes that may share the folder at once: one, and the one that replaces it


def named(slot: int, end: str = "") -> str:
    return (FILE if slot == 0 else f"{FILE}.{slot}") + end


class OwedMessage:
    """A packet as the sockets know it, from being taken on to its end."""

    __slots__ = (
        "account",
        "body",
        "destination",
        "given_up",
        "hard_stop",
        "id",
        "key",
        "mark",
        "number",
        "profile",
        "restored",
        "size",
        "trips",
    )

    def __init__(
        self,
        ident: bytes,
        profile: bytes,
        account: bytes,
        key: bytes,
        mark: bytes,
        destination: int,
        hard_stop: int,
        body: bytes,
    ) -> None:
        self.number = 0
        self.id = ident
        self.profile = profile
        self.account = account
        self.key = key  # packets of one key keep their order
        self.mark = mark  # by which its destination knows a repeat
        self.destination = destination
        self.hard_stop = hard_stop  # wall time, as all times here
        self.body = body
        self.trips: list[list[int]] = []  # when each went out, and 1 once it is known that it never ran
        self.given_up: tuple[bool, int] | None = None
        self.restored = False  # an earlier life took it on
        self.size = FIXED_SIZE + sum(map(len, self.texts)) + len(body)  # the most that it takes in a file

    @property
    def texts(self) -> tuple[bytes, ...]:
        return self.id, self.profile, self.account, self.key, self.mark

    def went_out(self, at: int) -> None:
        """It has one trip more."""
        self.trips.append([at, 0])
        self.size += TRIP_SIZE

    def records(self) -> list[bytes]:
        """All that a file must hold of it."""
        head = TAKEN.pack(TAKEN_KIND, self.number, self.hard_stop, *map(len, self.texts), self.destination)
        bodies = [b"".join((head, *self.texts, self.body))]
        for at, (sent_at, void) in enumerate(self.trips):
            bodies.append(TRIP.pack(TRIP_KIND, self.number, sent_at))
            if void:
                bodies.append(VOID.pack(VOID_KIND, self.number, at))
        if self.given_up:
            bodies.append(GIVEN_UP.pack(GIVEN_UP_KIND, self.number, *self.given_up))
        return bodies


def framed(bodies: list[bytes]) -> bytes:
    return b"".join([FRAME.pack(len(body), zlib.crc32(body)) + body for body in bodies])


def _set_back_since(wall_ahead: int) -> int:
    """By how much the wall clock was set back since a process of this boot found it so far ahead.

    Guards rule 2: a trip must not seem younger than it is by the steady clock, which runs on between two
    processes of one boot.  A wall clock set ahead makes trips seem older, and is left so.
    """
    return max(0, wall_ahead - clock.wall_offset())


def _clock_record() -> bytes:
    """By which clocks the times in the records behind it are told."""
    return CLOCK.pack(CLOCK_KIND, 0, clock.wall_offset(), clock.read_boot_id())


class Journal:
    """Every message that is still owed its end, in memory and on disk alike."""

    def __init__(self, folder: Path, file_most: int, live_most: int, say: Callable[[str], None]) -> None:
        self.folder, self._file_most, self._live_most, self._say = folder, file_most, live_most, say
        self.owed: dict[int, OwedMessage] = {}
        self.torn = 0  # bytes dropped from the end of the file at start
        self._live = self._size = self._last = 0
        self._reserve = -1  # a descriptor that is lent to the next file
        self._set_back: int | None = None  # of the file being read: nanoseconds, None where that is unknown
        self._moved = 0  # of the wall clock since the records being read were written, either way
        self._locks: dict[int, int] = {}
        self._file = -1
        try:
            self._open()
        except OSError:
            self.close()
            raise

    def _open(self) -> None:
        # Guards rule 2 in an upgrade: a process beside this one owns its own file, locked while it lives.
        self.slot = next((slot for slot in range(SLOTS) if self._lock(slot)), SLOTS - 1)
        path = self.folder / named(self.slot)
        if path.exists():
            self._read(path.read_bytes())
        if not self._resume():
            self._compact()
        self.orphans()

    def _lock(self, slot: int) -> bool:
        """Whether this process now holds that slot; where the file system has no locks, it does."""
        fd = os.open(self.folder / named(slot, ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        except OSError:
            pass
        self._locks[slot] = fd
        return True

    def process_beside(self) -> bool:
        """Whether another process that is alive holds a slot of this folder."""
        for slot in range(SLOTS):
            if slot == self.slot or not (self.folder / named(slot, ".lock")).exists():
                continue
            try:
                if not self._lock(slot):
                    return True
            except OSError:  # out of descriptors: unknown
                return True
            os.close(self._locks.pop(slot))
        return False

    def orphans(self) -> list[OwedMessage]:
        """What a process that ended beside this one still owed, now owed by this one and written here."""
        found: list[OwedMessage] = []
        for slot in range(SLOTS):
            path = self.folder / named(slot)
            if slot == self.slot or not path.exists() or not self._lock(slot):
                continue
            mine, last, torn = self.owed, self._last, self.torn
            self.owed = {}
            try:
                self._read(path.read_bytes())
                theirs, self.owed = self.owed, mine
                self._last, self.torn, self._live = last, torn, sum(p.size for p in mine.values())
                self._take_over(path, theirs, found)
            except OSError as fault:  # out of descriptors or disk: it stays as it is, and is tried again
                self.owed, self._last, self.torn = mine, last, torn
                self._live = sum(message.size for message in mine.values())
                self._say(f"journal-failed adopt slot={slot} {fault}")
            os.close(self._locks.pop(slot))
        return found

    def _take_over(self, path: Path, theirs: dict[int, OwedMessage], found: list[OwedMessage]) -> None:
        """Each is written here before it goes there; OSError where this disk takes no more.

        Guards rule 2 where a kill falls between the two: what is here already is not taken on once more.
        """
        known = {message.id for message in self.owed.values()}
        numbers = list(theirs)  # as that file has them; taken on, they get others
        try:
            for message in theirs.values():
                if message.id not in known:
                    self.taken(message)
                    found.append(message)
        except OSError:
            gone = [number for number in numbers if theirs[number] in found or theirs[number].id in known]
            with open(path, "ab") as file:  # the rest of them stays there
                file.write(framed([OVER.pack(OVER_KIND, number) for number in gone]))
            raise
        path.unlink(missing_ok=True)

    def close(self) -> None:
        """As at the end of the process: its file and its slot are let go."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        self._drop_reserve()
        for fd in self._locks.values():
            os.close(fd)
        self._locks.clear()

    @property
    def room(self) -> int:
        """How large a message may be taken on."""
        return self._live_most - self._live

    def taken(self, message: OwedMessage) -> None:
        """Written before its client hears of it; OSError where the disk won't take it."""
        self._last = message.number = self._last + 1
        self._write(message.records())
        self.owed[message.number] = message
        self._live += message.size

    def trip(self, messages: list[OwedMessage], at: int) -> None:
        """Written before the last byte of their call goes out."""
        self._write([TRIP.pack(TRIP_KIND, message.number, at) for message in messages])
        for message in messages:
            message.went_out(at)
            self._live += TRIP_SIZE

    def void(self, message: OwedMessage, at: int) -> None:
        """One of its trips never ran."""
        message.trips[at][1] = 1
        if message.number in self.owed:  # of what is over, nothing more is told
            self._note("void", VOID.pack(VOID_KIND, message.number, at))

    def given_up(self, message: OwedMessage, again: bool, wait: int) -> None:
        """Its end is known, the platform has yet to be told."""
        message.given_up = (again, wait)
        self._note("given-up", GIVEN_UP.pack(GIVEN_UP_KIND, message.number, again, wait))

    def over(self, message: OwedMessage) -> None:
        """Nothing more is owed for it."""
        if self.owed.pop(message.number, None):
            self._live -= message.size
            self._note("over", OVER.pack(OVER_KIND, message.number))

    def _note(self, what: str, body: bytes) -> None:
        """Where the disk won't take it, work goes on; after a restart less is known to have ended."""
        try:
            self._write([body])
        except OSError as fault:
            self._say(f"journal-failed {what} {fault}")

    def _write(self, bodies: list[bytes]) -> None:
        raw = framed(bodies)
        if self._size + len(raw) > self._file_most:
            self._compact()
        done = os.write(self._file, raw)
        self._size += done
        if done < len(raw):  # a part of a record must not stay in front of whole ones
            os.ftruncate(self._file, self._size - done)
            self._size -= done
            raise OSError("the journal took only a part of a record")

    def _resume(self) -> bool:
        """Go on with the file of the process before this one, if it is whole and mostly of what is owed."""
        path = self.folder / named(self.slot)
        size = path.stat().st_size if path.exists() else 0
        if self.torn or not 0 < size <= min(2 * self._live, self._file_most // 2):
            return False
        self._file, self._size = os.open(path, os.O_WRONLY | os.O_APPEND), size
        self._hold_reserve()
        self._write([_clock_record()])
        return True

    def _compact(self) -> None:
        """A new file with what is owed replaces the old one at once: a crash leaves either of them whole.

        Guards rule 2 where clients or hosts hold all other descriptors: an end has to be written.
        """
        self._drop_reserve()
        try:
            self._replace_file()
        finally:
            self._hold_reserve()

    def _hold_reserve(self) -> None:
        try:
            self._reserve = os.open(os.devnull, os.O_RDONLY)
        except OSError as fault:
            self._say(f"journal-failed reserve {fault}")

    def _drop_reserve(self) -> None:
        if self._reserve >= 0:
            os.close(self._reserve)
            self._reserve = -1

    def _replace_file(self) -> None:
        bodies = [body for message in self.owed.values() for body in message.records()]
        raw = framed([_clock_record(), *bodies])
        new, name = self.folder / named(self.slot, ".new"), self.folder / named(self.slot)
        fresh = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            at = 0
            while at < len(raw):
                at += os.write(fresh, raw[at:])
            os.rename(new, name)
        except OSError:
            os.close(fresh)
            new.unlink(missing_ok=True)
            raise
        if self._file >= 0:
            os.close(self._file)
        self._file, self._size = fresh, len(raw)

    def _read(self, raw: bytes) -> None:
        at, self._set_back, self._moved = 0, None, 0
        while at + FRAME.size <= len(raw):
            size, check = FRAME.unpack_from(raw, at)
            body = raw[at + FRAME.size : at + FRAME.size + size]
            if len(body) < size or not size or zlib.crc32(body) != check or not self._replay(body):
                break
            at += FRAME.size + size
        self.torn = len(raw) - at
        self._live = sum(message.size for message in self.owed.values())

    def _replay(self, body: bytes) -> bool:
        """Take in one record; False where it makes no sense."""
        try:
            if body[0] == TAKEN_KIND:
                _, number, hard_stop, *lengths, destination = TAKEN.unpack_from(body)
                texts, at = [], TAKEN.size
                for length in lengths:
                    texts.append(body[at : at + length])
                    at += length
                # Guards rule 1 where the wall clock was set between two lives: a deadline is a span of time.
                message = OwedMessage(*texts, destination, hard_stop + self._moved, body[at:])
                message.number = self._last = number
                self.owed[number] = message
                return True
            if body[0] == CLOCK_KIND:
                _, _, ahead, boot = CLOCK.unpack(body)
                same_boot = boot == clock.read_boot_id()
                self._set_back = _set_back_since(ahead) if same_boot else None
                self._moved = clock.wall_offset() - ahead if same_boot else 0
                if self._set_back is None or self._set_back >= MILLISECOND:
                    self._say(f"clock-set-back ns={'unknown' if self._set_back is None else self._set_back}")
                return True
            message = self.owed.get(struct.unpack_from("<Q", body, 1)[0])
            if body[0] == OVER_KIND:
                if message:
                    del self.owed[message.number]
            elif message is None:
                pass  # Guards what comes after: a late word on a message that is over is no damage.
            elif body[0] == TRIP_KIND:
                at = TRIP.unpack(body)[2]
                message.went_out(OF_ANY_AGE if self._set_back is None else at - self._set_back)
            elif body[0] == VOID_KIND:
                message.trips[VOID.unpack(body)[2]][1] = 1
            elif body[0] == GIVEN_UP_KIND:
                _, _, again, wait = GIVEN_UP.unpack(body)
                message.given_up = (bool(again), wait)
            else:
                return False
        except (struct.error, IndexError):
            return False
        return True
