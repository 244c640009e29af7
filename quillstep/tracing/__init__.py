"""Which table priced an exchange: the chain from a round of the module to an answer.  See docs/lineage.md."""
