"""Scripted scenarios: all programs run on loopback, faults are injected, and the sockets' record is checked."""
