"""A small replicated log for state on which the relays have to agree (Raft)."""
