"""Ids of ended messages, compared with a plain dict."""

from __future__ import annotations

import random

import pytest

from millweir.net.ended import EndedIds

MAX_IDS = 6


@pytest.mark.parametrize("seed", range(6))
def test_ids_are_known_until_their_deadline_or_until_the_limit_of_later_ones(seed):
    rng, ended, model, now = random.Random(seed), EndedIds(MAX_IDS), {}, 0
    for _ in range(400):
        now += rng.choice((0, 1, 1, 4))
        ident, deadline = b"%d" % rng.randrange(12), now + rng.choice((0, 3, 20))
        ended.add(ident, deadline, now)
        model[ident] = deadline  # an update keeps its position
        while model and (len(model) > MAX_IDS or now > next(iter(model.values()))):
            del model[next(iter(model))]
        assert len(ended) == len(model) <= MAX_IDS
        assert all((b"%d" % n in ended) == (b"%d" % n in model) for n in range(12))
