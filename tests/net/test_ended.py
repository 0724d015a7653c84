"""Ids of messages that are owed no more, against the plain table that they stand for."""

from __future__ import annotations

import random

import pytest

from millweir.net.ended import EndedIds

MOST = 6


@pytest.mark.parametrize("seed", range(6))
def test_ids_are_known_until_their_deadline_or_till_so_many_ended_after(seed):
    chance, ended, plain, now = random.Random(seed), EndedIds(MOST), {}, 0
    for _ in range(400):
        now += chance.choice((0, 1, 1, 4))
        ident, deadline = b"%d" % chance.randrange(12), now + chance.choice((0, 3, 20))
        ended.add(ident, deadline, now)
        plain[ident] = deadline  # in the place that it had
        while plain and (len(plain) > MOST or now > next(iter(plain.values()))):
            del plain[next(iter(plain))]
        assert len(ended) == len(plain) <= MOST
        assert all((b"%d" % n in ended) == (b"%d" % n in plain) for n in range(12))
