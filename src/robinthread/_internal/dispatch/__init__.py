"""Slots of a pool's hosts in one data hall: leases, queue, limits, outcomes."""
