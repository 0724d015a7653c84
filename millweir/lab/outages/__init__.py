"""Outages drawn from a seed, played by a fleet of the relay's own decisions in simulated time."""
