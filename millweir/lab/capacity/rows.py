"""All rows of the capacity model, in the order of the page."""

from __future__ import annotations

from millweir.lab.capacity import rows_machines, rows_relay

ROWS = (*rows_relay.ROWS, *rows_machines.ROWS)
