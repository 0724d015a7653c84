"""Structures of the decision module that decide nothing: each against the plain list that it stands for."""

from __future__ import annotations

import random

import pytest

from millweir.records import IdleLosses, SlidingMaximum

WINDOW = 20


@pytest.mark.parametrize("seed", range(5))
def test_the_greatest_of_a_window_is_that_of_the_plain_list(seed):
    chance, values, window, now = random.Random(seed), [], SlidingMaximum(), 0
    for _ in range(500):
        now += chance.choice((0, 1, 5))
        if chance.random() < 0.6:
            value = chance.randrange(1, 9)
            values.append((now, value))
            window.add(now, value)
        greatest = max((value for at, value in values if at > now - WINDOW), default=0)
        assert window.greatest(now - WINDOW) == greatest
        assert len(window) < 9  # no more than there are different values


@pytest.mark.parametrize("seed", range(5))
def test_hosts_that_lost_calls_are_counted_as_in_the_plain_table(seed):
    chance, latest, losses, now = random.Random(seed), {}, IdleLosses(), 0
    for _ in range(500):
        now += chance.choice((0, 1, 5))
        if chance.random() < 0.6:
            host, idle = chance.choice("abcdef"), chance.randrange(9)
            latest[host] = now, idle
            losses.add(host, now, idle)
        above, after = chance.randrange(9), now - WINDOW
        expected = sum(at > after and idle > above for at, idle in latest.values())
        assert losses.count_above(above, after) == expected
