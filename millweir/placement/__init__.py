"""Which relays may send to which destinations: partitions, replicas, and an assignment with a version."""
