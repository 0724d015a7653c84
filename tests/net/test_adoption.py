"""What a process that ends still owes, while another process of its folder runs."""

import asyncio
import errno
import signal
import time
from itertools import count

import pytest
from rig import Platform, reply, until

from millweir.interface import SECOND
from millweir.net import clock
from millweir.net.concurrent.journal_files import ConcurrentJournals
from millweir.net.journal import Journal
from millweir.net.owed_message import OwedMessage
from net.inside import request, run_with_relay
from net.test_replacement import replacing

OVERDUE_SECONDS = 0.3  # from a message's time to its notification
SLACK_SECONDS = 0.05
MOMENTS = 5  # so many replacements, evenly over half a second


def open_journal(folder):
    return Journal(folder, 500_000, 400_000, print)


def make_message(name, due_at, key=b""):
    return OwedMessage(name, b"again", b"", key, b"", 0, clock.to_wall(due_at), b"hello")


def test_a_message_that_an_ended_process_owed_was_notified_too_late(tmp_path, monkeypatch):
    """Guards rule 1 in a replacement, at whatever moment the old process ends or is killed."""
    platform = Platform(hosts=0)

    async def steps(relay):
        started_at = time.monotonic()
        for moment in range(MOMENTS):
            name = b"m%d" % moment
            old = open_journal(relay.folder)
            ends_at = started_at + (moment + 1) * (0.5 + 0.5 / MOMENTS)
            old.record_accepted(make_message(name, int(ends_at * SECOND)))
            await asyncio.sleep(ends_at - time.monotonic())
            old.close()
            await relay.until(lambda name=name: platform.notified_at.get(name.decode()))
            late = platform.notified_at[name.decode()][0] - ends_at
            assert late < OVERDUE_SECONDS + SLACK_SECONDS, f"{late:.3f} s late, ended at moment {moment}"

    run_with_relay(platform, tmp_path, monkeypatch, steps)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_messages_due_around_the_end_of_the_old_process_were_notified_too_late(number, tmp_path):
    """Guards rule 1 where times run out before, at and behind the end of the old process."""
    platform = Platform(hosts=1)
    platform.decide = lambda call: reply(429, Retry_After="3.0")
    ends_after = 3.3 if number == signal.SIGTERM else 0.4
    with replacing(platform, tmp_path) as replacement:
        due_at, numbers = {}, count()
        for due in (-0.2, -0.05, 0.0, 0.05, 0.1, 0.2, 0.3):
            left = round((ends_after + due) * 1000)
            name = f"m{next(numbers)}"
            assert replacement.hand_in(0, name, left=f"{left}m") == 202
            due_at[name] = time.monotonic() + left / 1000
        if number == signal.SIGKILL:
            time.sleep(ends_after)
        replacement.processes[0].send_signal(number)
        until(lambda: platform.notified_at.keys() >= due_at.keys())
    late = {name: platform.notified_at[name][0] - at for name, at in due_at.items()}
    assert max(late.values()) < OVERDUE_SECONDS + SLACK_SECONDS, late


def test_a_process_wrote_to_its_journal_after_another_one_could_take_it_over(tmp_path):
    """Guards rules 1 and 2 at the end of a process: what was taken over has one owner."""
    old, new = open_journal(tmp_path), open_journal(tmp_path)
    message = make_message(b"m", clock.monotonic_ns() + SECOND)
    old.record_accepted(message)
    old.close()
    assert [adopted.id for adopted in new.adopt_orphans()] == [b"m"]
    with pytest.raises(OSError):
        old.record_trips([message], 0)
    with pytest.raises(OSError):
        old.record_accepted(make_message(b"n", clock.monotonic_ns() + SECOND))
    old.record_ended(message)
    assert not new.adopt_orphans() and [owed.id for owed in new.owed.values()] == [b"m"]


def test_a_take_over_that_a_full_disk_cut_short_lost_messages(tmp_path, monkeypatch):
    """Guards rule 1: what was taken over before the disk was full keeps its number."""
    old, new = open_journal(tmp_path), open_journal(tmp_path)
    due_at = clock.monotonic_ns() + 60 * SECOND
    for number in range(4):
        old.record_accepted(make_message(b"old%d" % number, due_at))
    old.close()
    write, writes = new._write, count()

    def write_two(bodies):
        if next(writes) >= 2:
            raise OSError(errno.ENOSPC, "full")
        write(bodies)

    with monkeypatch.context() as patch:
        patch.setattr(new, "_write", write_two)
        assert len(new.adopt_orphans()) == 2 and new.adoption_failed
    new.record_accepted(make_message(b"new", due_at))
    assert len(new.adopt_orphans()) == 2 and not new.adoption_failed
    expected = {b"new", *(b"old%d" % number for number in range(4))}
    assert {message.id for message in new.owed.values()} == expected
    new.close()
    assert {message.id for message in open_journal(tmp_path).owed.values()} == expected


def test_a_key_was_held_for_good_by_a_message_that_had_been_given_up(tmp_path, monkeypatch):
    """Guards rule 1 where a process ends just after it has given a message up, before that was read."""
    platform = Platform(hosts=1)

    async def steps(relay):
        old = open_journal(relay.folder)
        message = make_message(b"given-up", clock.monotonic_ns() + 60 * SECOND, key=b"k")
        message.profile = b"marked"
        old.record_accepted(message)
        concurrent = relay.server._concurrent
        await relay.until(lambda: concurrent.turns)
        with monkeypatch.context() as patch:
            patch.setattr(ConcurrentJournals, "read", lambda journals: None)
            old.record_given_up(message, retryable=False, wait=0)
            old.close()
            await relay.until(lambda: platform.notified_at.get("given-up"))
        client = relay.client()
        client.send(request("next", "marked", Cookie="about=k"))
        assert await client.statuses(1) == [202]
        await relay.until(lambda: platform.sent("next"))

    run_with_relay(platform, tmp_path, monkeypatch, steps)
