"""Model checking of the stream protocol: bounded models for z3, and exploration of the real tables' states.

See docs/lineage.md.  Each property has mutants that violate it, which the same search must find.
"""
