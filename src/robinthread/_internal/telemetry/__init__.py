"""Structured log lines, metrics and their export."""
