#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python files, run by the deploy file's interpreter.
# They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig_2.py review/6 review/7 review/8 review/9 review/10
