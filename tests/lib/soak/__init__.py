"""Soak tests: real node processes on loopback with injected faults, and their invariants."""
