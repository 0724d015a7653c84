"""Collects all rows of the capacity model, in the order of the page."""

from __future__ import annotations

from millweir.lab.capacity import rows_control, rows_data, rows_machines, rows_taker

ROWS = (*rows_data.ROWS, *rows_control.ROWS, *rows_taker.ROWS, *rows_machines.ROWS)
