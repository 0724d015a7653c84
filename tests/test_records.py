"""The data structures of records.py, each checked against a plain list or table."""

from __future__ import annotations

import random

import pytest

from millweir.records import IdleConnectionLosses, SlidingMaximum

SEND_WINDOW_NS = 20


@pytest.mark.parametrize("seed", range(5))
def test_the_sliding_maximum_is_that_of_a_plain_list(seed):
    chance, values, window, now = random.Random(seed), [], SlidingMaximum(), 0
    for _ in range(500):
        now += chance.choice((0, 1, 5))
        if chance.random() < 0.6:
            value = chance.randrange(1, 9)
            values.append((now, value))
            window.add(now, value)
        expected = max((value for at, value in values if at > now - SEND_WINDOW_NS), default=0)
        assert window.maximum_since(now - SEND_WINDOW_NS) == expected
        assert len(window) < 9  # no more than there are different values


@pytest.mark.parametrize("seed", range(5))
def test_hosts_with_losses_are_counted_as_in_a_plain_table(seed):
    chance, latest, losses, now = random.Random(seed), {}, IdleConnectionLosses(), 0
    for _ in range(500):
        now += chance.choice((0, 1, 5))
        if chance.random() < 0.6:
            host, idle = chance.choice("abcdef"), chance.randrange(9)
            latest[host] = now, idle
            losses.add(host, now, idle)
        above, after = chance.randrange(9), now - SEND_WINDOW_NS
        expected = sum(at > after and idle > above for at, idle in latest.values())
        assert losses.count_above(above, after) == expected
