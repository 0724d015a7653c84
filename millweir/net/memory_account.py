"""One account, in bytes, of what peers make the process hold."""

from __future__ import annotations


class MemoryAccount:
    """What one kind of holder has been charged, and the most that it may hold."""

    __slots__ = ("held_bytes", "max_bytes", "name", "peak_bytes")

    def __init__(self, name: str, max_bytes: int) -> None:
        self.name = name
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.peak_bytes = 0

    @property
    def free_bytes(self) -> int:
        """What may still be charged; negative where more is held than may be."""
        return self.max_bytes - self.held_bytes

    @property
    def is_over(self) -> bool:
        """Whether more is held than may be."""
        return self.held_bytes > self.max_bytes

    def change(self, by: int) -> None:
        """Charge bytes, or release them where `by` is negative."""
        self.held_bytes += by
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes
