"""Model checking of the stream protocol: bounded models for z3, and all states of the real tables nearby.

See docs/lineage.md.  Each property has mutants that the same search must find.
"""
