"""The unproven answers of one connection, until they are confirmed or in doubt; no I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from millweir.answers.policy import MAX_CONFIRMATION_DELAY_NS, MAX_WAITED_FOR_AGE_NS

Answer = TypeVar("Answer")
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """When an unproven answer is settled; times in nanoseconds.

    `confirm_at`: not confirmed before, also after a silence.  `deadline`: of its message, if it was
    delivered; else NEVER.
    """

    answered_at: int
    confirm_at: int
    deadline: int

    @property
    def settle_by(self) -> int:
        """When it is settled at the latest; read after the deadline, it is late whatever comes."""
        if self.deadline > self.answered_at:
            return self.deadline + MAX_CONFIRMATION_DELAY_NS
        return self.confirm_at


class UnprovenAnswers(Generic[Answer]):
    """What was answered on a connection since its last proven answer.

    An answer is confirmed if the connection was silent for a while after it or a later answer, as an answer
    that is still due comes then, and no byte was out of step until its time, or the end of the connection.
    Invariant: an answer is taken out once, by one of the methods `take_...`.
    """

    __slots__ = ("_after_silence", "_before_silence", "_silent_at", "_waited_for")

    def __init__(self) -> None:
        self._before_silence: list[tuple[Answer, AnswerTimes]] = []
        self._after_silence: list[tuple[Answer, AnswerTimes]] = []
        self._silent_at = 0  # when the connection has been silent for long enough, if no byte comes
        self._waited_for = False

    def __len__(self) -> int:
        return len(self._before_silence) + len(self._after_silence)

    def add(self, answer: Answer, times: AnswerTimes, silent_at: int, waited_for: bool) -> None:
        """Add an answer.

        `silent_at`: when a silence after it is long enough.  `waited_for`: its message waits for its proof.
        """
        self._before_silence.append((answer, times))
        self._silent_at = max(self._silent_at, silent_at)
        self._waited_for |= waited_for

    @property
    def waited_for(self) -> bool:
        """Whether a message waits until these answers are settled: further calls had better not go."""
        return self._waited_for

    def may_carry_call(self, now: int, max_age: int) -> bool:
        """Whether another call may go out on the connection now.

        `max_age`: of the oldest answer that no silence has followed, unless a message waits for it.
        """
        if self._waited_for:
            max_age = MAX_WAITED_FOR_AGE_NS
        return not self._before_silence or now - self._before_silence[0][1].answered_at < max_age

    @property
    def next_check_at(self) -> int:
        """When an answer is to be settled at the earliest; NEVER without any."""
        after = (min(times.confirm_at, times.settle_by) for _, times in self._after_silence)
        before = (min(self._silent_at, times.settle_by) for _, times in self._before_silence)
        return min((*after, *before), default=NEVER)

    def record_silence(self, now: int) -> None:
        """Note that the connection is silent, which counts once it has lasted."""
        if now >= self._silent_at:
            self._after_silence += self._before_silence
            self._before_silence = []

    @property
    def await_silence(self) -> bool:
        """Whether some of them have not seen a silence of the connection."""
        return bool(self._before_silence)

    def take_confirmed(self, now: int) -> list[Answer]:
        """Take out the answers whose time has come after a silence."""
        rows = self._after_silence
        self._after_silence = [row for row in rows if min(row[1].confirm_at, row[1].settle_by) > now]
        self._update_waited_for()
        return [answer for answer, times in rows if min(times.confirm_at, times.settle_by) <= now]

    def take_expired(self, now: int) -> list[Answer]:
        """Take out the answers that can't wait any longer for a silence."""
        rows = self._before_silence
        self._before_silence = [row for row in rows if row[1].settle_by > now]
        self._update_waited_for()
        return [answer for answer, times in rows if times.settle_by <= now]

    def take_after_silence(self) -> list[Answer]:
        """Take out the answers that a silence has followed: the connection has ended."""
        answers = [answer for answer, _ in self._after_silence]
        self._after_silence = []
        return answers

    def take_all(self) -> list[Answer]:
        """Take out all answers: a later one was proven, or they are in doubt."""
        answers = [answer for answer, _ in self._after_silence + self._before_silence]
        self._after_silence = []
        self._before_silence = []
        self._waited_for = False
        return answers

    def _update_waited_for(self) -> None:
        self._waited_for &= len(self) > 0
