"""The answers of one connection in a model: copies are drawn, and what is confirmed must be true.

Mutants that fail here: an answer confirmed without a silence, or before its time; `take_confirmed` that keeps
what it returns; the silence of an earlier answer counted for a later one.
"""

import random

import pytest

from millweir.answers.connection import NEVER, AnswerTimes, UnprovenAnswers
from millweir.answers.policy import (
    DISTRUST_NS,
    LATEST_COPY_NS,
    MAX_CONFIRMATION_DELAY_NS,
    MAX_UNPROVEN_AGE_NS,
    MAX_WAITED_FOR_AGE_NS,
    MIN_REST_NS,
    MIN_UNHURRIED_AGE_NS,
    Belief,
    Naming,
    compute_confirmation_time,
    compute_rest,
    compute_silence_end,
    is_next_answer_proven,
    judge_answer,
    judge_early_answer,
    judge_host_list,
    waits_for_proof,
)
from millweir.answers.trust import HostTrust
from millweir.interface import MILLISECOND, SECOND, Effect

MS = MILLISECOND
SHORTEST, LONGEST = 10 * MS, 100 * MS  # time that the host of the model takes to answer


@pytest.mark.parametrize(
    "call_number, in_step, rest, followed, naming, belief",
    [
        (1, True, 0, False, Naming.NONE, Belief.PROVEN),
        (1, True, 0, True, Naming.NONE, Belief.PROVEN),
        (1, True, 0, False, Naming.OTHER, Belief.PROVEN),
        (2, True, 0, False, Naming.NONE, Belief.UNPROVEN),
        (2, True, 0, False, Naming.REPEATED, Belief.UNPROVEN),
        (2, True, 0, False, Naming.EXACT, Belief.PROVEN),
        (2, True, 0, True, Naming.NONE, Belief.REFUTED),
        (2, True, 0, False, Naming.OTHER, Belief.REFUTED),
        (2, True, LATEST_COPY_NS - 1, False, Naming.NONE, Belief.UNPROVEN),
        (2, True, LATEST_COPY_NS, False, Naming.NONE, Belief.PROVEN),
        (3, False, LATEST_COPY_NS, False, Naming.NONE, Belief.UNPROVEN),  # the last answer was unproven
    ],
)
def test_how_far_an_answer_is_believed(call_number, in_step, rest, followed, naming, belief):
    expected_proven = is_next_answer_proven(call_number, in_step, rest)
    assert judge_answer(expected_proven, followed, naming) is belief


def test_a_connection_rests_for_longer_at_slower_hosts():
    assert compute_rest(0) == compute_rest(SHORTEST) == MIN_REST_NS
    assert MIN_REST_NS < compute_rest(SECOND) < SECOND < compute_rest(60 * SECOND) == LATEST_COPY_NS


def test_an_early_answer_is_refuted_unless_a_host_refuses_its_first_call():
    assert judge_early_answer(1, never_ran=True) is Belief.PROVEN
    assert judge_early_answer(1, never_ran=False) is judge_early_answer(2, never_ran=True) is Belief.REFUTED


@pytest.mark.parametrize(
    "call_number, version, waited, belief",
    [
        (1, 3, 0, Belief.PROVEN),  # discovery began to count anew
        (2, 6, 2 * SECOND, Belief.REFUTED),  # older than asked for
        (2, 7, SECOND // 2, Belief.REFUTED),  # no news, long before the wait is over
        (2, 7, 2 * SECOND, Belief.UNPROVEN),
        (2, 8, 0, Belief.UNPROVEN),
    ],
)
def test_how_far_a_host_list_is_believed(call_number, version, waited, belief):
    assert judge_host_list(call_number, 7, version, waited, 2 * SECOND) is belief


def test_what_waits_for_the_proof_of_a_refusal():
    assert [waits_for_proof(effect, True) for effect in Effect] == [False, False, True]
    assert all(waits_for_proof(effect, False) for effect in Effect)


def play_connection(rng):
    """Use a connection of a host that writes one copy at most; returns (true, believed) of what is confirmed.

    Each step is a call, or a pause.  A copy that comes before the true answer passes for it.
    """
    unproven, trust, now, confirmed = UnprovenAnswers(), HostTrust(), 0, []
    arrivals = []  # bytes to come: time and number of the call that they answer
    copied = False
    trust.record_served(LONGEST)  # what the host is known to take

    def settle(until):
        while (at := unproven.next_check_at) < until:
            unproven.record_silence(at)
            confirmed.extend(unproven.take_confirmed(at))
            assert not unproven.take_expired(at)

    for number in range(1, rng.randrange(3, 13)):
        written_at = now
        arrivals.append((written_at + rng.randint(SHORTEST, LONGEST), number))
        arrivals.sort()
        now, answered = arrivals.pop(0)
        settle(now)
        silence_end = compute_silence_end(now, written_at, trust.answer_time, NEVER, False)
        at = compute_confirmation_time(written_at, silence_end, is_waited_for=False)
        unproven.add((number, answered), AnswerTimes(now, at, NEVER), silence_end, False)
        if not copied and rng.random() < 0.5:
            copied = True
            arrivals.append((now + rng.randrange(1, 60) * MS, answered))
            arrivals.sort()
        pause = rng.choice((1 * MS, 20 * MS, 200 * MS, 700 * MS))
        if not unproven.may_carry_call(now + pause, MAX_UNPROVEN_AGE_NS):
            pause += MAX_UNPROVEN_AGE_NS
        if arrivals and arrivals[0][0] <= now + pause:  # unasked: the rest is in doubt
            settle(arrivals[0][0])
            return confirmed, len(unproven.take_all())
        now += pause
        settle(now)
    settle(arrivals[0][0] if arrivals else now + 2 * SECOND)
    return confirmed, len(unproven.take_all())


def test_only_true_answers_are_confirmed_in_a_thousand_connections():
    doubted = 0
    for seed in range(1000):
        confirmed, left = play_connection(random.Random(seed))
        assert all(call == answered for call, answered in confirmed), seed
        doubted += left
    assert doubted > 500


def test_an_answer_is_settled_once_and_in_time():
    for seed in range(300):
        rng = random.Random(seed)
        unproven, now, settled, latest = UnprovenAnswers(), 0, [], {}
        for number in range(rng.randrange(1, 30)):
            now += rng.randrange(1, 300) * MS
            deadline = rng.choice((NEVER, now + rng.randrange(-50, 400) * MS))
            silence_end = now + rng.randrange(1, 200) * MS
            confirm_at = compute_confirmation_time(now, silence_end, is_waited_for=False)
            unproven.add(number, AnswerTimes(now, confirm_at, deadline), silence_end, rng.random() < 0.2)
            latest[number] = (
                deadline + MAX_CONFIRMATION_DELAY_NS if deadline > now else max(confirm_at, silence_end)
            )
            at = unproven.next_check_at
            if at < now + 100 * MS:
                now = max(now, at)
                unproven.record_silence(now)
                settled += unproven.take_confirmed(now) + unproven.take_expired(now)
        settled += unproven.take_all()
        assert sorted(settled) == sorted(latest) and not len(unproven)
        assert unproven.next_check_at == NEVER and unproven.may_carry_call(now, 0)


def test_a_connection_in_constant_use_rests_until_it_has_been_silent():
    unproven = UnprovenAnswers()
    unproven.add("a", AnswerTimes(0, MIN_UNHURRIED_AGE_NS, NEVER), 100 * MS, False)
    max_age = MAX_UNPROVEN_AGE_NS
    assert unproven.may_carry_call(max_age - 1, max_age) and not unproven.may_carry_call(max_age, max_age)
    unproven.add("b", AnswerTimes(0, MIN_UNHURRIED_AGE_NS, NEVER), 100 * MS, True)
    assert unproven.waited_for and not unproven.may_carry_call(MAX_WAITED_FOR_AGE_NS, max_age)
    unproven.record_silence(100 * MS)
    assert not unproven.await_silence and unproven.may_carry_call(max_age, max_age)


def test_a_host_is_distrusted_from_the_last_refuted_answer_on():
    trust = HostTrust()
    assert trust.is_trusted(0) and trust.distrust(0) and not trust.distrust(DISTRUST_NS - 1)
    assert not trust.is_trusted(2 * DISTRUST_NS - 2) and trust.is_trusted(2 * DISTRUST_NS - 1)
