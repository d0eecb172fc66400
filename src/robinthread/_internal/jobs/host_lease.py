"""The lease under which a host runs its tasks."""

import math
from typing import Final

# Hosts' clocks may run this much slow.
CLOCK_SLOW_SHARE: Final = 0.02
# Added to the time after which a lease has surely lapsed: rounding, and the time a
# host takes to end what has lapsed.
LAPSE_MARGIN_S: Final = 0.1


class ForeignLeases:
    """What earlier owners of a pool granted to its hosts.

    ``over_at_s`` is when all of that has surely lapsed, by the event loop's clock.  It
    falls when it becomes known that an earlier owner stopped sooner.
    """

    def __init__(self, over_at_s: float = 0.0) -> None:
        self.over_at_s = over_at_s


class HostLease:
    """What was granted to one host, in the host's clock and in ours.

    Times in seconds are of the event loop's clock.
    """

    def __init__(self, foreign: ForeignLeases | None = None) -> None:
        self._foreign = foreign or ForeignLeases()
        self._foreign_over_max_s = math.inf
        self._own_over_at_s = 0.0
        self._former_over_at_s = 0.0
        self._clock_ms: int | None = None
        self._clock_read_at_s = 0.0

    @property
    def over_at_s(self) -> float:
        """Return when all that was ever granted has surely lapsed."""
        foreign_over_at_s = min(self._foreign.over_at_s, self._foreign_over_max_s)
        return max(self._own_over_at_s, self._former_over_at_s, foreign_over_at_s)

    def record_fencing(self, length_ms: float, now_s: float) -> None:
        """Note that the host now refuses earlier owners, who granted ``length_ms`` at most."""
        self._foreign_over_max_s = min(self._foreign_over_max_s, get_lapse_time_s(length_ms, now_s))

    def record_earlier_orders(self, until_s: float, longest_ms: float) -> None:
        """Note that orders for the life before may be carried out until ``until_s``.

        Their leases end by a clock that began anew since, so that they may be as long as the
        host grants any.
        """
        over_at_s = get_lapse_time_s(longest_ms, until_s)
        self._former_over_at_s = max(self._former_over_at_s, over_at_s)

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Note the host's clock as an answer that came just now tells it."""
        self._clock_ms = clock_ms
        self._clock_read_at_s = now_s

    def grant(self, length_ms: float, now_s: float) -> int | None:
        """Return the end, on the host's clock, of a lease that begins now.

        It never lies further ahead than ``length_ms``: the host's clock may
        have moved on since it was read.  None where the clock is not known.
        """
        if self._clock_ms is None:
            return None
        elapsed_ms = (now_s - self._clock_read_at_s) * 1000 * (1 - CLOCK_SLOW_SHARE)
        self._own_over_at_s = max(self._own_over_at_s, get_lapse_time_s(length_ms, now_s))
        return int(self._clock_ms + elapsed_ms + length_ms)


def get_lapse_time_s(length_ms: float, now_s: float) -> float:
    """Return when a lease that is granted now has surely lapsed."""
    return now_s + length_ms / 1000 / (1 - CLOCK_SLOW_SHARE) + LAPSE_MARGIN_S
