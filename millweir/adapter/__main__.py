"""Start: python -m millweir.adapter."""

import sys

from millweir.adapter.wire import Malformed, serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as fault:
        sys.exit(f"millweir.adapter: {fault}")
