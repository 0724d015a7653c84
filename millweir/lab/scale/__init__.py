"""Scale tests: how the cost of each part of a relay grows, measured at one size per run.

`parts.py` lists the parts, `measurement.py` defines the record that each of them yields, `guard.py` enforces
the limits on memory and processes.  `millweir lab capacity` fits growth curves to the records.
"""
