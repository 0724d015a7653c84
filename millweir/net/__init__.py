"""The relay's network code and its files on disk."""
