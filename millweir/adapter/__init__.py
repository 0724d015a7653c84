"""Runs relays for the bench, over its byte protocol on standard input and output."""
