"""What a relay knows of outages outlasts its process, and is shared with a process beside it (rule 4).

A process that has forgotten an outage sends what it owes as if nothing were known; a fleet that is restarted
then pushes over whatever comes back.  So the hosts that are cold, or whose last call went wrong, are kept in
one file of the folder, written aside and renamed, soon after each change.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from millweir.events import RecoveringHost
from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.log import Log

FILE = "cold_hosts.json"
WRITE_AFTER = 0.05  # seconds from a change to its record
WRITE_AGAIN_AFTER = 0.5  # seconds, where the folder takes no writes
HOSTS_MOST = 8192  # kept of those that no list has named yet


class Unreadable(Exception):
    """The file is not one of cold hosts; the text says why."""


@dataclass(frozen=True, slots=True)
class ColdHostsFile:
    """What such a file holds."""

    written_at: int  # steady time; 0 where it is of another boot
    hosts: list[RecoveringHost]


def decode_cold_hosts(raw: bytes, boot: str, now: int) -> ColdHostsFile:
    """Such a file; Unreadable where it is none.

    Its times are those of the steady clock, which mean nothing in another boot: what is known of a host then
    counts as seen now, and its slow start begins anew.
    """
    try:
        given = json.loads(raw)
        same_boot = bool(boot) and given["boot"] == boot
        written_at = int(given["written_at"])
        hosts = [_decode_host(name, *row) for name, row in given["hosts"].items()]
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as fault:
        raise Unreadable(repr(fault)) from fault
    if same_boot:
        return ColdHostsFile(written_at, hosts)
    return ColdHostsFile(0, [replace(host, last_failure_at=now, recovered_at=0) for host in hosts])


def _decode_host(
    name: str, last_failure_at: int, slow_start_rate: float, recovered_at: int, limit: float
) -> RecoveringHost:
    if not all(0 <= figure < 1 << 63 for figure in (last_failure_at, slow_start_rate, recovered_at, limit)):
        raise ValueError(f"figures out of range for {name[:80]!r}")
    return RecoveringHost(
        name.encode(), int(last_failure_at), float(slow_start_rate), int(recovered_at), float(limit)
    )


def encode_cold_hosts(hosts: Iterable[RecoveringHost], boot: str, now: int) -> bytes:
    """The content of such a file."""
    rows = {
        host.host.decode(): (host.last_failure_at, host.slow_start_rate, host.recovered_at, host.limit)
        for host in hosts
    }
    content = {"boot": boot, "written_at": now, "hosts": rows}
    return json.dumps(content, separators=(",", ":")).encode()


class KnownColdHosts:
    """The file and what the decisions know, kept in step."""

    __slots__ = (
        "_boot",
        "_engine",
        "_fresh",
        "_log",
        "_loop",
        "_path",
        "_read_at",
        "_timer",
        "_unlisted",
        "_wake",
        "_written",
        "_written_at",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: Path,
        slot: int,
        engine: DecisionEngine[Any],
        wake: Callable[[], None],
        log: Log,
    ) -> None:
        """`slot` is this process's own among those that share the folder."""
        self._loop, self._path, self._engine = loop, folder / FILE, engine
        self._fresh = self._path.with_suffix(f".{slot}.new")
        self._wake, self._log = wake, log
        self._boot = clock.read_boot_id().hex()
        self._unlisted: dict[str, RecoveringHost] = {}  # read, of hosts that no list has named yet
        self._written_at = 0  # of the file, when it was read last
        self._read_at = 0  # the file's time of change when it was read or written last
        self._written = engine.recovering_changes
        self._timer: asyncio.TimerHandle | None = None

    def read(self) -> None:
        """Take what an earlier life, or a process beside this one, has written since the last look."""
        try:
            changed_at = self._path.stat().st_mtime_ns
            if changed_at == self._read_at:
                return
            self._read_at = changed_at
            content = decode_cold_hosts(self._path.read_bytes(), self._boot, clock.monotonic_ns())
        except FileNotFoundError:
            return
        except (OSError, Unreadable) as fault:
            self._log.always(f"cold-hosts-unreadable {str(fault)[:200]}")
            return
        hosts, self._written_at = content.hosts, content.written_at
        self._log.info(f"cold-hosts-read hosts={len(hosts)}")
        self._unlisted |= {host.host.decode(): host for host in hosts[-HOSTS_MOST:]}
        self.bind(list(self._unlisted))
        if not {host.host for host in self._engine.list_recovering_hosts()} <= {host.host for host in hosts}:
            self._write_later(WRITE_AFTER)  # the process beside this one knew less
        self._wake()

    def bind(self, hosts: Iterable[str]) -> None:
        """Tell the decisions of these hosts: they may be listed now, and unknown when the file was read.

        Growth: with the hosts given, not with those in the list or the file.
        """
        now = clock.monotonic_ns()
        for name in hosts:
            cold = self._unlisted.get(name)
            if cold and self._engine.restore_host(now, cold):
                del self._unlisted[name]

    def missed(self, failed_at: int) -> bool:
        """Whether a call that failed then may have failed after the last record here.

        Guards a kill in the moment of a failure, and a folder that took the journal's record alone.
        """
        return failed_at > self._written_at

    def note_changes(self) -> None:
        """After each turn: what has changed is written soon."""
        if self._engine.recovering_changes != self._written:
            self._write_later(WRITE_AFTER)

    def close(self) -> None:
        """The end of this process: what is not written yet is written now."""
        if self._timer:
            self._timer.cancel()
            self._write()

    def _write_later(self, delay: float) -> None:
        if not self._timer:
            self._timer = self._loop.call_later(delay, self._write)

    def _write(self) -> None:
        self._timer = None
        changes = self._engine.recovering_changes
        hosts = [*self._unlisted.values(), *self._engine.list_recovering_hosts()]
        try:
            self._fresh.write_bytes(encode_cold_hosts(hosts, self._boot, clock.monotonic_ns()))
            os.replace(self._fresh, self._path)
            self._read_at = self._path.stat().st_mtime_ns
        except OSError as fault:
            self._log.info(f"cold-hosts-unwritten {fault}")
            self._write_later(WRITE_AGAIN_AFTER)
            return
        self._written = changes
