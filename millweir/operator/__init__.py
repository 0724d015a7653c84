"""The operator's file: optional components besides the platform's protocol."""
