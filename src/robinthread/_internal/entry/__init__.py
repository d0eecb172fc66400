"""Requests of callers: identity, placement, retries, answers."""
