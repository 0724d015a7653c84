"""Answers that come twice from hosts that take longer than the silence after them (issue 71)."""

import threading
import time
from types import SimpleNamespace

import pytest
from rig import Platform, Program, reply, until

from millweir.answers.final import Settlement
from millweir.answers.policy import LATEST_COPY_NS, MIN_REST_NS, compute_silence_end
from millweir.answers.trust import HostTrust
from millweir.interface import MILLISECOND, SECOND
from millweir.net.address_owners import Endpoint
from millweir.net.connection_pool import ConnectionPool
from millweir.net.journal import Journal
from millweir.net.owed_message import OwedMessage
from net.test_answers import DELIVERED, NON_IDEMPOTENT, REFUSED, Scene, run_scene

COPY_AFTER = 0.015  # seconds from an answer to its copy


def test_a_message_that_ran_was_sent_again_after_a_copied_refusal(tmp_path):
    """On a real process: the copy of the refusal of "b" passed for that of "c", which ran for 1.5 s."""
    platform = Platform(hosts=1)
    program = Program(platform, tmp_path)

    def decide(call):
        if call.id == "b" and len(platform.sent("b")) == 1:
            threading.Timer(0.003, program.hand_in, ("c", "once")).start()
            return [reply(503), COPY_AFTER, reply(503)]
        return [1.5, reply(200)] if call.id == "c" else reply(200)

    platform.decide = decide
    try:
        for ident in "ab":
            program.hand_in(ident, "once")
            until(lambda ident=ident: platform.sent(ident))
        until(lambda: platform.sent("c"))
        time.sleep(3)
        assert len(platform.sent("c")) == 1 and "c" not in platform.notified_at
    finally:
        program.end()


def test_a_delivery_that_a_later_answer_disproved_had_no_end(tmp_path):
    """On a real process: a 200 for "b" is confirmed by a silence, then the true answer comes: it failed."""
    platform = Platform(hosts=1)
    program = Program(platform, tmp_path)
    platform.decide = lambda call: [reply(200), 1.1, reply(500)] if call.id == "b" else reply(200)
    try:
        for ident in "ab":
            program.hand_in(ident, "once")
            until(lambda ident=ident: platform.sent(ident))
        until(lambda: "b" in platform.notified_at)
        assert platform.notification_results("b") == ["dead"] and len(platform.sent("b")) == 1
        assert "answer-retracted id=b" in program.log()
    finally:
        program.end()


def test_a_confirmed_refusal_that_a_later_answer_disproved_was_settled_for_good(tmp_path):
    async def steps(scene):
        await scene.call("a", answer=DELIVERED)
        request = await scene.call("b", answer=REFUSED, profile=NON_IDEMPOTENT)
        await scene.until(lambda: scene.settled.get("b") == [Settlement.CONFIRMED])
        request.write(DELIVERED)  # the true answer
        await scene.until(lambda: len(scene.settled["b"]) == 2)
        assert scene.settled["b"][1] is Settlement.RETRACTED

    run_scene(Scene(tmp_path), steps)


def test_a_silence_was_shorter_than_a_slow_host_takes():
    trust = HostTrust()
    for _ in range(20):
        trust.record_served(3 * SECOND)
    assert compute_silence_end(20 * MILLISECOND, 0, trust.answer_time, 16 * SECOND, False) >= 3 * SECOND
    assert (
        compute_silence_end(20 * MILLISECOND, 0, trust.answer_time, SECOND, False) == SECOND
    )  # its time-out
    assert compute_silence_end(20 * MILLISECOND, 0, trust.answer_time, 16 * SECOND, True) == SECOND


def make_connection(idle_for, in_step):
    unproven = SimpleNamespace(waited_for=False, may_carry_call=lambda now, max_age: True)
    return SimpleNamespace(
        idle_since=SECOND * 100 - idle_for, in_step=in_step, request_count=1, unproven=unproven
    )


@pytest.mark.parametrize(
    "needs_proof, idle, chosen",
    [
        (False, [(MIN_REST_NS, True), (LATEST_COPY_NS, True)], 0),
        (False, [(1, True), (MIN_REST_NS - 1, True)], 1),  # the call waits for the end of its rest
        (True, [(MIN_REST_NS, True), (LATEST_COPY_NS, True), (2 * LATEST_COPY_NS, True)], 1),
        (True, [(1, True), (MIN_REST_NS, True), (LATEST_COPY_NS - 1, True)], 1),
        (True, [(LATEST_COPY_NS, False), (2 * LATEST_COPY_NS, True)], 1),  # the first one is out of step
        (True, [], None),
    ],
)
def test_a_refusal_that_had_to_be_believed_came_on_a_connection_that_proves_nothing(
    needs_proof, idle, chosen
):
    pool = ConnectionPool(Endpoint("h", ("127.0.0.1", 9), 0))
    connections = [make_connection(idle_for, in_step) for idle_for, in_step in idle]
    pool.idle = connections[::-1]  # most recently used last
    found = pool.choose(SECOND * 100, 0, needs_proof)
    assert found is (None if chosen is None else connections[chosen])


def test_a_trip_that_was_held_to_never_have_run_may_have_after_a_restart(tmp_path):
    journal = Journal(tmp_path, 20_000, 15_000, print)
    message = OwedMessage(b"a", b"once", b"", b"", b"", 0, 9 * SECOND, b"body")
    journal.record_accepted(message)
    journal.record_trips([message], 5)
    journal.record_never_ran(message, 0)
    journal.record_may_have_run(message, 0)
    journal.close()
    journal = Journal(tmp_path, 20_000, 15_000, print)
    assert [never_ran for owed in journal.owed.values() for _, never_ran in owed.trips] == [1, 0]
    journal.close()
