"""Scripted days: starts all parts on loopback, plays a script of troubles, has the record judged."""
