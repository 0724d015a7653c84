"""Capacity model of a fleet at its target size, extrapolated from measurements: `millweir lab capacity`.

`assumptions.py` reads the operators' targets and our assumptions, `fits.py` fits slopes to the measurements,
`model.py` defines the rows of the model and evaluates them, `rows*.py` list the rows by role, `ranking.py`
finds the fleet size at which each row exceeds its budget, `page.py` renders docs/CAPACITY.md.
"""
