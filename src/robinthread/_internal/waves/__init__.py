"""Maintenance waves and migrations: planner, steward, baselines."""
