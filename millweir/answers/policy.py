"""Decides how far an answer may be believed, and what is done about one that may belong to another request.

Theory of operation.  An HTTP/1.1 response names no request: what relates them is their order on a connection.
A peer, or a device on the path, that writes an answer twice shifts this order: the copy passes for the answer
to the next request, and each later answer is one request late (response desynchronisation; RFC 9112, 9.2:
data on a connection without an outstanding request is no response to a later one).  So an answer is

  proven    the first one on its connection; or one to a call that was written so long after a proven answer
            that a copy of that would have come; or one that names the messages of its call, of which one at
            least was never sent before.  Answers come in order, so a proven answer proves all earlier ones;
  unproven  any other one, until its connection has been silent for as long as the host might still take to
            write the true answer (`compute_silence_end`), and some time has passed in any case;
  refuted   it came before the request was written whole, it does not name the messages of its call, or more
            bytes came after it, unasked.  All unproven answers of the connection are in doubt then, and those
            that only a silence confirmed are taken back, as far as that is still possible.

How long a silence has to be is a guess, as nobody knows how long a host may take.  So it is the last resort:

  - A copy comes right behind its answer.  Each connection rests after an answer (`compute_rest`) before the
    next call is written, so that the copy is seen without a request.  This holds at hosts of any pace.
  - Copies that come later still can pass for the next answer.  A call whose refusal has to be believed gets a
    connection whose next answer is proven, if there is one; else a silence has to tell.

What is concluded from an answer to a message, by the effect of a repeat:

  delivered or over   not sent again, whatever comes (see `final.py`).  Unproven: owed until it is confirmed.
                      Else it is ended by a notification, which does no harm if the answer was true.
  refused             unproven: a non-idempotent message waits for the confirmation, others are sent again at
                      once, as after a call that may have run.  In doubt: may have run.
  failed              may have run.  Unproven: where no second copy may be out, the message waits until its
                      call has ended for sure, as its answer is confirmed or its connection closed.
  retry-after         binds at once, also where it came unasked.
  anything else       may have run, as always.

The next message of a key in order waits for the confirmation: the call of the earlier one may still run.

The platform.  A connection carries one request with notifications.  Host lists carry versions, which tell
most copies (`judge_host_list`); then a new connection is opened, whose first answer is proven.

A host that refutes an answer is distrusted: no connection to it carries a second call, so that all answers
are proven, until none of the connections observed meanwhile has brought a byte that was not asked for.
"""

from __future__ import annotations

from enum import Enum

from millweir.interface import MILLISECOND, SECOND, Effect

MIN_REST_NS = 25 * MILLISECOND  # of a connection, between an answer and the next call
REST_FRACTION = 1 / 16  # of the host's mean answer time: where that is long, a longer rest costs little
LATEST_COPY_NS = 5 * SECOND // 4  # behind its answer, as far as a copy is told by a rest alone
MIN_SILENCE_NS = 10 * MILLISECOND  # after an answer
# An answer may take as long as the mean and so many mean deviations; both are moving averages (RFC 6298, 2).
ANSWER_TIME_DEVIATIONS = 6
MEAN_WEIGHT = 1 / 8  # of the last answer in the mean
DEVIATION_WEIGHT = 1 / 4
UNKNOWN_ANSWER_TIME_NS = SECOND // 4  # of a host that has not served a call yet
MAX_WAITED_FOR_SILENCE_NS = SECOND  # what it confirms can be taken back until the message has gone again
# An answer is not confirmed before so long after its call: some answers take far longer than the others.
MIN_WAITED_FOR_AGE_NS = SECOND // 4
MIN_UNHURRIED_AGE_NS = SECOND // 2  # nothing waits for it
# Connections that are in constant use rest after this time, until they have been silent ...
MAX_UNPROVEN_AGE_NS = SECOND
UNPROVEN_AGE_SILENCES = 2  # ... or after so many silences of the host, if that is longer
# The same where a message waits for its confirmation.  Until then other connections are preferred.
MAX_WAITED_FOR_AGE_NS = SECOND // 2
MIN_WAITED_FRACTION = 0.5  # of the wait that discovery was asked for, before it answers without news
# Past its deadline, a delivered message whose answer is not confirmed yet is ended by a notification.
MAX_CONFIRMATION_DELAY_NS = 150 * MILLISECOND
DISTRUST_NS = 60 * SECOND  # since the last byte that was not asked for
OBSERVATION_NS = LATEST_COPY_NS  # for which a connection of a distrusted host is kept open, to see such bytes
MAX_RETRACTABLE_BYTES = 1 << 20  # of the messages whose answers a silence confirmed, to be taken back


class Belief(Enum):
    """How far an answer may be believed."""

    PROVEN = "proven"
    UNPROVEN = "unproven"
    REFUTED = "refuted"


class Naming(Enum):
    """Whether an answer names the messages of its call."""

    NONE = "none"  # it names nothing, as all answers to calls of one message
    REPEATED = "repeated"  # these alone, all of which were sent before: it may answer an earlier call
    EXACT = "exact"  # these alone, one of them sent for the first time
    OTHER = "other"  # it lacks some of them, or names others


def compute_rest(mean_answer_time: float) -> int:
    """Return how long a connection carries no call after an answer, by what the host takes on average."""
    return min(max(MIN_REST_NS, int(mean_answer_time * REST_FRACTION)), LATEST_COPY_NS)


def is_next_answer_proven(call_number: int, in_step: bool, rest: int) -> bool:
    """Whether the answer to a call written now is proven, whatever comes.

    `call_number`: of the call on its connection, from 1.  `in_step`: the last answer was proven.  `rest`: the
    time since it came.
    """
    return call_number == 1 or (in_step and rest >= LATEST_COPY_NS)


def judge_answer(expected_proven: bool, followed: bool, naming: Naming) -> Belief:
    """Judge a complete answer.

    `expected_proven`: by `is_next_answer_proven`.  `followed`: more bytes came together with it.
    """
    if naming is Naming.EXACT or expected_proven:
        return Belief.PROVEN
    return Belief.REFUTED if followed or naming is Naming.OTHER else Belief.UNPROVEN


def judge_early_answer(call_number: int, never_ran: bool) -> Belief:
    """Judge an answer that came before the request was written whole: the call has not run.

    A host may refuse a connection, or a request by its head, without reading the rest.
    """
    return Belief.PROVEN if call_number == 1 and never_ran else Belief.REFUTED


def judge_host_list(
    call_number: int, asked_since: int, version: int, waited: int, server_wait: int
) -> Belief:
    """Judge discovery's answer to a request for what is newer than a version, after so long a wait.

    An older version, or no news long before the wait is over, is the answer to an earlier request.
    """
    if call_number == 1:
        return Belief.PROVEN
    is_early = version == asked_since and waited < server_wait * MIN_WAITED_FRACTION
    return Belief.REFUTED if version < asked_since or is_early else Belief.UNPROVEN


def is_delivery_certain(call_number: int, status: int) -> bool:
    """Whether a status line proves the delivery of a single message, even if no more of the answer comes."""
    return call_number == 1 and status == 200


def compute_answer_time(mean: float, deviation: float) -> int:
    """Return how long a host may take to answer; the averages are 0 if it has not served a call yet."""
    return int(mean + ANSWER_TIME_DEVIATIONS * deviation) or UNKNOWN_ANSWER_TIME_NS


def compute_silence_end(
    now: int, written_at: int, answer_time: int, given_up_at: int, is_waited_for: bool
) -> int:
    """Return until when a connection must be silent after an answer to a call written at that time.

    `given_up_at`: when the call would have been given up without an answer.  `is_waited_for`: its message, or
    the next one of its key, waits for that.
    """
    if is_waited_for:
        answer_time = min(answer_time, MAX_WAITED_FOR_SILENCE_NS)
    return max(now + MIN_SILENCE_NS, min(written_at + answer_time, given_up_at))


def compute_max_unproven_age(answer_time: int) -> int:
    """Return for how long a connection to a host may carry calls before it has been silent."""
    return max(MAX_UNPROVEN_AGE_NS, UNPROVEN_AGE_SILENCES * answer_time)


def compute_confirmation_time(written_at: int, silence_end: int, is_waited_for: bool) -> int:
    """Return when an answer is confirmed at the earliest, after a silence and with no byte out of step.

    `is_waited_for`: its message, or the next one of its key, waits for that; else it costs nothing.
    """
    min_age = MIN_WAITED_FOR_AGE_NS if is_waited_for else MIN_UNHURRIED_AGE_NS
    return max(silence_end, written_at + min_age)


def waits_for_proof(effect: Effect, allows_second_copies: bool) -> bool:
    """Whether a message whose refusal is unproven waits before it is sent again.

    Its call may still run: a non-idempotent message could take effect twice, and others be out twice at once.
    """
    return effect is Effect.NON_IDEMPOTENT or not allows_second_copies
