"""Keys of the slopes that the rows use, by the names that the scale tests write (`millweir/lab/scale/`)."""

from __future__ import annotations

from millweir.lab.capacity.model import Fault, SlopeKey

# Decisions: size is the number of destinations.
DESTINATIONS_MEMORY = SlopeKey("decisions", "memory")  # bytes for all destinations, with one host each
INITIAL_LIST_TIME = SlopeKey("decisions", "first-list")  # seconds to apply the full destination list
DECISION_CHANGE_TIME = SlopeKey("decisions", "one-change")  # seconds, in the decision module alone
RELAY_CHANGE_TIME = SlopeKey("decisions", "relay-change")  # seconds, from discovery response to applied
SEND_TURN_TIME = SlopeKey("decisions", "turn")  # seconds, a turn that sends one event
RESPONSE_TURN_TIME = SlopeKey("decisions", "turn-after-answer")  # seconds, the turn after its response
IDLE_TICK_TIME = SlopeKey("decisions", "idle-tick")  # seconds, a tick with no timer due
LOST_CALL_TIME = SlopeKey("decisions", "lost-call")  # seconds

# Held events: size is the number of events held by one relay.
# Bytes per event, without its body, its journal record and the objects of the network code.
HELD_EVENT_MEMORY = SlopeKey("held", "memory-each")
HELD_INITIAL_LIST_TIME = SlopeKey("held", "first-list")  # seconds, on a relay that already holds the events
HELD_IDLE_TICK_TIME = SlopeKey("held", "idle-tick")  # seconds
SATURATED_TURN_TIME = SlopeKey("held", "turn-after-answer", "saturated")  # seconds, all slots in flight
HELD_LIMIT_TURN_TIME = SlopeKey("held", "held-turn", "full")  # seconds, as many events held as allowed

# Journal: size is the number of events without a final outcome.
JOURNAL_BODY_BYTES = 200.0  # body of each event in the scale test
JOURNAL_EVENT_BYTES = SlopeKey("journal", "bytes-each")  # on disk per event, with the body
JOURNAL_EVENT_MEMORY = SlopeKey("journal", "memory-each")  # of one event's record, with the body
JOURNAL_READ_TIME = SlopeKey("journal", "start-wall")  # seconds
JOURNAL_RESTORE_TIME = SlopeKey("journal", "hand-in")  # seconds
JOURNAL_COMPACTION_TIME = SlopeKey("journal", "compaction-wall")  # seconds
JOURNAL_COMPACTION_PEAK_MEMORY = SlopeKey("journal", "compaction-peak")  # bytes

# Membership: size is the number of members.
MEMBER_TABLE_MEMORY = SlopeKey("membership", "memory-table-unshared")
FULL_STATE_BYTES = SlopeKey("membership", "full-state-bytes")

# Replicated store: size is the number of owners.
LEASED_OWNER_BYTES = SlopeKey("register", "leased-owner-bytes-second")
OWNERSHIP_MEMORY = SlopeKey("register", "state-memory")
OWNERSHIP_SNAPSHOT_BYTES = SlopeKey("register", "snapshot-bytes")
ASSIGNMENT_BYTES = SlopeKey("register", "assignment-bytes")

# Placement: size is the number of relays.
RELAY_ASSIGNMENT_MEMORY = SlopeKey("placement", "holder-memory")  # at one relay
RELAY_ASSIGNMENT_BYTES = SlopeKey("placement", "part-bytes")  # of one relay
PLACEMENT_CORE_MEMORY = SlopeKey("placement", "core-memory")  # at the member that computes the assignment
REPLICAS_MOVED_BY_REGION_CUT = SlopeKey("placement", "replicas-moved", "region-cut")
LOOKUP_TIME = SlopeKey("placement", "lookup-seconds")

# Configuration: size is the number of relays, destinations grow in proportion.  The fault of a key is the
# workload of the scale test.
MEAN_CHANGE_RATE = "changes-at-mean"
FIFTY_CHANGES_IN_ONE_SECOND = "fifty-in-a-second"
CHANGE_FOR_ALL_RELAYS = "common-change"  # to an entry that all relays hold
FIFTY_CHANGES_FOR_ALL_RELAYS = "fifty-common"
START_WITH_STORED_CONFIGURATION = "start-with-folder"  # all relays start at once
START_WITHOUT_STORED_CONFIGURATION = "start-without-folder"  # one relay in fifty starts


def make_configuration_key(quantity: str, workload: str) -> SlopeKey:
    """Return the key of a quantity of configuration distribution."""
    return SlopeKey("configuration", quantity, workload)


REGISTER_FAULTS = {
    Fault.MACHINE_LOST: "machine",
    Fault.RACK_LOST: "rack",
    Fault.ZONE_LOST: "zone",
    Fault.REGION_CUT: "region",
}
MEMBERSHIP_FAULTS = {
    Fault.NONE: ("calm",),
    Fault.RESTARTS: ("restart",),
    Fault.RACK_LOST: ("rack",),
    Fault.ZONE_LOST: ("zone",),
    Fault.REGION_CUT: ("region-cut", "region-healed"),
}
PLACEMENT_FAULTS = {Fault.MACHINE_LOST: "leave", Fault.ZONE_LOST: "zone-lost"}


def make_placement_key(quantity: str, fault: Fault) -> SlopeKey:
    """Return the key of a quantity of placement under a fault."""
    return SlopeKey("placement", quantity, PLACEMENT_FAULTS[fault])


def make_sender_learning_key(quantity: str, has_placement: bool, fault: str) -> SlopeKey:
    """Return the key of what senders learn about a small destination.

    With placement only the replicas of its partition send to it, without placement all relays do.
    """
    return SlopeKey("placement", f"{quantity}-{'placed' if has_placement else 'unplaced'}", fault)


def make_renewal_key(design: str, quantity: str) -> SlopeKey:
    """Return the key of a quantity of one of the two lease renewal designs of the replicated store."""
    return SlopeKey("register", f"{design}-{quantity}")


def make_register_key(quantity: str, fault: Fault) -> SlopeKey:
    """Return the key of a quantity of the replicated store under a fault."""
    return SlopeKey("register", quantity, REGISTER_FAULTS[fault])
