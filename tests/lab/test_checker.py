"""The checker of histories: each rule is seen broken where it is, and not where it isn't."""

import asyncio
import random

import pytest

from millweir.lab.checker import check_rules
from millweir.lab.cluster import Rig
from millweir.lab.history import (
    Answered,
    Called,
    Fallen,
    History,
    Listed,
    Noticed,
    Offered,
    Ready,
    Returned,
    Struck,
)
from millweir.lab.standins import Host

S = 1_000_000_000
TERMS = Rig.terms()
OVER = 100 * S


def packet(ident="p", at=0, profile="status", key="", relay="r1", status=202):
    return [Offered(at, ident, relay, profile, key, 6 * S), Answered(at + 1, ident, status)]


def call(ident="p", at=S, number=1, host="h", status=200, took=S // 10, wait=0):
    return [
        Called(at, ident, host, number),
        Returned(at + took, ident, number, status, status in (200, 500), wait),
    ]


def rules(*parts):
    rows = sorted(
        (row for part in parts for row in (part if isinstance(part, list) else [part])),
        key=lambda row: row.at,
    )
    return sorted(check_rules(History(rows), TERMS, OVER).broken)


FINE = {
    "delivered": (packet(), call()),
    "ended by notice": (packet(), Noticed(2 * S, "p", "dead")),
    "refused": (packet(status=503),),
    "replayable twice": (packet(), call(status=500), call(at=2 * S, number=2)),
    "single-use again after it never ran": (
        packet(profile="charge"),
        call(status=429),
        call(at=2 * S, number=2),
    ),
    "referenced again in time": (packet(profile="order"), call(status=500), call(at=3 * S, number=2)),
    "within the grace": (packet(), Listed(S // 2, "h", "DRAINING"), call()),
    "listed again": (packet(), Listed(0, "h", "DRAINING"), Listed(S // 2, "h", "SERVING"), call()),
    "in order": (packet("a", 0, "order", "k"), packet("b", 1, "order", "k"), call("a"), call("b", 2 * S, 2)),
    "a wait told to another relay": (
        packet("a"),
        packet("b", relay="r2"),
        call("a", status=429, wait=S),
        call("b", S + S // 2, 2),
        call("a", 3 * S, 3),
    ),
    "after a wait": (packet(), call(status=429, wait=S), call(at=3 * S, number=2)),
    "a restart holds its end up": (
        packet(),
        Struck(S, "kill", "r1"),
        Ready(8 * S, "r1"),
        Noticed(9 * S, "p", "dead"),
    ),
    "lost with its machine": (packet(), Struck(S, "lose", "r1"), Ready(8 * S, "r1")),
}
BROKEN = {
    "no end": (1, (packet(),)),
    "ended twice": (1, (packet(), Noticed(S, "p", "dead"), Noticed(2 * S, "p", "dead"))),
    "ended late": (1, (packet(), Noticed(8 * S, "p", "dead"))),
    "no end after a restart": (1, (packet(), Struck(S, "kill", "r1"), Ready(8 * S, "r1"))),
    "single-use twice": (2, (packet(profile="charge"), call(status=500), call(at=2 * S, number=2))),
    "single-use again after silence": (
        2,
        (packet(profile="charge"), Called(S, "p", "h", 1), call(at=2 * S, number=2)),
    ),
    "referenced too late": (2, (packet(profile="order"), call(status=500), call(at=7 * S, number=2))),
    "never offered": (2, (call(),)),
    "to a drained host": (3, (packet(), Listed(0, "h", "DRAINING"), call())),
    "pushed over": (4, (Fallen(S, "h", 40),)),
    "out of order": (
        5,
        (packet("a", 0, "order", "k"), packet("b", 1, "order", "k"), call("b"), call("a", 2 * S, 2)),
    ),
    "before the earlier one is back": (
        5,
        (
            packet("a", 0, "order", "k"),
            packet("b", 1, "order", "k"),
            call("a", took=S),
            call("b", S + S // 2, 2),
        ),
    ),
    "within a wait": (6, (packet(), call(status=429, wait=S), call(at=S + S // 2, number=2))),
}


@pytest.mark.parametrize("name", FINE)
def test_what_is_fine(name):
    assert rules(*FINE[name]) == []


@pytest.mark.parametrize("name", BROKEN)
def test_what_is_broken(name):
    rule, parts = BROKEN[name]
    assert rule in rules(*parts)


def test_a_ledger_is_read_as_it_was_written(tmp_path):
    rows = [row for part in FINE["delivered"] for row in part] + [Struck(5, "kill", "r1", True)]
    History(rows).write(tmp_path / "l")
    assert History.read(tmp_path / "l").rows == rows


def test_a_cold_host_falls_when_it_is_pushed():
    """The stand-in's own side of rule 4: few calls warm it, many make it fall."""

    async def run(calls):
        history = History()
        host = Host("h0", 0, 20.0, ("127.0.0.1", 1), history, random.Random(1), [0])
        host.hang(True)
        host.hang(False)
        for number in range(calls):
            call = asyncio.create_task(host._asked("", {"x-correlation-id": str(number)}, b""))
            await asyncio.sleep(0)
            call.cancel()
        return list(history.of(Fallen))

    assert not asyncio.run(run(15)) and asyncio.run(run(60))
