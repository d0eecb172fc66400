"""Operators' verbs, one module each."""
