"""Capacity at the target size, worked out from measured slopes: `millweir lab capacity`.

`assumptions.py` reads the operators' figures and our assumptions, `fits.py` turns measurements into slopes,
`model.py` says what a row is and `rows*.py` list them by role, `ranking.py` finds where a row goes over its
budget, `page.py` writes docs/CAPACITY.md.
"""
