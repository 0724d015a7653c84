"""The lab: real processes with faults between them, simulated fleets, scale tests; only `cli` imports it."""
