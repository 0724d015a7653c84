"""Types in which the decisions report: host states, and why a message was refused or ended undelivered."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HostState(Enum):
    """How the relay treats a host."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"  # one call failed; one more may follow at once, then only spaced trial calls
    EJECTED = "ejected"  # spaced trial calls only, one at a time
    SLOW_START = "slow-start"  # a trial call succeeded: the rate grows with time


@dataclass(frozen=True, slots=True)
class HostTransition:
    """One change of a host's state."""

    host: bytes
    state: HostState
    cause: str
    slow_start_rate: float  # calls per second that the host may be sent from now on


@dataclass(frozen=True, slots=True)
class HostView:
    """What the relay knows of a host, for the log line of each call that failed there."""

    state: HostState
    last_success_at: int  # when a call to it last succeeded; 0: never since this process started
    limit: float  # calls per second that the host accepts, as learned
    next_call_at: int  # when its state next allows a call; a time that has passed: nothing limits it here


@dataclass(frozen=True, slots=True)
class RecoveringHost:
    """A host in slow start, or whose last call failed, in the form that outlasts the process."""

    host: bytes
    last_failure_at: int  # when a call to it last failed or was refused
    slow_start_rate: float  # calls per second at the start of its slow start; 0: not in slow start
    recovered_at: int  # when the first call succeeded; 0 while none has
    limit: float  # calls per second, as learned from refusals; 0: its last call was not refused


class EndReason(Enum):
    """Why an accepted message ended undelivered."""

    DEADLINE = "deadline"  # its time was up
    TABLE_FULL = "table-full"  # it made room for another message
    ATTEMPTS_USED = "attempts-used"
    MAY_HAVE_RUN = "may-have-run"  # an attempt may have taken effect, and it may not be sent again
    REPEAT_WINDOW = "repeat-window-over"  # hosts no longer remember its idempotency key
    UNREADABLE = "unreadable"  # the host could not parse it
    ANSWER_UNCONFIRMED = "answer-unconfirmed"  # a host's answer ended it, and was not confirmed


class RefusalReason(Enum):
    """Why a message was not accepted."""

    NONE = "none"
    TABLE_FULL = "table-full"
    LATE = "would-end-late"  # its final outcome could come after its deadline
    NOT_LISTED = "destination-not-listed"
    NO_ROOM = "journal-full"
    IDS_FULL = "ids-full"  # as many ids are kept as memory holds, and none may be forgotten yet
    MEMORY_FULL = "memory-full"
    STOPPING = "stopping"  # the process is shutting down
