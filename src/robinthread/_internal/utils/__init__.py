"""Odds and ends that belong to no other package."""
