"""Simulates seeded outages of a destination for a fleet of relays' decision modules."""
