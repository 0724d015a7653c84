"""Plan and resource limits of the configuration scale test; no processes are started."""

from collections import Counter

import pytest

from millweir.lab.scale.configuration import measure
from millweir.lab.scale.configuration_fleet import REPLICAS, FleetPlan
from millweir.lab.scale.guard import Guard, LimitExceeded


def test_every_partition_has_its_replicas_and_all_relays_hold_the_common_one():
    plan = FleetPlan(49, 1)
    counts = Counter(number for one in plan.assignment().values() for number in one.partitions)
    assert counts.pop(plan.common) == 49
    assert counts == dict.fromkeys(range(plan.partitions), REPLICAS)


def test_the_plan_is_the_same_from_the_same_seed():
    assert FleetPlan(49, 1).entries(3) == FleetPlan(49, 1).entries(3) != FleetPlan(49, 2).entries(3)
    assert FleetPlan(49, 1).assignment() == FleetPlan(49, 1).assignment() != FleetPlan(49, 2).assignment()


def test_a_run_over_the_memory_or_process_limit_is_not_started():
    with pytest.raises(LimitExceeded, match="MiB"):
        next(measure(49, 1, Guard(max_memory_bytes=1 << 20)))
    with pytest.raises(LimitExceeded, match="processes"):
        next(measure(49, 1, Guard(max_memory_bytes=1 << 40, max_processes=3)))
