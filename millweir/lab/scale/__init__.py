"""Scale tests: how each part of a relay grows, measured one size at a time.

`parts.py` names the parts, `measurement.py` is the record that each of them yields, `guard.py` keeps a run
inside its share of the machine.  `millweir lab capacity` fits the records.
"""
