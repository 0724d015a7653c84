"""Stores the hosts cordoned by an operator: in the state folder, shared with a concurrent process (upgrades).

Rule 3: nothing new is sent to a cordoned host after the grace period, restarts and upgrades included.

The file is the one table of all processes.  A change is made to what the file holds, under the folder's lock,
and is answered once it is written; so of two commands at two processes, the one answered later decides.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.concurrent.folder_lock import hold_folder_lock
from millweir.net.log import Log
from millweir.net.times import NO_FILE, Unreadable, read_host_times, read_stamp, write_host_times

FILE_NAME = "cordons.json"
COMMAND_LOCK_WAIT_SECONDS = 0.3  # the answer to a command is due within a second


class Cordons:
    """The cordoned hosts, each with when it was cordoned, in wall time (nanoseconds)."""

    __slots__ = ("_cordoned_at", "_engine", "_last_stamp", "_log", "_path", "_request_turn", "_unwritten")

    def __init__(
        self, folder: Path, engine: DecisionEngine[Any], request_turn: Callable[[], None], log: Log
    ) -> None:
        self._path, self._engine, self._request_turn, self._log = (
            folder / FILE_NAME,
            engine,
            request_turn,
            log,
        )
        self._cordoned_at: dict[str, int] = {}
        self._unwritten: dict[str, int] = {}  # cordons that the folder did not take, in force here
        self._last_stamp = NO_FILE  # of the file when it was read or written last

    def read_file(self, only_if_changed: bool = False) -> None:
        """Apply the file's content; `only_if_changed`: only where it has changed since it was read."""
        try:
            stamp = read_stamp(self._path)
            if only_if_changed and stamp == self._last_stamp:
                return
            self._last_stamp = stamp
            cordoned_at = read_host_times(self._path)
        except FileNotFoundError:
            return
        except (OSError, Unreadable) as error:
            self._log.always(f"cordons-unreadable {str(error)[:200]}")
            return
        self._put_in_force(self._unwritten | cordoned_at)

    def _put_in_force(self, cordoned_at: dict[str, int]) -> None:
        for host in self._cordoned_at.keys() - cordoned_at.keys():
            self._engine.set_cordon(clock.monotonic_ns(), host.encode(), False)
        self._cordoned_at = cordoned_at
        self.apply_to_hosts(cordoned_at)
        self._request_turn()

    def apply_to_hosts(self, hosts: Iterable[str]) -> None:
        """Pass these hosts' cordons to the engine: they may not have been listed when the file was read.

        Takes time in proportion to the hosts given, not to the hosts or cordons known.
        """
        for host in hosts:
            if host in self._cordoned_at:
                self._engine.set_cordon(
                    clock.monotonic_ns(), host.encode(), True, clock.from_wall(self._cordoned_at[host])
                )

    def set_cordon(self, host: bytes, cordoned: bool) -> str:
        """Cordon or uncordon a host; written before it is answered; returns '' or why it is impossible.

        A cordon that can't be written is in force here at once, and written as soon as the folder takes it.
        """
        name = host.decode()
        try:
            with hold_folder_lock(self._path.parent, COMMAND_LOCK_WAIT_SECONDS):
                self.read_file()
                return self._change(name, cordoned)
        except OSError as error:
            self._log.always(f"cordons-unwritten {error}")
        if cordoned and not self._hold_unwritten(name):
            return self._describe_unknown(name)
        return "the state folder took no record of it" + " yet; in force at this process" * cordoned

    def write_late_records(self) -> None:
        """Write the cordons that the folder did not take before, if it takes them now."""
        if not self._unwritten:
            return
        try:
            with hold_folder_lock(self._path.parent, wait_seconds=0.0):
                self.read_file()
                self._write(self._cordoned_at)
        except OSError as error:
            self._log.info(f"cordons-unwritten {error}")

    def _change(self, name: str, cordoned: bool) -> str:
        """Change what the file holds, whose lock is held; OSError where it can't be written."""
        if name not in self._cordoned_at and not self._engine.set_cordon(
            clock.monotonic_ns(), name.encode(), cordoned
        ):
            return self._describe_unknown(name)
        changed = dict(self._cordoned_at)
        if cordoned:
            changed.setdefault(name, clock.to_wall(clock.monotonic_ns()))
        else:
            changed.pop(name, None)
        if changed != self._cordoned_at or self._unwritten:
            self._write(changed)
            self._put_in_force(changed)
            self._log.always(f"{'cordon' if cordoned else 'uncordon'} host={name[:80]}")
        return ""

    def _hold_unwritten(self, name: str) -> bool:
        """Put a cordon in force that could not be written; False for a host that no list has named."""
        now = clock.monotonic_ns()
        if name not in self._cordoned_at and not self._engine.set_cordon(now, name.encode(), True):
            return False
        self._unwritten[name] = self._cordoned_at.setdefault(name, clock.to_wall(now))
        self._request_turn()
        return True

    def _describe_unknown(self, name: str) -> str:
        return f"no host {name[:80]} was ever listed"

    def _write(self, cordoned_at: dict[str, int]) -> None:
        write_host_times(self._path, cordoned_at, os.replace)
        self._last_stamp = read_stamp(self._path)
        self._unwritten = {}
