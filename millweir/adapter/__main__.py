"""Entry point: python -m millweir.adapter."""

import sys

from millweir.adapter.wire import ProtocolError, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as fault:
        sys.exit(f"millweir.adapter: {fault}")
