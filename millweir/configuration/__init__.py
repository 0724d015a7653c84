"""Distribution of the configuration to relays, by partition, as versioned deltas with acknowledgements."""
