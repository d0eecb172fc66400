"""Counters and gauges."""
