"""Callers' requests: identity, placement, retries and answers."""
