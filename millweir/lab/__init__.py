"""The lab: real processes with faults between them, simulated fleets, judges; only the command imports it."""
