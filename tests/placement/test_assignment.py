"""Partitions, assignments as values, and their encoding."""

import random
from collections import Counter

import msgspec
import pytest
import xxhash
from placement.model import make_assignment, make_relays

from millweir.placement import codec
from millweir.placement.assignment import (
    Assignment,
    ConflictingVersion,
    Difference,
    InvalidAssignment,
    PartitionChange,
    Placement,
    StaleVersion,
    VersionGap,
    compute_placement_digest,
)
from millweir.placement.partitions import PARTITIONS, find_partition

FIRST = make_assignment(make_relays(22, zones=11), 64)
CHANGE = PartitionChange(5, Placement(("r0001", "r0002", "r0003"), FIRST[5].replicas))


def make_changed_assignment(version=2, change=CHANGE):
    placements = list(FIRST)
    placements[change.partition] = change.placement
    return Assignment(version, placements)


def test_partition_of_a_destination_is_stable():
    assert [find_partition(destination, PARTITIONS) for destination in (0, 1, 2, 1_299_999)] == [
        20187,
        9229,
        6187,
        14792,
    ]
    assert find_partition(12345, 1) == 0


def test_destinations_spread_evenly():
    counts = Counter(find_partition(destination, 64) for destination in range(64_000))
    assert len(counts) == 64 and max(counts.values()) < 1_130 and min(counts.values()) > 870


@pytest.mark.parametrize("partitions", [0, -1, 1 << 21])
def test_invalid_number_of_partitions_is_rejected(partitions):
    with pytest.raises(ValueError):
        find_partition(1, partitions)


def test_a_difference_leads_from_one_version_to_the_other():
    second = make_changed_assignment()
    difference = FIRST.difference_to(second)
    assert difference.changes == (CHANGE,)
    assert FIRST.apply(difference) == second and FIRST.apply(difference).digest == second.digest
    assert second.apply(difference) is second  # already applied
    assert FIRST[5] != CHANGE.placement


def test_difference_from_another_version_is_rejected():
    second, third = (
        make_changed_assignment(),
        make_changed_assignment(3, PartitionChange(6, Placement(("r0001",)))),
    )
    with pytest.raises(VersionGap):
        FIRST.apply(second.difference_to(third))
    with pytest.raises(StaleVersion):
        third.apply(FIRST.difference_to(second))
    with pytest.raises(StaleVersion):
        second.difference_to(FIRST)
    with pytest.raises(ConflictingVersion):
        second.apply(
            FIRST.difference_to(make_changed_assignment(2, PartitionChange(6, Placement(("r0001",)))))
        )
    with pytest.raises(InvalidAssignment):
        FIRST.difference_to(Assignment(2, list(FIRST)[:-1]))


@pytest.mark.parametrize(
    "changes",
    [
        (PartitionChange(64, CHANGE.placement),),
        (PartitionChange(-1, CHANGE.placement),),
        (CHANGE, CHANGE, CHANGE),
        (PartitionChange(5, Placement(("a", "a"))),),
        (PartitionChange(5, Placement(tuple(str(n) for n in range(65)))),),
        (PartitionChange(5, Placement(("a",))),),
        (),
    ],
)
def test_inconsistent_difference_is_rejected(changes):
    with pytest.raises(InvalidAssignment):
        FIRST.apply(Difference(1, 2, changes, make_changed_assignment().digest))


def test_digest_distinguishes_partitions_and_roles():
    placements = [
        [Placement(("a", "b")), Placement()],
        [Placement(), Placement(("a", "b"))],
        [Placement(("a",), ("b",)), Placement()],
        [Placement(("a",)), Placement()],
        [Placement(("b", "a")), Placement()],
        [Placement(("ab",)), Placement()],
    ]
    assert len({Assignment(1, variant).digest for variant in placements}) == len(placements)


def test_placements_of_a_relay_are_those_that_involve_it():
    second = make_changed_assignment()
    leaver = FIRST[5].replicas[0]
    assert 5 in second.select_placements_of(leaver) and 5 in second.select_placements_of("r0001")
    expected = {number for number, placement in enumerate(second) if placement.involves("r0001")}
    assert second.select_placements_of("r0001").keys() == expected


def test_encodings_round_trip():
    second = make_changed_assignment()
    assert codec.decode_assignment(codec.encode_assignment(second)) == second
    empty = Assignment.empty(3)
    assert codec.decode_assignment(codec.encode_assignment(empty)) == empty
    difference = FIRST.difference_to(second)
    assert codec.decode_difference(codec.encode_difference(difference)) == difference


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("what", ["assignment", "difference"])
def test_corrupted_encodings_are_rejected(what, seed):
    rng = random.Random(seed)
    if what == "assignment":
        data, decode = codec.encode_assignment(FIRST), codec.decode_assignment
    else:
        data, decode = (
            codec.encode_difference(FIRST.difference_to(make_changed_assignment())),
            codec.decode_difference,
        )
    for _ in range(150):
        broken = bytearray(data)
        broken[rng.randrange(len(broken))] ^= 1 << rng.randrange(8)
        for corrupted in (bytes(broken), data[: rng.randrange(len(data))]):
            with pytest.raises(InvalidAssignment):
                decode(corrupted)


def wrap_content(content):
    packed = msgspec.msgpack.encode(content)
    return msgspec.msgpack.encode([codec.FORMAT_VERSION, xxhash.xxh3_128_digest(packed), packed])


def make_encoded_assignment(**fields):
    digest = compute_placement_digest(0, Placement(("a",))).to_bytes(8, "little")
    base = {"version": 1, "digest": digest, "names": ("a",), "counts": b"\1", "replicas": b"\0\0"}
    return codec.EncodedAssignment(**(base | {"handovers": ()} | fields))


@pytest.mark.parametrize(
    "content",
    [
        make_encoded_assignment(digest=bytes(8)),
        make_encoded_assignment(replicas=b"\0"),
        make_encoded_assignment(counts=b""),
        make_encoded_assignment(names=()),
        make_encoded_assignment(counts=b"\2", replicas=bytes(4)),  # a replica twice
        make_encoded_assignment(handovers=((3, (0,)),)),
        make_encoded_assignment(handovers=((0, (5,)),)),
        make_encoded_assignment(version=-1),
        ["nonsense"],
    ],
)
def test_content_of_a_valid_envelope_is_validated(content):
    with pytest.raises(InvalidAssignment):
        codec.decode_assignment(wrap_content(content))


def test_valid_encoding_is_accepted():
    assert codec.decode_assignment(wrap_content(make_encoded_assignment())) == Assignment(
        1, [Placement(("a",))]
    )


@pytest.mark.parametrize("change", [[-1, [0], []], [0, [-1], []], [0, [0], [-1]], [0, [1], []]])
def test_indices_of_a_difference_are_validated(change):
    with pytest.raises(InvalidAssignment):
        codec.decode_difference(wrap_content([0, 1, bytes(8), ["a"], [change]]))


def test_unknown_format_and_excessive_size_are_rejected(monkeypatch):
    data = codec.encode_assignment(FIRST)
    monkeypatch.setattr(codec, "FORMAT_VERSION", 2)
    with pytest.raises(InvalidAssignment, match="format"):
        codec.decode_assignment(data)
    monkeypatch.setattr(codec, "FORMAT_VERSION", 1)
    monkeypatch.setattr(codec, "MAX_ENCODED_BYTES", len(data) - 1)
    with pytest.raises(InvalidAssignment, match="bytes"):
        codec.decode_assignment(data)
