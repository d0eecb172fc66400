"""Quota of a team."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Quota:
    """Most slots that a team may hold at once in each pool and data hall."""

    team: str
    max_slots: int
    version: int = 0
