"""Configuration told by partition, as differences by version, and acknowledged."""
