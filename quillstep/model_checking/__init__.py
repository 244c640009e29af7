"""The stream protocol proved within bounds: a bounded model for z3, and all states of the real tables nearby.

See docs/lineage.md.  Each property has broken twins that the same search must find.
"""
