"""Snapshots of the fleet state in a stream of the log."""
