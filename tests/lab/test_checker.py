"""The history checker reports each rule's violations, and none in valid histories."""

import asyncio
import random

import pytest

from millweir.lab.checker import READ_MARGIN_NS, check_rules
from millweir.lab.cluster import Rig
from millweir.lab.destination import Destination, RecoveryTerms
from millweir.lab.history import (
    Answered,
    Called,
    Copied,
    Cordoned,
    Ended,
    Fallen,
    History,
    LinkEnded,
    Listed,
    Noticed,
    Offered,
    Ready,
    Replaced,
    Returned,
    Started,
    Struck,
)
from millweir.lab.standins import SETTINGS, Host

S = 1_000_000_000
TERMS = Rig.build_terms()
CHECKED_AT = 100 * S


def accepted_message(ident="p", at=0, profile="status", key="", relay="r1", status=202):
    return [Offered(at, ident, relay, profile, key, 6 * S), Answered(at + 1, ident, status)]


def call(ident="p", at=S, number=1, host="h", status=200, took=S // 10, wait=0):
    return [
        Called(at, ident, host, number),
        Returned(at + took, ident, number, status, status in (200, 500), wait),
    ]


def violated_rules(*parts):
    rows = sorted(
        (row for part in parts for row in (part if isinstance(part, list) else [part])),
        key=lambda row: row.at,
    )
    return sorted(check_rules(History(rows), TERMS, CHECKED_AT).broken)


VALID = {
    "delivered": (accepted_message(), call()),
    "ended by a notification": (accepted_message(), Noticed(2 * S, "p", "dead")),
    "refused": (accepted_message(status=503),),
    "idempotent twice": (accepted_message(), call(status=500), call(at=2 * S, number=2)),
    "non-idempotent again after it never ran": (
        accepted_message(profile="charge"),
        call(status=429),
        call(at=2 * S, number=2),
    ),
    "idempotent by key again in time": (
        accepted_message(profile="order"),
        call(status=500),
        call(at=3 * S, number=2),
    ),
    "within the grace period": (accepted_message(), Listed(S // 2, "h", "DRAINING"), call()),
    "listed again": (accepted_message(), Listed(0, "h", "DRAINING"), Listed(S // 2, "h", "SERVING"), call()),
    "in order": (
        accepted_message("a", 0, "order", "k"),
        accepted_message("b", 1, "order", "k"),
        call("a"),
        call("b", 2 * S, 2),
    ),
    "requests that were out at once, in the order in which the relay took them": (
        Offered(0, "a", "r1", "order", "k", 6 * S),
        Offered(1, "b", "r1", "order", "k", 6 * S),
        Answered(2, "b", 202),
        Answered(3, "a", 202),
        call("b"),
        call("a", 2 * S, 2),
    ),
    "a retry-after sent to another relay": (
        accepted_message("a"),
        accepted_message("b", relay="r2"),
        call("a", status=429, wait=S),
        call("b", S + S // 2, 2),
        call("a", 3 * S, 3),
    ),
    "after a retry-after": (accepted_message(), call(status=429, wait=S), call(at=3 * S, number=2)),
    "a response to a killed process": (
        accepted_message(),
        Struck(S, "kill", "r1"),
        Ended(S + S // 10, "r1"),
        call(at=S + S // 5, status=503, wait=3 * S),
        Started(S + S // 2, "r1"),
        call(at=2 * S, number=2),
    ),
    "a late response to a call of a killed process": (
        accepted_message(),
        Called(S, "p", "h", 1),
        Struck(S + 1, "kill", "r1"),
        Ended(S + 2, "r1"),
        Started(S + S // 2, "r1"),
        Returned(S + S // 2 + 1, "p", 1, 503, False, 3 * S),
        call(at=2 * S, number=2),
    ),
    "a restart delays the outcome": (
        accepted_message(),
        Struck(S, "kill", "r1"),
        Ready(8 * S, "r1"),
        Noticed(9 * S, "p", "dead"),
    ),
    "over": (accepted_message(), call(status=410)),
    "over, and the answer was lost with its connection": (
        accepted_message(),
        call(status=410),
        LinkEnded(S + S // 10 + READ_MARGIN_NS - 1, 0),
        call(at=2 * S, number=2, status=410),
    ),
    "over, and the process was killed at that moment": (
        accepted_message(),
        Struck(S, "kill", "r1"),
        call(status=410),
        LinkEnded(S + S // 10, 0),
        Ready(2 * S, "r1"),
        call(at=3 * S, number=2, status=410),
    ),
    "delivered again after a copy on the connection": (
        accepted_message(),
        call(),
        Copied(S + S // 10, "h", 0.5),
        call(at=2 * S, number=2),
    ),
    "over, and the process was killed while its folder was full": (
        accepted_message(),
        Struck(S, "full", "r1"),
        call(status=410),
        Struck(2 * S, "kill", "r1"),
        Ended(2 * S, "r1"),
        Struck(3 * S, "full", "r1", True),
        Ready(3 * S, "r1"),
        call(at=4 * S, number=2, status=410),
    ),
    "delivered again after a part of an answer": (
        accepted_message(),
        Called(S, "p", "h", 1),
        Returned(S + 1, "p", 1, 200, True, whole=False),
        call(at=2 * S, number=2),
    ),
    "lost with its machine": (accepted_message(), Struck(S, "lose", "r1"), Ready(8 * S, "r1")),
    "to a host cordoned at another relay, within the grace period, and after the cordon": (
        accepted_message("a"),
        accepted_message("b", relay="r2"),
        accepted_message("c"),
        Cordoned(S - S // 4, "r1", "h"),
        call("a"),
        call("b", 2 * S, 2),
        Cordoned(3 * S, "r1", "h", over=True),
        call("c", 4 * S, 3),
    ),
    "a retry-after to a process as it was replaced": (
        accepted_message(),
        call(status=429, wait=2 * S),
        Replaced(S + S // 10 + READ_MARGIN_NS // 2, "r1"),
        call(at=2 * S, number=2),
    ),
}
INVALID = {
    "no outcome": (1, (accepted_message(),)),
    "ended twice": (1, (accepted_message(), Noticed(S, "p", "dead"), Noticed(2 * S, "p", "dead"))),
    "ended late": (1, (accepted_message(), Noticed(8 * S, "p", "dead"))),
    "over and sent again": (1, (accepted_message(), call(status=410), call(at=2 * S, number=2, status=410))),
    "over and sent again after a copy": (
        1,
        (
            accepted_message(),
            call(status=410),
            Copied(S + S // 10, "h", 0.1),
            call(at=2 * S, number=2, status=410),
        ),
    ),
    "over and sent again as its connection ended later": (
        1,
        (
            accepted_message(),
            call(status=410),
            LinkEnded(S + S // 10 + READ_MARGIN_NS, 0),
            call(at=2 * S, number=2, status=410),
        ),
    ),
    "over and sent again by the process that had a full folder": (
        1,
        (
            accepted_message(),
            Struck(S, "full", "r1"),
            call(status=410),
            Struck(2 * S, "full", "r1", True),
            call(at=4 * S, number=2, status=410),
        ),
    ),
    "over and sent again by the next process, long after the folder was full": (
        1,
        (
            accepted_message(),
            Struck(S, "full", "r1"),
            call(status=410),
            Struck(2 * S, "full", "r1", True),
            Struck(3 * S, "kill", "r1"),
            Ended(3 * S, "r1"),
            Ready(4 * S, "r1"),
            call(at=5 * S, number=2, status=410),
        ),
    ),
    "to a cordoned host": (3, (accepted_message(), Cordoned(S // 4, "r1", "h"), call())),
    "a retry-after to a process that was replaced later": (
        6,
        (
            accepted_message(),
            call(status=429, wait=2 * S),
            Replaced(S + S // 2, "r1"),
            call(at=2 * S, number=2),
        ),
    ),
    "delivered and sent again": (1, (accepted_message(), call(), call(at=2 * S, number=2))),
    "delivered and sent again before the copy": (
        1,
        (accepted_message(), call(), Copied(S + S // 10, "h", 1.5), call(at=2 * S, number=2)),
    ),
    "no outcome after a restart": (1, (accepted_message(), Struck(S, "kill", "r1"), Ready(8 * S, "r1"))),
    "non-idempotent twice": (
        2,
        (accepted_message(profile="charge"), call(status=500), call(at=2 * S, number=2)),
    ),
    "non-idempotent again after silence": (
        2,
        (accepted_message(profile="charge"), Called(S, "p", "h", 1), call(at=2 * S, number=2)),
    ),
    "idempotent by key too late": (
        2,
        (accepted_message(profile="order"), call(status=500), call(at=7 * S, number=2)),
    ),
    "never offered": (2, (call(),)),
    "to a drained host": (3, (accepted_message(), Listed(0, "h", "DRAINING"), call())),
    "overloaded": (4, (Fallen(S, "h", 40),)),
    "out of order": (
        5,
        (
            accepted_message("a", 0, "order", "k"),
            accepted_message("b", 1, "order", "k"),
            call("b"),
            call("a", 2 * S, 2),
        ),
    ),
    "two of one key at once": (
        5,
        (
            Offered(0, "a", "r1", "order", "k", 6 * S),
            Offered(1, "b", "r1", "order", "k", 6 * S),
            Answered(2, "b", 202),
            Answered(3, "a", 202),
            call("b", took=S),
            call("a", S + S // 2, 2),
        ),
    ),
    "before the earlier one returned": (
        5,
        (
            accepted_message("a", 0, "order", "k"),
            accepted_message("b", 1, "order", "k"),
            call("a", took=S),
            call("b", S + S // 2, 2),
        ),
    ),
    "within a retry-after received after the fault was recorded and before the kill": (
        6,
        (
            accepted_message(),
            Struck(S // 2, "kill", "r1"),
            call(status=503, wait=3 * S),
            call(at=2 * S, number=2),
            Ended(3 * S, "r1"),
        ),
    ),
    "within a retry-after received before the new process is ready": (
        6,
        (
            accepted_message(),
            Struck(S, "kill", "r1"),
            Ended(S + 1, "r1"),
            Started(S + S // 2, "r1"),
            call(at=2 * S, status=503, wait=3 * S),
            Ready(2 * S + S // 2, "r1"),
            call(at=3 * S, number=2),
        ),
    ),
    "within a retry-after": (
        6,
        (accepted_message(), call(status=429, wait=S), call(at=S + S // 2, number=2)),
    ),
}


@pytest.mark.parametrize("name", VALID)
def test_valid_history_breaks_no_rule(name):
    assert violated_rules(*VALID[name]) == []


@pytest.mark.parametrize("name", INVALID)
def test_violation_is_reported(name):
    rule, parts = INVALID[name]
    assert rule in violated_rules(*parts)


def test_a_history_is_read_as_it_was_written(tmp_path):
    rows = [row for part in VALID["delivered"] for row in part] + [Struck(5, "kill", "r1", True)]
    History(rows).write(tmp_path / "l")
    assert History.read(tmp_path / "l").rows == rows


def test_a_recovering_host_fails_when_it_is_overloaded():
    """The stand-in of rule 4: a recovering host serves a few calls and fails under many."""

    async def run(calls):
        history = History()
        destination = Destination(20.0, RecoveryTerms.from_settings(SETTINGS["obligations"]), 0)
        host = Host("h0", 0, destination, ("127.0.0.1", 1), history, random.Random(1), [0])
        host.set_hung(True)
        host.set_hung(False)
        for number in range(calls):
            call = asyncio.ensure_future(host.receive_call("", {"x-correlation-id": str(number)}, b""))
            await asyncio.sleep(0)
            call.cancel()
        return list(history.select(Fallen))

    assert not asyncio.run(run(15)) and asyncio.run(run(60))


def test_hosts_that_share_a_limit_recover_as_one():
    destination = Destination(20.0, RecoveryTerms.from_settings(SETTINGS["obligations"]), 0)
    for host in ("h0", "h1"):
        destination.add_host(host)
    destination.begin_outage("h0")
    destination.end_outage("h0", S)
    assert not any(destination.record_call(S + at) for at in range(60))
    for host in ("h0", "h1"):
        destination.begin_outage(host)
    for host in ("h0", "h1"):
        destination.end_outage(host, 2 * S)
    assert any(destination.record_call(2 * S + at) for at in range(60))
