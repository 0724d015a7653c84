"""Who is there among the relays: failure detection, gossip, views (docs/design/members.md)."""
