#!/usr/bin/env bash
# Lay the bench's files beside the variants, from the operators' kit beside the checkout; git ignores the copies.
set -euo pipefail
cd "$(dirname "$0")"
kit="${1:-../../../given/kit}"
cp -f "$kit/more/mass/other/real.json" "$kit/more/mass/other/wire.json" "$kit/more/mass/other/unlock.txt" .
chmod u+w real.json wire.json unlock.txt
