"""Urgency classes of requests."""

import enum


class Urgency(enum.IntEnum):
    """Urgency of a request; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2
