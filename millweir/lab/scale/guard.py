"""Enforces a scale test's limits on memory and number of processes."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

MAX_MEMORY_FRACTION = 0.5  # of the machine's memory
MAX_PROCESSES = 200
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class LimitExceeded(Exception):
    """The run would exceed, or has exceeded, a resource limit; the message names the resource and amounts."""


def get_machine_memory() -> int:
    """Returns the bytes of memory of the machine."""
    return PAGE_BYTES * os.sysconf("SC_PHYS_PAGES")


def get_resident_memory(process_id: int) -> int:
    """Returns the resident bytes of a process; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{process_id}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


@dataclass(slots=True)
class Guard:
    """The limits of one run: `check_plan` is called before it starts, `check` while it runs."""

    max_memory_bytes: int
    max_processes: int = MAX_PROCESSES

    @classmethod
    def for_this_machine(cls) -> Guard:
        return cls(int(get_machine_memory() * MAX_MEMORY_FRACTION))

    def check_plan(self, memory: int, processes: int) -> None:
        """Raises LimitExceeded if the expected bytes or processes are too many."""
        if memory > self.max_memory_bytes:
            raise LimitExceeded(
                f"expected to take {memory >> 20} MiB, {self.max_memory_bytes >> 20} MiB are allowed"
            )
        if processes > self.max_processes:
            raise LimitExceeded(f"expected to take {processes} processes, {self.max_processes} are allowed")

    def check(self, children: tuple[int, ...] = ()) -> int:
        """Returns the resident bytes of this process and its children; raises LimitExceeded if too many."""
        resident_bytes = sum(get_resident_memory(process_id) for process_id in (os.getpid(), *children))
        if resident_bytes > self.max_memory_bytes:
            raise LimitExceeded(
                f"took {resident_bytes >> 20} MiB, {self.max_memory_bytes >> 20} MiB are allowed"
            )
        return resident_bytes
