"""Membership of the relays: failure detection, gossip and local views (docs/design/members.md)."""
