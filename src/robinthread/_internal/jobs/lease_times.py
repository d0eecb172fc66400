"""When a lease by a host's clock has certainly lapsed."""

from typing import Final

# Share by which a host's clock may run slow.
CLOCK_SLOW_SHARE: Final = 0.02
# Added to the time after which a lease has certainly lapsed, for rounding and for the
# time a host takes to end the runs of a lapsed lease.
LAPSE_MARGIN_S: Final = 0.1


def get_lapse_time_s(length_ms: float, now_s: float) -> float:
    """Return when a lease granted at ``now_s`` has certainly lapsed, in seconds."""
    return now_s + length_ms / 1000 / (1 - CLOCK_SLOW_SHARE) + LAPSE_MARGIN_S
