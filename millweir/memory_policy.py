"""How the memory of a relay is divided among those who can make it hold something."""

from __future__ import annotations

from millweir.events import RefusalReason
from millweir.interface import Bounds, Limits, MemoryShares

PROCESS_BYTES = 28 << 20  # of a process that has just started, with its list of hosts
# The part of the memory limit that is left for the peers where process and folder together leave less.
MIN_CAPACITY_DIVISOR = 16
CONNECTION_BYTES = 4 << 10  # of a client connection, beside the bytes of its requests
MESSAGE_BYTES = 4 << 10  # of an owed message, beside what it takes in the journal
KNOWN_ID_BYTES = 256
LIST_EXPANSION = 10  # of a host list while it is decoded, its own bytes included
MAX_LIST_BYTES = 16 << 20


def derive_memory_shares(limits: Limits) -> MemoryShares:
    """Divide what the process itself and its folder leave of the memory limit; files count as memory."""
    capacity = max(
        limits.memory_bytes - PROCESS_BYTES - limits.disk_bytes, limits.memory_bytes // MIN_CAPACITY_DIVISOR
    )
    return MemoryShares(
        client_connections=capacity * 3 // 8,
        messages=capacity // 4,
        known_ids=capacity // 8,
        host_lists=capacity // 4,
    )


def limit_list_bytes(memory: MemoryShares) -> int:
    """Return how long an answer of discovery may be."""
    return min(MAX_LIST_BYTES, memory.host_lists // LIST_EXPANSION)


def limit_client_connections(limits: Limits, memory: MemoryShares) -> int:
    """Return how many connections clients may hold; a quarter of their memory is left to requests."""
    return min(limits.descriptors // 3, memory.client_connections * 3 // 4 // CONNECTION_BYTES)


def find_shortage(bounds: Bounds, messages: int, message_bytes: int, ended_ids: int) -> RefusalReason:
    """Return why memory takes no further message, if it takes none.

    `messages`: owed now; `message_bytes`: what they may take in the journal; `ended_ids`: kept of others.
    Rule 2 (no message takes effect twice): an id is never forgotten early to make room for a new one.
    """
    if messages + ended_ids >= bounds.max_known_ids:
        return RefusalReason.IDS_FULL
    if message_bytes + (messages + 1) * MESSAGE_BYTES > bounds.memory.messages:
        return RefusalReason.MEMORY_FULL
    return RefusalReason.NONE
