"""The budgets of the rows, and the mechanisms that implement them or the issues of those still missing."""

from __future__ import annotations

from millweir.lab.capacity.model import Budget, Mechanism

CONTROL_PROCESSOR = Budget("control_processor", is_set_by_operators=True)
CONTROL_MEMORY = Budget("control_memory", is_set_by_operators=True)
CONTROL_BYTES = Budget("control_bytes", is_set_by_operators=True)
CONTROL_MACHINES = Budget("control_machines", is_set_by_operators=True)
IN_FORCE = Budget("in_force", is_set_by_operators=True)

RELAY_CORES = Budget("relay_cores", is_set_by_operators=False)
RELAY_MEMORY = Budget("relay_memory", is_set_by_operators=False)
RELAY_DISK = Budget("relay_disk", is_set_by_operators=False)
RELAY_NETWORK = Budget("relay_network", is_set_by_operators=False)
MACHINE_CORES = Budget("machine_cores", is_set_by_operators=False)
MACHINE_MEMORY = Budget("machine_memory", is_set_by_operators=False)
MACHINE_NETWORK = Budget("machine_network", is_set_by_operators=False)
MACHINE_DISK = Budget("machine_disk", is_set_by_operators=False)
CALLS_TO_LEARN = Budget("calls_to_learn", is_set_by_operators=False)
START_TIME = Budget("start_time", is_set_by_operators=False)
MAX_PAUSE = Budget("pause_longest", is_set_by_operators=False)
TAKEOVER_TIME = Budget("takeover_time", is_set_by_operators=False)
SPARE_SHARE = Budget("spare_share", is_set_by_operators=False)

INTAKE = Mechanism(
    "listener and intake",
    (
        "millweir/net/client_connection.py",
        "millweir/net/clients.py",
        "millweir/net/request_reader.py",
        "millweir/net/desk.py",
    ),
)
ATTEMPTS = Mechanism("calls to destinations", ("millweir/net/hosts.py",))
DECISIONS = Mechanism("decisions", ("millweir/control.py",))
INCREMENTAL_DECISIONS = Mechanism("turns that walk only what changed", missing_issue=44)
FULL_LIST = Mechanism("whole list to every relay", ("millweir/net/discovery.py", "millweir/control.py"))
JOURNAL = Mechanism("journal of one file", ("millweir/net/journal.py",))
JOURNAL_SEGMENTS = Mechanism("journal in segments, compacted in slices", missing_issue=17)
MEMBERSHIP = Mechanism("gossip and failure detection", ("millweir/members/core.py",))
MEMBERSHIP_BUDGET = Mechanism("byte budget of gossip, urgent first", ("millweir/members/gossip.py",))
MEMBERSHIP_RANGES = Mechanism("full states as differences, by ranges of the digest", missing_issue=44)
CONSENSUS = Mechanism("consensus core, in the lab only", ("millweir/store/core.py",))
LEASES = Mechanism("leases at the leader", missing_issue=32)
PLACEMENT = Mechanism("placement of destinations on relays", ("millweir/placement/",))
CONFIGURATION = Mechanism("configuration by partition", ("millweir/configuration/",))
FORWARDING = Mechanism("forwarding to a replica", missing_issue=44)
TAKEOVER = Mechanism("copies and take-over", missing_issue=32)
ROLLOUT = Mechanism("staged rollout", missing_issue=33)
SHARED_OBSERVATIONS = Mechanism("facts told among relays", missing_issue=35)
ALL_CONTROL = Mechanism("the rows above")
