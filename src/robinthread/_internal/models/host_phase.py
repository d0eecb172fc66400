"""Phases of a host within a pool."""

import enum


class HostPhase(enum.Enum):
    """Phase of a host; every transition is a record in the log."""

    FREE = "free"
    SERVING = "serving"
    PERMITTED = "permitted"
    DRAINING = "draining"
    OUT = "out"
    FAILED = "failed"
    SET_ASIDE = "set_aside"
    LEAVING = "leaving"
