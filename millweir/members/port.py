"""What the core does to the world: its caller carries it out."""

from __future__ import annotations

from typing import Protocol

from millweir.members.messages import Datagram
from millweir.members.rules import Address
from millweir.members.view import Change


class Port(Protocol):
    """What the core does to the world."""

    def send(self, to: Address, version: int, datagram: Datagram) -> None: ...
    def ask_whole(self, to: Address) -> None: ...
    def wake(self, at: int) -> None: ...
    def changed(self, change: Change) -> None: ...
    def keep(self, incarnation: int) -> None: ...  # to outlast this process, before it is told
    def say(self, event: str, **fields: object) -> None: ...
