"""Names of the slopes that the rows rest on, as the scale tests write them (`millweir/lab/scale/`)."""

from __future__ import annotations

from millweir.lab.capacity.model import SlopeKey, Trouble

# Decisions: size is destinations.
DESTINATIONS_MEMORY = SlopeKey("decisions", "memory")  # bytes of all, with one host each
FIRST_LIST_TIME = SlopeKey("decisions", "first-list")  # seconds, the whole list
DECIDED_CHANGE_TIME = SlopeKey("decisions", "one-change")  # seconds, in the decisions alone
RELAY_CHANGE_TIME = SlopeKey("decisions", "relay-change")  # seconds, from discovery's answer to the end
TURN_TIME = SlopeKey("decisions", "turn")  # seconds, one event sent
ANSWER_TIME = SlopeKey("decisions", "turn-after-answer")  # seconds, its answer
IDLE_TICK_TIME = SlopeKey("decisions", "idle-tick")  # seconds, a tick that finds nothing due
LOST_CALL_TIME = SlopeKey("decisions", "lost-call")  # seconds

# Held events: size is events held by one relay.
HELD_MEMORY = SlopeKey("held", "memory-each")  # bytes, without body, journal's record and network code
HELD_FIRST_LIST_TIME = SlopeKey("held", "first-list")  # seconds, to a relay that holds them already
HELD_IDLE_TICK_TIME = SlopeKey("held", "idle-tick")  # seconds
SATURATED_TURN_TIME = SlopeKey("held", "turn-after-answer", "saturated")  # seconds
FULL_TURN_TIME = SlopeKey("held", "held-turn", "full")  # seconds

# Journal: size is events owed.
JOURNAL_BODY = 200.0  # bytes of each event's body in the scale test
JOURNAL_BYTES = SlopeKey("journal", "bytes-each")  # on disk, with the body
JOURNAL_MEMORY = SlopeKey("journal", "memory-each")  # of an event's record, with the body
JOURNAL_START_TIME = SlopeKey("journal", "start-wall")  # seconds
JOURNAL_HAND_IN_TIME = SlopeKey("journal", "hand-in")  # seconds
JOURNAL_PAUSE = SlopeKey("journal", "compaction-wall")  # seconds
JOURNAL_PEAK = SlopeKey("journal", "compaction-peak")  # bytes

# Membership: size is members.
TABLE_MEMORY = SlopeKey("membership", "memory-table-unshared")
FULL_STATE_BYTES = SlopeKey("membership", "full-state-bytes")

# Register: size is owners.
LEASED_OWNER_BYTES = SlopeKey("register", "leased-owner-bytes-second")
STATE_MEMORY = SlopeKey("register", "state-memory")
SNAPSHOT_BYTES = SlopeKey("register", "snapshot-bytes")
ASSIGNMENT_BYTES = SlopeKey("register", "assignment-bytes")

# Placement: size is relays.
HOLDER_MEMORY = SlopeKey("placement", "holder-memory")  # at a relay
PART_BYTES = SlopeKey("placement", "part-bytes")  # of a relay
CORE_MEMORY = SlopeKey("placement", "core-memory")  # where assignments are made
MOVED_BY_A_CUT = SlopeKey("placement", "replicas-moved", "region-cut")
LOOKUP_TIME = SlopeKey("placement", "lookup-seconds")

# Configuration: size is relays, destinations grow with them; troubles are what the scale test does.
CHANGES_AT_MEAN = "changes-at-mean"
FIFTY_IN_A_SECOND = "fifty-in-a-second"
COMMON_CHANGE = "common-change"  # of what all relays hold
FIFTY_COMMON = "fifty-common"
START_WITH_FOLDER = "start-with-folder"  # all relays at once
START_WITHOUT_FOLDER = "start-without-folder"  # one in fifty


def configuration(quantity: str, doing: str) -> SlopeKey:
    """A quantity of the distribution of configuration."""
    return SlopeKey("configuration", quantity, doing)


REGISTER_TROUBLES = {
    Trouble.MACHINE: "machine",
    Trouble.RACK: "rack",
    Trouble.ZONE: "zone",
    Trouble.REGION: "region",
}
MEMBERSHIP_TROUBLES = {
    Trouble.CALM: ("calm",),
    Trouble.RESTARTS: ("restart",),
    Trouble.RACK: ("rack",),
    Trouble.ZONE: ("zone",),
    Trouble.REGION: ("region-cut", "region-healed"),
}


PLACEMENT_TROUBLES = {Trouble.MACHINE: "leave", Trouble.ZONE: "zone-lost"}


def placement_trouble(quantity: str, trouble: Trouble) -> SlopeKey:
    return SlopeKey("placement", quantity, PLACEMENT_TROUBLES[trouble])


def senders_learn(quantity: str, is_placed: bool, trouble: str) -> SlopeKey:
    """What senders learn of a small destination: as replicas of its partition, or as the whole fleet."""
    return SlopeKey("placement", f"{quantity}-{'placed' if is_placed else 'unplaced'}", trouble)


def renewals(design: str, quantity: str) -> SlopeKey:
    """A quantity of one of the register's two designs of renewal."""
    return SlopeKey("register", f"{design}-{quantity}")


def register_trouble(quantity: str, trouble: Trouble) -> SlopeKey:
    return SlopeKey("register", quantity, REGISTER_TROUBLES[trouble])
