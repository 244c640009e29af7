"""Replays of recorded scenarios on a virtual clock, with the decision code of a real controller."""
