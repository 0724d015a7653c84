"""The bench wire on standard input and output."""
