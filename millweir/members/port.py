"""Interface through which the core acts: sending, timers, storage and events."""

from __future__ import annotations

from typing import Protocol

from millweir.members.messages import Datagram
from millweir.members.rules import Address
from millweir.members.view import Change


class Port(Protocol):
    """Side effects of the core; its caller implements them."""

    def send(self, to: Address, version: int, datagram: Datagram) -> None: ...
    def request_full_state(self, to: Address) -> None: ...  # starts an exchange of full states
    def set_timer(self, at: int) -> None: ...  # `Core.time_passed` is due then; replaces the last timer
    def notify_status_change(self, change: Change) -> None: ...
    def save_incarnation(self, incarnation: int) -> None: ...  # durably, before it is sent to others
    def log_event(self, event: str, **fields: object) -> None: ...
