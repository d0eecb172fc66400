"""Snapshots of the fleet state, stored in a stream of the platform's log."""
