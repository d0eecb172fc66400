"""Urgency classes of requests."""

import enum


class Urgency(enum.IntEnum):
    """Urgency of a request; a lower value goes first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2
