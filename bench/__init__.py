"""Benchmarks whose counts are deterministic and checked against bounds."""
