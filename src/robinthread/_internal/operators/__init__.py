"""Operators' remote procedure calls."""
