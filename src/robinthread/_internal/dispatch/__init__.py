"""Dispatch of a pool's slots in one data hall: leases, queue, limits and task outcomes."""
