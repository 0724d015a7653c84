"""Hosts cordoned by hand: kept in the folder, shared with a process beside this one (rule 3, upgrades)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.log import Log
from millweir.net.times import Unreadable, read_host_times, write_host_times

FILE = "cordons.json"


class Cordons:
    """The cordoned hosts: host to when it was put out, in wall time (nanoseconds)."""

    __slots__ = ("_engine", "_log", "_path", "_read_at", "_since", "_wake")

    def __init__(self, folder: Path, engine: DecisionEngine[Any], wake: Callable[[], None], log: Log) -> None:
        self._path, self._engine, self._wake, self._log = folder / FILE, engine, wake, log
        self._since: dict[str, int] = {}
        self._read_at = 0  # the file's time of change when it was read last

    def read(self, again: bool = False) -> None:
        """Take the file as it is now; `again`: only if it has changed since it was read."""
        try:
            changed_at = self._path.stat().st_mtime_ns
            if again and changed_at == self._read_at:
                return
            self._read_at = changed_at
            since = read_host_times(self._path)
        except FileNotFoundError:
            return
        except (OSError, Unreadable) as fault:
            self._log.always(f"cordons-unreadable {str(fault)[:200]}")
            return
        for host in self._since.keys() - since.keys():  # let back by the process beside this one
            self._engine.set_cordon(clock.monotonic_ns(), host.encode(), False)
        self._since = since
        self.bind(since)
        self._wake()

    def bind(self, hosts: Iterable[str]) -> None:
        """Tell the decisions of these hosts' cordons: they may be listed now, and unknown when it was read.

        Growth: with the hosts given, not with the hosts or cordons known.
        """
        for host in hosts:
            if host in self._since:
                self._engine.set_cordon(
                    clock.monotonic_ns(), host.encode(), True, clock.from_wall(self._since[host])
                )

    def change(self, host: bytes, out: bool) -> str:
        """By hand: the host out or back.  Written before it is answered; '' or why it can't be done."""
        now, name = clock.monotonic_ns(), host.decode()
        if not self._engine.set_cordon(now, host, out):
            return f"no host {name[:80]} was ever listed"
        if out == (name in self._since):
            return ""  # a repeat changes nothing
        if out:
            self._since[name] = clock.to_wall(now)
        else:
            del self._since[name]
        self._write()
        self._log.always(f"{'cordon' if out else 'uncordon'} host={name[:80]}")
        self._wake()
        return ""

    def _write(self) -> None:
        try:
            write_host_times(self._path, self._since)
        except OSError as fault:
            self._log.always(f"cordons-unwritten {fault}")
