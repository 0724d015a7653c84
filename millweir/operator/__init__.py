"""The operator's file: what is switched on besides the platform's protocol."""
