"""An id that comes again at another process of the folder: the next one, or the other one of an upgrade."""

import signal

import pytest
from rig import Platform, Program, free_port, reply, until

from millweir.net import clock
from millweir.net.concurrent.journal_files import ConcurrentJournals
from millweir.net.ended import EndedIds
from millweir.net.journal import Journal
from millweir.net.owed_message import OwedMessage

FILE_BYTES, LIVE_BYTES = 20_000, 15_000


def message(ident, seconds=60):
    deadline = clock.to_wall(clock.monotonic_ns()) + seconds * 10**9
    return OwedMessage(ident, b"again", b"", b"", b"", 0, deadline, b"body")


def open_journal(folder):
    return Journal(folder, FILE_BYTES, LIVE_BYTES, print, EndedIds(100))


def test_an_id_that_ended_before_a_kill_ran_again_after_it(tmp_path):
    platform = Platform(hosts=1)
    relay = Program(platform, tmp_path)
    assert relay.hand_in("a") == 202
    until(lambda: b"packets_fulfilled 1\n" in relay.ask("GET", "/counters/all")[1])
    relay.end()
    relay.start()
    assert relay.hand_in("a") == 202
    assert relay.hand_in("b") == 202
    until(lambda: platform.sent("b"))
    relay.end()
    assert len(platform.sent("a")) == 1


def test_an_id_ran_again_at_the_other_process_of_an_upgrade(tmp_path):
    """At the new process while the old one owes it, and at the old one once the new one has ended it."""
    platform = Platform(hosts=1)
    platform.decide = lambda call: None if call.id == "old" else reply(200)
    relay = Program(platform, tmp_path)
    assert relay.hand_in("old", "once") == 202
    until(lambda: platform.sent("old"))
    old = relay.process
    try:
        old_port, relay.port = relay.port, free_port()  # to reach each process for sure; both use the folder
        relay.start()
        assert relay.hand_in("old", "once") == relay.hand_in("new", "once") == 202
        until(lambda: platform.sent("new"))
        relay.port = old_port
        assert relay.hand_in("new", "once") == relay.hand_in("last", "once") == 202
        until(lambda: platform.sent("last"))
    finally:
        old.send_signal(signal.SIGKILL)
        old.wait(5)
        relay.end()
    assert len(platform.sent("old")) == len(platform.sent("new")) == 1


@pytest.mark.parametrize("adopted", [False, True])
def test_ids_outlast_a_compacted_or_adopted_file(tmp_path, adopted):
    journal, other = open_journal(tmp_path), open_journal(tmp_path)
    source = other if adopted else journal
    for ident in (b"ended", b"expired", b"withdrawn"):
        owed = message(ident, seconds=-1 if ident == b"expired" else 60)
        source.record_accepted(owed)
        source.record_withdrawn(owed) if ident == b"withdrawn" else source.record_ended(owed)
    other.close()
    journal.adopt_orphans()
    if not adopted:
        journal._compact()
    journal.close()
    after = open_journal(tmp_path)
    assert b"ended" in after.ended_ids
    assert b"expired" not in after.ended_ids and b"withdrawn" not in after.ended_ids
    assert not after.owed and not after.torn_bytes


def test_ids_of_another_process_are_found_through_all_changes_of_its_file(tmp_path):
    journal = open_journal(tmp_path)
    ids = ConcurrentJournals(tmp_path, journal.list_other_file_names())
    assert b"a" not in ids
    other = open_journal(tmp_path)
    numbers = [message(b"m%d" % n) for n in range(60)]
    for n, owed in enumerate(numbers):
        other.record_accepted(owed)
        assert owed.id in ids and b"unknown" not in ids
        if n % 2:
            other.record_ended(owed)
        if n % 20 == 19:
            other._compact()
    assert all(owed.id in ids for owed in numbers)
    withdrawn = message(b"withdrawn")
    other.record_accepted(withdrawn)
    assert withdrawn.id in ids
    other.record_withdrawn(withdrawn)
    assert withdrawn.id not in ids
    other.close()
    journal.adopt_orphans()
    assert numbers[1].id in journal.ended_ids and numbers[0].id not in ids
