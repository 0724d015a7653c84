"""Told waits (retry-after) shared by processes of one relay: they bind all of them, and outlast each.

Each process writes a file of all waits that it knows of, its own and those it read, so that they outlast a
chain of upgrades; the files of the others are read every `READ_EVERY` seconds, well within the 100 ms in
which calls are let through (rule 6).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.heads import MAX_RETRY_AFTER_NS
from millweir.net.journal import SLOTS, named
from millweir.net.log import Log
from millweir.net.times import Unreadable, read_host_times, write_host_times

READ_EVERY = 0.05  # seconds
KNOWN_WITHIN = 10_000_000  # nanoseconds: a wait that ends so little later than the known one is not written


class SharedWaits:
    """The waits known to this process: host to the end of its wait, in wall time (nanoseconds)."""

    __slots__ = ("_engine", "_folder", "_log", "_loop", "_read_at", "_slot", "_until", "_wake")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: Path,
        slot: int,
        engine: DecisionEngine[Any],
        wake: Callable[[], None],
        log: Log,
    ) -> None:
        """`slot` is this process's own among those that share the folder; `wake` asks for a turn."""
        self._loop, self._folder, self._slot = loop, folder, slot
        self._engine, self._wake, self._log = engine, wake, log
        self._until: dict[str, int] = {}
        self._read_at: dict[int, int] = {}  # slot of another process: its file's time of change when read

    def start(self) -> None:
        """Read what is there, this slot's earlier life included, and go on reading what others write."""
        self._read_all(first=True)

    def bind(self, hosts: Iterable[str]) -> None:
        """Tell the decisions of these hosts' waits: they may be listed now, and unknown when it was read.

        Growth: with the hosts given, not with the hosts or waits known.
        """
        now = clock.monotonic_ns()
        wall = clock.to_wall(now)
        for host in hosts:
            until = self._until.get(host, 0)
            if until > wall:
                self._engine.apply_retry_after(now, host.encode(), clock.from_wall(until))

    def told(self, host: str, wait: int) -> None:
        """A wait of so many nanoseconds was told to this process: written for the others."""
        now = clock.to_wall(clock.monotonic_ns())
        if now + wait > self._until.get(host, 0) + KNOWN_WITHIN:
            self._until[host] = now + wait
            self._write(now)

    def _read_again(self) -> None:
        self._read_all(first=False)

    def _read_all(self, first: bool) -> None:
        grown = [self._read_slot(slot) for slot in range(SLOTS) if first or slot != self._slot]
        if any(grown):
            self._write(clock.to_wall(clock.monotonic_ns()))
            clock.call_after_poll(self._loop, self._wake)  # after a stall, what came meanwhile is read first
        self._loop.call_later(READ_EVERY, self._read_again)

    def _read_slot(self, slot: int) -> bool:
        """Whether the file of that slot, if it has changed, held a wait that was not known."""
        path = self._path(slot)
        try:
            changed_at = path.stat().st_mtime_ns
            if changed_at == self._read_at.get(slot):
                return False
            self._read_at[slot] = changed_at
            return self._merge(read_host_times(path))
        except FileNotFoundError:
            return False
        except (OSError, Unreadable) as fault:
            self._log.info(f"waits-unreadable slot={slot} {str(fault)[:200]}")
            return False

    def _merge(self, waits: dict[str, int]) -> bool:
        """Take the later end of each; one beyond any wait that can be told is not of this deployment."""
        now = clock.monotonic_ns()
        wall = clock.to_wall(now)
        grown = False
        for host, until in waits.items():
            if max(wall, self._until.get(host, 0)) < until <= wall + MAX_RETRY_AFTER_NS:
                self._until[host] = until
                self._engine.apply_retry_after(now, host.encode(), clock.from_wall(until))
                grown = True
        return grown

    def _write(self, now: int) -> None:
        self._until = {host: until for host, until in self._until.items() if until > now}
        try:
            write_host_times(self._path(self._slot), self._until)
        except OSError as fault:  # happens often if at all: rate-limited
            self._log.info(f"waits-unwritten {fault}")

    def _path(self, slot: int) -> Path:
        return self._folder / named(slot, ".waits")
