"""Partitions, assignments as values, and their encoding."""

import random
from collections import Counter

import msgspec
import pytest
import xxhash
from placement.model import assigned, relays

from millweir.placement import codec
from millweir.placement.assignment import (
    Assignment,
    ConflictingVersion,
    Difference,
    GarbledAssignment,
    PartitionChange,
    Placement,
    StaleVersion,
    VersionGap,
    placement_digest,
)
from millweir.placement.partitions import PARTITIONS, partition_of

FIRST = assigned(relays(22, zones=11), 64)
CHANGE = PartitionChange(5, Placement(("r0001", "r0002", "r0003"), FIRST[5].replicas))


def changed(version=2, change=CHANGE):
    placements = list(FIRST)
    placements[change.partition] = change.placement
    return Assignment(version, placements)


def test_the_partition_of_a_destination_never_changes():
    assert [partition_of(destination, PARTITIONS) for destination in (0, 1, 2, 1_299_999)] == [
        20187,
        9229,
        6187,
        14792,
    ]
    assert partition_of(12345, 1) == 0


def test_destinations_spread_evenly():
    counts = Counter(partition_of(destination, 64) for destination in range(64_000))
    assert len(counts) == 64 and max(counts.values()) < 1_130 and min(counts.values()) > 870


@pytest.mark.parametrize("partitions", [0, -1, 1 << 21])
def test_an_absurd_number_of_partitions_is_refused(partitions):
    with pytest.raises(ValueError):
        partition_of(1, partitions)


def test_a_difference_leads_from_one_version_to_the_other():
    second = changed()
    difference = FIRST.difference_to(second)
    assert difference.changes == (CHANGE,)
    assert FIRST.apply(difference) == second and FIRST.apply(difference).digest == second.digest
    assert second.apply(difference) is second  # a repeat
    assert FIRST[5] != CHANGE.placement


def test_a_difference_that_does_not_fit_is_refused():
    second, third = changed(), changed(3, PartitionChange(6, Placement(("r0001",))))
    with pytest.raises(VersionGap):
        FIRST.apply(second.difference_to(third))
    with pytest.raises(StaleVersion):
        third.apply(FIRST.difference_to(second))
    with pytest.raises(StaleVersion):
        second.difference_to(FIRST)
    with pytest.raises(ConflictingVersion):
        second.apply(FIRST.difference_to(changed(2, PartitionChange(6, Placement(("r0001",))))))
    with pytest.raises(GarbledAssignment):
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
def test_a_difference_that_contradicts_itself_is_refused(changes):
    with pytest.raises(GarbledAssignment):
        FIRST.apply(Difference(1, 2, changes, changed().digest))


def test_the_digest_tells_partitions_and_roles_apart():
    placements = [
        [Placement(("a", "b")), Placement()],
        [Placement(), Placement(("a", "b"))],
        [Placement(("a",), ("b",)), Placement()],
        [Placement(("a",)), Placement()],
        [Placement(("b", "a")), Placement()],
        [Placement(("ab",)), Placement()],
    ]
    assert len({Assignment(1, given).digest for given in placements}) == len(placements)


def test_the_part_of_a_relay_is_what_names_it():
    second = changed()
    leaver = FIRST[5].replicas[0]
    assert 5 in second.part_of(leaver) and 5 in second.part_of("r0001")
    expected = {number for number, placement in enumerate(second) if placement.names("r0001")}
    assert second.part_of("r0001").keys() == expected


def test_encodings_are_read_back():
    second = changed()
    assert codec.decode_assignment(codec.encode_assignment(second)) == second
    empty = Assignment.empty(3)
    assert codec.decode_assignment(codec.encode_assignment(empty)) == empty
    difference = FIRST.difference_to(second)
    assert codec.decode_difference(codec.encode_difference(difference)) == difference


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("what", ["assignment", "difference"])
def test_what_is_garbled_is_refused_whole(what, seed):
    chance = random.Random(seed)
    if what == "assignment":
        data, decode = codec.encode_assignment(FIRST), codec.decode_assignment
    else:
        data, decode = codec.encode_difference(FIRST.difference_to(changed())), codec.decode_difference
    for _ in range(150):
        broken = bytearray(data)
        broken[chance.randrange(len(broken))] ^= 1 << chance.randrange(8)
        for given in (bytes(broken), data[: chance.randrange(len(data))]):
            with pytest.raises(GarbledAssignment):
                decode(given)


def sealed(content):
    packed = msgspec.msgpack.encode(content)
    return msgspec.msgpack.encode([codec.FORMAT, xxhash.xxh3_128_digest(packed), packed])


def encoded(**given):
    digest = placement_digest(0, Placement(("a",))).to_bytes(8, "little")
    base = {"version": 1, "digest": digest, "names": ("a",), "counts": b"\1", "replicas": b"\0\0"}
    return codec.EncodedAssignment(**(base | {"handovers": ()} | given))


@pytest.mark.parametrize(
    "content",
    [
        encoded(digest=bytes(8)),
        encoded(replicas=b"\0"),
        encoded(counts=b""),
        encoded(names=()),
        encoded(counts=b"\2", replicas=bytes(4)),  # a replica twice
        encoded(handovers=((3, (0,)),)),
        encoded(handovers=((0, (5,)),)),
        encoded(version=-1),
        ["nonsense"],
    ],
)
def test_what_a_sound_envelope_holds_is_checked_too(content):
    with pytest.raises(GarbledAssignment):
        codec.decode_assignment(sealed(content))


def test_a_sound_encoding_is_taken():
    assert codec.decode_assignment(sealed(encoded())) == Assignment(1, [Placement(("a",))])


@pytest.mark.parametrize("change", [[-1, [0], []], [0, [-1], []], [0, [0], [-1]], [0, [1], []]])
def test_indices_of_a_difference_are_checked(change):
    with pytest.raises(GarbledAssignment):
        codec.decode_difference(sealed([0, 1, bytes(8), ["a"], [change]]))


def test_another_format_and_too_many_bytes_are_refused(monkeypatch):
    data = codec.encode_assignment(FIRST)
    monkeypatch.setattr(codec, "FORMAT", 2)
    with pytest.raises(GarbledAssignment, match="format"):
        codec.decode_assignment(data)
    monkeypatch.setattr(codec, "FORMAT", 1)
    monkeypatch.setattr(codec, "BYTES_MOST", len(data) - 1)
    with pytest.raises(GarbledAssignment, match="bytes"):
        codec.decode_assignment(data)
