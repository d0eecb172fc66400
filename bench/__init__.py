"""Benches with bounds on counts that are the same on every run."""
