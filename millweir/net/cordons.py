"""Stores the hosts cordoned by an operator: in the state folder, shared with a concurrent process (upgrades).

Rule 3: nothing new is sent to a cordoned host after the grace period, restarts and upgrades included.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.log import Log
from millweir.net.times import Unreadable, read_host_times, write_host_times

FILE_NAME = "cordons.json"


class Cordons:
    """The cordoned hosts, each with when it was cordoned, in wall time (nanoseconds)."""

    __slots__ = ("_cordoned_at", "_engine", "_last_mtime_ns", "_log", "_path", "_request_turn")

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
        self._last_mtime_ns = 0  # modification time of the file when it was read last

    def read_file(self, only_if_changed: bool = False) -> None:
        """Apply the file's content; `only_if_changed`: only where it has changed since it was read."""
        try:
            changed_at = self._path.stat().st_mtime_ns
            if only_if_changed and changed_at == self._last_mtime_ns:
                return
            self._last_mtime_ns = changed_at
            cordoned_at = read_host_times(self._path)
        except FileNotFoundError:
            return
        except (OSError, Unreadable) as error:
            self._log.always(f"cordons-unreadable {str(error)[:200]}")
            return
        for host in self._cordoned_at.keys() - cordoned_at.keys():  # uncordoned by the concurrent process
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
        """Cordon or uncordon a host; written before it is answered; returns '' or why it is impossible."""
        now, name = clock.monotonic_ns(), host.decode()
        if not self._engine.set_cordon(now, host, cordoned):
            return f"no host {name[:80]} was ever listed"
        if cordoned == (name in self._cordoned_at):
            return ""  # a repeat changes nothing
        if cordoned:
            self._cordoned_at[name] = clock.to_wall(now)
        else:
            del self._cordoned_at[name]
        self._write()
        self._log.always(f"{'cordon' if cordoned else 'uncordon'} host={name[:80]}")
        self._request_turn()
        return ""

    def _write(self) -> None:
        try:
            write_host_times(self._path, self._cordoned_at, os.replace)
        except OSError as error:
            self._log.always(f"cordons-unwritten {error}")
