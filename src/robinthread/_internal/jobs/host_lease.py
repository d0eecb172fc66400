"""Leases under which hosts run their tasks."""

import enum
import math
from collections.abc import Callable

from robinthread._internal.jobs.foreign_leases import ForeignLeases
from robinthread._internal.jobs.lease_times import CLOCK_SLOW_SHARE, get_lapse_time_s


class LeaseSource(enum.StrEnum):
    """Which of the leases that a host may have is the last to lapse.

    OWN: one that this owner granted.  EARLIER_OWNER: one of an earlier owner of the pool.
    OTHER_CLOCK: one of an order for another incarnation, whose end the host read by its own clock.
    """

    OWN = "own"
    EARLIER_OWNER = "earlier owner"
    OTHER_CLOCK = "other clock"


class HostLease:
    """The leases granted to one host, by the host's clock and by the owner's.

    ``incarnation_id`` is that of the host.  ``get_answered_over_at_s`` returns when the leases are
    over that its responses told, and ``get_other_clock_over_at_s`` those among them that an order
    by another incarnation's clock granted; either may be learnt at any time.  A run that this owner
    starts may go on until ``longest_over_at_s``, under a lease by another clock that an earlier
    owner has granted.  Times in seconds are of the event loop's clock.
    """

    def __init__(
        self,
        foreign: ForeignLeases | None = None,
        incarnation_id: str = "",
        get_answered_over_at_s: Callable[[], float] = lambda: 0.0,
        get_other_clock_over_at_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._foreign = foreign or ForeignLeases()
        self._incarnation_id = incarnation_id
        self._get_answered_over_at_s = get_answered_over_at_s
        self._get_other_clock_over_at_s = get_other_clock_over_at_s
        self._foreign_over_max_s = math.inf
        self._own_over_at_s = 0.0
        self._previous_over_at_s = 0.0
        self.longest_over_at_s = 0.0
        self._clock_ms: int | None = None
        self._clock_read_at_s = 0.0

    @property
    def over_at_s(self) -> float:
        """Return when all leases ever granted to the host have certainly lapsed."""
        return max(self._get_ends().values())

    def is_regular(self, now_s: float) -> bool:
        """Return whether the host has no lease by another clock, from this or an earlier owner."""
        other_clock_over_at_s = self._get_ends()[LeaseSource.OTHER_CLOCK]
        return max(self.longest_over_at_s, other_clock_over_at_s) <= now_s

    @property
    def source(self) -> LeaseSource:
        """Return which lease is the last to lapse."""
        ends = self._get_ends()
        return max(ends, key=lambda source: ends[source])

    def _get_ends(self) -> dict[LeaseSource, float]:
        """Return when the leases of each source have certainly lapsed."""
        return {
            LeaseSource.OWN: max(self._own_over_at_s, self._get_answered_over_at_s()),
            LeaseSource.EARLIER_OWNER: min(self._foreign.over_at_s, self._foreign_over_max_s),
            LeaseSource.OTHER_CLOCK: max(
                self._previous_over_at_s, self._get_other_clock_over_at_s()
            ),
        }

    def record_fencing(self, length_ms: float, now_s: float) -> None:
        """Record that the host now rejects earlier owners, who meant ``length_ms`` at most."""
        self._foreign_over_max_s = min(self._foreign_over_max_s, get_lapse_time_s(length_ms, now_s))
        self.longest_over_at_s = self._foreign.get_longest_over_at_s(self._incarnation_id, now_s)

    def record_earlier_orders(self, until_s: float, longest_ms: float) -> None:
        """Record that orders for the previous incarnation may be carried out until ``until_s``.

        The clock by which their leases end has restarted since, so they may last as long as
        the longest lease that the host accepts, ``longest_ms``.
        """
        self.extend(get_lapse_time_s(longest_ms, until_s))

    def extend(self, over_at_s: float) -> None:
        """Record that runs may have a lease until ``over_at_s``, whoever granted it."""
        self._previous_over_at_s = max(self._previous_over_at_s, over_at_s)

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record the host's clock from a response that has just arrived."""
        self._clock_ms = clock_ms
        self._clock_read_at_s = now_s

    def grant(self, length_ms: float, now_s: float) -> int | None:
        """Grant a lease that begins now; return its end in ms of the host's clock.

        The end is at most ``length_ms`` ahead of the host's clock, which may have advanced
        since it was read.  Return None if the clock is not known.
        """
        if self._clock_ms is None:
            return None
        elapsed_ms = (now_s - self._clock_read_at_s) * 1000 * (1 - CLOCK_SLOW_SHARE)
        self._own_over_at_s = max(self._own_over_at_s, get_lapse_time_s(length_ms, now_s))
        return int(self._clock_ms + elapsed_ms + length_ms)
