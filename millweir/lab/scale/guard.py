"""Keeps a scale test inside its share of the machine: memory and number of processes."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

MEMORY_SHARE = 0.5  # of the machine's memory
PROCESSES_MOST = 200
PAGE = os.sysconf("SC_PAGE_SIZE")


class LimitExceeded(Exception):
    """The run would take, or has taken, more of the machine than it may; the text says what and how much."""


def machine_memory() -> int:
    """Bytes of memory that the machine has."""
    return PAGE * os.sysconf("SC_PHYS_PAGES")


def resident_memory(process: int) -> int:
    """Bytes that a process holds in memory; 0 where it has ended."""
    try:
        return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE
    except (OSError, IndexError, ValueError):
        return 0


@dataclass(slots=True)
class Guard:
    """The limits of one run; `check` is called before it starts and while it goes on."""

    memory_most: int
    processes_most: int = PROCESSES_MOST

    @classmethod
    def for_this_machine(cls) -> Guard:
        return cls(int(machine_memory() * MEMORY_SHARE))

    def check_plan(self, memory: int, processes: int) -> None:
        """LimitExceeded where the expected bytes or processes are too many."""
        if memory > self.memory_most:
            raise LimitExceeded(
                f"expected to take {memory >> 20} MiB, {self.memory_most >> 20} MiB are allowed"
            )
        if processes > self.processes_most:
            raise LimitExceeded(f"expected to take {processes} processes, {self.processes_most} are allowed")

    def check(self, children: tuple[int, ...] = ()) -> int:
        """Bytes that this process and its children hold now; LimitExceeded where these are too many."""
        taken = sum(resident_memory(process) for process in (os.getpid(), *children))
        if taken > self.memory_most:
            raise LimitExceeded(f"took {taken >> 20} MiB, {self.memory_most >> 20} MiB are allowed")
        return taken
