"""Asks the system whether the peer of a TCP connection has ended it, whatever lies unread before the end."""

from __future__ import annotations

import socket
from typing import Protocol

# States of include/net/tcp_states.h in which the peer has sent its end, or the connection was reset.
ENDED_STATES = frozenset((6, 7, 8, 9, 11))  # TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


class SocketOptions(Protocol):
    """The part of a socket that is used."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes: ...


def has_peer_ended(connection: SocketOptions) -> bool:
    """Whether the peer's end has arrived; False where the system can't tell."""
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED_STATES
    except (OSError, IndexError):
        return False
