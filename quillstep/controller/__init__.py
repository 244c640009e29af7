"""One pilot: gathers news, calls the module once a round, keeps the order channel, feeds its fronts."""
