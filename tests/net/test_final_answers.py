"""Messages that went out again after a host's whole answer had ended them (issue 79)."""

import contextlib
import errno
import signal
import time

import pytest
from rig import Platform, Program, reply, until

from millweir.answers.final import FinalAnswer
from millweir.net import journal as journal_module
from millweir.net.journal import Journal
from millweir.net.owed_message import NO_TRIP, OwedMessage

SETTLED_AFTER = 1.2  # seconds in which an unproven answer of these hosts is settled and would be acted on


@contextlib.contextmanager
def playing(tmp_path, decide, **given):
    """A relay process and one host, which has answered a first call on its connection."""
    platform = Platform(hosts=1, **given)
    program = Program(platform, tmp_path)
    platform.decide = decide
    try:
        program.hand_in("first")
        until(lambda: platform.sent("first"))
        time.sleep(0.1)
        yield platform, program
    finally:
        program.end()


@pytest.mark.parametrize("status", [410, 200])
@pytest.mark.parametrize("profile", ["again", "marked"])
def test_a_message_went_out_again_as_its_connection_ended_behind_the_answer(tmp_path, status, profile):
    """Guards against a call after an answer that no silence has confirmed."""

    def decide(call):
        return (reply(status),) if call.id == "b" else reply(200)  # the connection ends behind it

    with playing(tmp_path, decide) as (platform, program):
        program.hand_in("b", profile)
        until(lambda: "answer-unconfirmed id=b" in program.log())
        time.sleep(SETTLED_AFTER)
        assert len(platform.sent("b")) == 1
        assert platform.notification_results("b") == ["dead"]


@pytest.mark.parametrize("status", [410, 200])
def test_a_message_went_out_again_after_a_kill_behind_the_answer(tmp_path, status):
    """Guards against a restart that does not know of an answer which is not confirmed yet."""

    def decide(call):
        return reply(status if call.id == "b" else 200)

    with playing(tmp_path, decide) as (platform, program):
        program.hand_in("b")
        until(lambda: platform.sent("b"))
        time.sleep(0.03)
        program.end(signal.SIGKILL)
        program.start()
        until(lambda: "b" in platform.notified_at)
        time.sleep(SETTLED_AFTER)
        assert len(platform.sent("b")) == 1
        assert platform.notification_results("b") == ["dead"]


@pytest.mark.parametrize("profile", ["again", "marked"])
@pytest.mark.parametrize("status", [410, 200])
def test_a_message_went_out_again_after_an_unasked_answer(tmp_path, status, profile):
    """Guards against a call after a final answer, whatever speaks against it."""

    def decide(call):
        return [reply(status), 0.05, reply(503)] if call.id == "b" else reply(200)

    with playing(tmp_path, decide) as (platform, program):
        program.hand_in("b", profile)
        until(lambda: "b" in platform.notified_at)
        time.sleep(SETTLED_AFTER)
        assert len(platform.sent("b")) == 1
        assert platform.notification_results("b") == ["dead"]


@pytest.mark.parametrize("taken_over", ["as it is", "compacted", "adopted"])
def test_the_journal_forgot_an_answer_that_was_not_confirmed(tmp_path, taken_over):
    """Guards the record over a restart, a file that is written anew, and a process that takes it over."""
    successor = Journal(tmp_path, 20_000, 15_000, print) if taken_over == "adopted" else None
    journal = Journal(tmp_path, 20_000, 15_000, print)
    messages = [OwedMessage(name, b"again", b"", b"", b"", 0, 9, b"body") for name in (b"a", b"b", b"c")]
    for message in messages:
        journal.record_accepted(message)
    journal.record_final_answer(messages[0], FinalAnswer.OVER)
    journal.record_final_answer(messages[1], FinalAnswer.DELIVERED)
    if taken_over == "compacted":
        journal._compact()
    journal.close()
    if successor:
        successor.adopt_orphans()
        successor.close()
    journal = Journal(tmp_path, 20_000, 15_000, print)
    found = [owed.final_answer for owed in journal.owed.values()]
    assert found == [FinalAnswer.OVER, FinalAnswer.DELIVERED, None]
    assert {owed.ended_by_trip for owed in journal.owed.values()} == {NO_TRIP}
    journal.close()


@pytest.mark.parametrize("compacted", [False, True])
def test_the_journal_lost_what_ended_a_message_while_its_disk_was_full(tmp_path, monkeypatch, compacted):
    """Guards the records that the disk did not take: they come before any later one (issue 79)."""
    journal = Journal(tmp_path, 20_000, 15_000, print)
    messages = [
        OwedMessage(name, b"again", b"", b"", b"", 0, 9, b"body") for name in (b"a", b"b", b"c", b"d")
    ]
    for message in messages[:3]:
        journal.record_accepted(message)
        journal.record_trips([message], 5)
    monkeypatch.setattr(journal_module.os, "write", refuse_to_write)
    journal.record_final_answer(messages[0], FinalAnswer.DELIVERED)
    journal.record_ended(messages[1])
    journal.record_may_have_run(messages[2], 0)
    journal.write_late_records()
    with pytest.raises(OSError):
        journal.record_accepted(messages[3])  # nothing is taken on meanwhile
    with pytest.raises(OSError):
        journal.record_trips([messages[2]], 6)
    monkeypatch.undo()
    if compacted:
        journal._compact()
    journal.write_late_records()
    journal.close()
    journal = Journal(tmp_path, 20_000, 15_000, print)
    found = [(owed.id, owed.final_answer, len(owed.trips)) for owed in journal.owed.values()]
    assert found == [(b"a", FinalAnswer.DELIVERED, 1), (b"c", None, 2)] and not journal.torn_bytes
    journal.close()


def refuse_to_write(descriptor, raw):
    raise OSError(errno.ENOSPC, "No space left on device")
