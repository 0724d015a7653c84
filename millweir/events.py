"""What the decisions tell of themselves, typed: state of hosts, and why a message was refused or ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HostState(Enum):
    """How a host is treated."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"  # one call failed; one more may follow at once, then spaced trials alone
    EJECTED = "ejected"  # spaced trials alone, one at a time
    SLOW_START = "slow-start"  # a trial went well: the pace grows with time


@dataclass(frozen=True, slots=True)
class HostTransition:
    """One change of a host's state; `slow_start_rate`: calls a second that it may be sent from now on."""

    host: bytes
    state: HostState
    cause: str
    slow_start_rate: float


@dataclass(frozen=True, slots=True)
class HostView:
    """What is believed of a host, as the log tells it beside each call that went wrong."""

    state: HostState
    last_success_at: int  # when a call to it went well last; 0: none in this life
    limit: float  # calls a second that may be sent there, as learned


@dataclass(frozen=True, slots=True)
class ColdHost:
    """A host in slow start, or whose last call went wrong, in the form that outlasts the process."""

    host: bytes
    seen_at: int  # when its last call failed or was refused
    slow_start_rate: float  # calls a second at the begin of its slow start; 0: not in it
    recovered_at: int  # when the first call went well; 0 while none has
    limit: float  # calls a second, as learned from refusals; 0: its last call was not refused


class EndReason(Enum):
    """Why a message that was taken on ended undelivered."""

    DEADLINE = "deadline"
    TABLE_FULL = "table-full"
    ATTEMPTS_USED = "attempts-used"
    MAY_HAVE_RUN = "may-have-run"
    REPEAT_WINDOW = "repeat-window-over"
    UNREADABLE = "unreadable"


class RefusalReason(Enum):
    """Why a message was not taken on."""

    NONE = "none"
    TABLE_FULL = "table-full"
    LATE = "would-end-late"
    NOT_LISTED = "destination-not-listed"
    NO_ROOM = "journal-full"
    STOPPING = "stopping"
