#!/usr/bin/env bash
# Builds the stand-ins of the cases.  They are Python on the standard library alone: this compiles them once.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
