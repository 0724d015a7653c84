"""Stores which hosts are recovering from an outage, across restarts and for a concurrent process.

A process that has forgotten an outage sends what it owes as if nothing had happened; a fleet that is
restarted then overloads every host that comes back.  So the hosts in slow start, and those whose last call
failed, are kept in one file of the state folder, which is replaced atomically soon after each change (rule
4).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from millweir.events import RecoveringHost
from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.concurrent.folder_lock import LockHeld, hold_folder_lock
from millweir.net.log import Log
from millweir.net.times import NO_FILE, read_stamp, replace_unflushed

FILE_NAME = "cold_hosts.json"
WRITE_DELAY_SECONDS = 0.05  # from a change to its record
WRITE_RETRY_SECONDS = 0.5  # where the folder takes no writes
CLOSE_LOCK_WAIT_SECONDS = 0.05  # for the folder's lock at the end of the process
MAX_UNLISTED_HOSTS = 8192  # kept of those that no list has named yet


class Unreadable(Exception):
    """The file holds no valid record of recovering hosts; the text says why."""


@dataclass(frozen=True, slots=True)
class RecoveringHostsFile:
    """The decoded content of the file."""

    written_at: int  # monotonic time; 0 where it is of another boot
    hosts: list[RecoveringHost]


def decode_recovering_hosts(raw: bytes, boot: str, now: int) -> RecoveringHostsFile:
    """Decode the file of recovering hosts; Unreadable where it is invalid.

    Its times are monotonic and mean nothing in another boot: each host then counts as seen now, and its slow
    start begins anew.
    """
    try:
        document = json.loads(raw)
        same_boot = bool(boot) and document["boot"] == boot
        written_at = int(document["written_at"])
        hosts = [_decode_host(name, *row) for name, row in document["hosts"].items()]
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        raise Unreadable(repr(error)) from error
    if same_boot:
        return RecoveringHostsFile(written_at, hosts)
    return RecoveringHostsFile(0, [replace(host, last_failure_at=now, recovered_at=0) for host in hosts])


def _decode_host(
    name: str, last_failure_at: int, slow_start_rate: float, recovered_at: int, limit: float
) -> RecoveringHost:
    if not all(0 <= value < 1 << 63 for value in (last_failure_at, slow_start_rate, recovered_at, limit)):
        raise ValueError(f"figures out of range for {name[:80]!r}")
    return RecoveringHost(
        name.encode(), int(last_failure_at), float(slow_start_rate), int(recovered_at), float(limit)
    )


def encode_recovering_hosts(hosts: Iterable[RecoveringHost], boot: str, now: int) -> bytes:
    rows = {
        host.host.decode(): (host.last_failure_at, host.slow_start_rate, host.recovered_at, host.limit)
        for host in hosts
    }
    content = {"boot": boot, "written_at": now, "hosts": rows}
    return json.dumps(content, separators=(",", ":")).encode()


class RecoveringHostStore:
    """Keeps the file and the decision engine's state of recovering hosts in step."""

    __slots__ = (
        "_boot",
        "_engine",
        "_last_stamp",
        "_log",
        "_loop",
        "_path",
        "_request_turn",
        "_temporary_path",
        "_timer",
        "_unlisted",
        "_written_at",
        "_written_changes",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: Path,
        slot: int,
        engine: DecisionEngine[Any],
        request_turn: Callable[[], None],
        log: Log,
    ) -> None:
        """`slot` is this process's own among those that share the folder."""
        self._loop, self._path, self._engine = loop, folder / FILE_NAME, engine
        self._temporary_path = self._path.with_suffix(f".{slot}.new")
        if self._temporary_path.exists() and not self._path.exists():  # killed while it was replaced
            with contextlib.suppress(OSError):
                os.rename(self._temporary_path, self._path)
        self._request_turn, self._log = request_turn, log
        self._boot = clock.read_boot_id().hex()
        self._unlisted: dict[str, RecoveringHost] = {}  # hosts of the file that no list has named yet
        self._written_at = 0  # when the file that was read last had been written
        self._last_stamp = NO_FILE  # of the file when it was read or written last
        self._written_changes = engine.recovering_changes
        self._timer: asyncio.TimerHandle | None = None

    def read_file(self) -> None:
        """Apply what was written before the restart, or by a concurrent process, since the last read."""
        try:
            stamp = read_stamp(self._path)
            if stamp == self._last_stamp:
                return
            self._last_stamp = stamp
            content = decode_recovering_hosts(self._path.read_bytes(), self._boot, clock.monotonic_ns())
        except FileNotFoundError:
            return
        except (OSError, Unreadable) as error:
            self._log.always(f"cold-hosts-unreadable {str(error)[:200]}")
            return
        hosts, self._written_at = content.hosts, content.written_at
        self._log.info(f"cold-hosts-read hosts={len(hosts)}")
        self._unlisted |= {host.host.decode(): host for host in hosts[-MAX_UNLISTED_HOSTS:]}
        self.apply_to_hosts(list(self._unlisted))
        if not {host.host for host in self._engine.list_recovering_hosts()} <= {host.host for host in hosts}:
            self._schedule_write(WRITE_DELAY_SECONDS)  # the concurrent process knew fewer hosts
        self._request_turn()

    def apply_to_hosts(self, hosts: Iterable[str]) -> None:
        """Pass these hosts' state to the engine: they may not have been listed when the file was read.

        Takes time in proportion to the hosts given, not to those in the list or the file.
        """
        now = clock.monotonic_ns()
        for name in hosts:
            recovering = self._unlisted.get(name)
            if recovering and self._engine.restore_host(now, recovering):
                del self._unlisted[name]

    def forget_hosts(self, hosts: Iterable[str]) -> None:
        """Forget the state of names that stand for hosts of another destination now."""
        for name in hosts:
            self._unlisted.pop(name, None)

    def may_have_missed(self, failed_at: int) -> bool:
        """Whether a call that failed at that time may have failed after the last record in the file.

        This happens after a kill in the moment of a failure, or where the folder took only the journal's
        record.
        """
        return failed_at > self._written_at

    def schedule_write_if_changed(self) -> None:
        if self._engine.recovering_changes != self._written_changes:
            self._schedule_write(WRITE_DELAY_SECONDS)

    def close(self) -> None:
        """Write what is not written yet, at the end of the process."""
        if self._timer:
            self._timer.cancel()
            self._write(CLOSE_LOCK_WAIT_SECONDS)

    def _schedule_write(self, delay: float) -> None:
        if not self._timer:
            self._timer = self._loop.call_later(delay, self._write)

    def _write(self, lock_wait_seconds: float = 0.0) -> None:
        self._timer = None
        changes = self._engine.recovering_changes
        try:
            with hold_folder_lock(self._path.parent, lock_wait_seconds):
                self.read_file()  # a concurrent process may have written more hosts since the last read
                self._replace_file()
        except LockHeld:
            self._schedule_write(WRITE_DELAY_SECONDS)
        except OSError as error:
            self._log.info(f"cold-hosts-unwritten {error}")
            self._schedule_write(WRITE_RETRY_SECONDS)
        else:
            self._written_changes = changes
            if self._timer:  # for what was read before the write
                self._timer.cancel()
                self._timer = None

    def _replace_file(self) -> None:
        hosts = [*self._unlisted.values(), *self._engine.list_recovering_hosts()]
        self._temporary_path.write_bytes(encode_recovering_hosts(hosts, self._boot, clock.monotonic_ns()))
        replace_unflushed(self._temporary_path, self._path)
        self._last_stamp = read_stamp(self._path)
