"""Shares retry-after waits among the processes of one relay: they bind all of them and outlast each.

Rule 6: a retry-after wait is binding for all messages to that destination.  Each process writes a file of all
waits that it knows of, its own and those it read, so that they outlast a chain of upgrades.  The files of the
others are read at each look at the other processes, well within the 100 ms in which calls are tolerated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from millweir.facade import DecisionEngine
from millweir.net import clock
from millweir.net.heads import MAX_RETRY_AFTER_NS
from millweir.net.journal import SLOT_COUNT, build_slot_file_name
from millweir.net.log import Log
from millweir.net.times import (
    FileStamp,
    Unreadable,
    read_host_times,
    read_stamp,
    replace_unflushed,
    write_host_times,
)

MIN_EXTENSION_NS = 10_000_000  # a wait that ends later than the known one by no more than this is not written


class RetryAfterStore:
    """The waits known to this process: host to the end of its wait, in wall time (nanoseconds)."""

    __slots__ = (
        "_engine",
        "_folder",
        "_last_stamps",
        "_log",
        "_loop",
        "_request_turn",
        "_slot",
        "_wait_ends",
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
        self._loop, self._folder, self._slot = loop, folder, slot
        self._engine, self._request_turn, self._log = engine, request_turn, log
        self._wait_ends: dict[str, int] = {}
        self._last_stamps: dict[int, FileStamp] = {}  # by slot, of its file when it was read

    def start(self) -> None:
        """Read all files, that of this slot's previous process included."""
        self._read_files(include_own=True)

    def read_others(self) -> None:
        """Read what other processes have written since the last time."""
        self._read_files(include_own=False)

    def apply_to_hosts(self, hosts: Iterable[str]) -> None:
        """Pass these hosts' waits to the engine: they may not have been listed when a file was read.

        Takes time in proportion to the hosts given, not to the hosts or waits known.
        """
        now = clock.monotonic_ns()
        wall_now = clock.to_wall(now)
        for host in hosts:
            wait_end = self._wait_ends.get(host, 0)
            if wait_end > wall_now:
                self._engine.apply_retry_after(now, host.encode(), clock.from_wall(wait_end))

    def forget_hosts(self, hosts: Iterable[str]) -> None:
        """Forget the waits of names that stand for hosts of another destination now."""
        for host in hosts:
            self._wait_ends.pop(host, None)

    def record_wait(self, host: str, wait: int) -> None:
        """Record a wait, in nanoseconds, that a host asked this process for, and write it for the others."""
        now = clock.to_wall(clock.monotonic_ns())
        if now + wait > self._wait_ends.get(host, 0) + MIN_EXTENSION_NS:
            self._wait_ends[host] = now + wait
            self._write(now)

    def _read_files(self, include_own: bool) -> None:
        extended = [self._read_slot(slot) for slot in range(SLOT_COUNT) if include_own or slot != self._slot]
        if any(extended):
            self._write(clock.to_wall(clock.monotonic_ns()))
            clock.call_after_poll(
                self._loop, self._request_turn
            )  # after a stall, input that arrived is read first

    def _read_slot(self, slot: int) -> bool:
        """Read a slot's file if it has changed; returns whether it held a wait that was not known."""
        path = self._build_path(slot)
        try:
            stamp = read_stamp(path)
            if stamp == self._last_stamps.get(slot):
                return False
            self._last_stamps[slot] = stamp
            return self._merge(read_host_times(path))
        except FileNotFoundError:
            return False
        except (OSError, Unreadable) as error:
            self._log.info(f"waits-unreadable slot={slot} {str(error)[:200]}")
            return False

    def _merge(self, waits: dict[str, int]) -> bool:
        """Keep the later end of each wait; one that is longer than any host may ask for is ignored."""
        now = clock.monotonic_ns()
        wall_now = clock.to_wall(now)
        extended = False
        for host, wait_end in waits.items():
            if max(wall_now, self._wait_ends.get(host, 0)) < wait_end <= wall_now + MAX_RETRY_AFTER_NS:
                self._wait_ends[host] = wait_end
                self._engine.apply_retry_after(now, host.encode(), clock.from_wall(wait_end))
                extended = True
        return extended

    def _write(self, now: int) -> None:
        self._wait_ends = {host: wait_end for host, wait_end in self._wait_ends.items() if wait_end > now}
        try:
            write_host_times(self._build_path(self._slot), self._wait_ends, replace_unflushed)
        except OSError as error:  # if it happens at all, it happens often: the rate-limited log level is used
            self._log.info(f"waits-unwritten {error}")

    def _build_path(self, slot: int) -> Path:
        return self._folder / build_slot_file_name(slot, ".waits")
