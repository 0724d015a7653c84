"""Assigns partitions of destinations to relays: who may send to which destinations, by version."""
