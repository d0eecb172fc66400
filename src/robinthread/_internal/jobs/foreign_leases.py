"""Leases that earlier owners of a pool granted to its hosts."""

import math
from typing import Final

from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.jobs.lease_times import get_lapse_time_s
from robinthread._internal.jobs.unconfirmed_starts import UNCONFIRMED_START_MAX_S
from robinthread._internal.models.host_incarnation import split_incarnation_id

# An owner sends no orders by the clock of a host's previous incarnation for longer than this after
# it has placed a run there: 1.0 s until the start is sent, 0.4 s until it is answered, and 1.4 s
# until a poll of the previous incarnation has failed.
ORDERS_BY_OTHER_CLOCK_MAX_S: Final = 2.8


class ForeignLeases:
    """Leases that earlier owners of a pool granted to its hosts.

    ``over_at_s`` is when all leases that they meant to grant have certainly lapsed, in seconds of
    the event loop's clock.  It decreases when an earlier owner turns out to have stopped sooner.

    An order that was meant for the previous incarnation of a host may have granted a longer lease,
    up to ``longest_ms``, 0 if there was no earlier owner: the host reads its end by its own clock.
    They sent no order after ``last_grant_s``.  ``told`` is what the last owner knew when it
    stopped, at ``acquired_at_s`` or before; None if it did not tell.
    """

    def __init__(self, over_at_s: float = 0.0) -> None:
        self.over_at_s = over_at_s
        self.longest_ms = 0.0
        self.last_grant_s = math.inf
        self.acquired_at_s = 0.0
        self.told: ReleasedLeases | None = None

    def get_longest_over_at_s(self, incarnation_id: str, now_s: float) -> float:
        """Return when the longest lease is over that an incarnation may have got before ``now_s``.

        From then on it rejects orders of earlier owners.  Return 0 if all its leases were meant.
        """
        if not self.longest_ms or self._is_regular(incarnation_id):
            return 0.0
        last_order_s = min(now_s, self.last_grant_s + UNCONFIRMED_START_MAX_S)
        return get_lapse_time_s(self.longest_ms, last_order_s)

    def get_run_over_at_s(self, incarnation_id: str, placed_at_s: float | None) -> float:
        """Return when the longest lease is over that a run of an earlier owner may have.

        ``placed_at_s`` is when it was placed on the incarnation, None if unknown.  Its owner sent
        the last orders by the clock of a previous incarnation soon after that.  Return 0 if the
        lease of the run was meant.
        """
        if not self.longest_ms or self._is_regular(incarnation_id):
            return 0.0
        if self.told is not None:
            return self._get_told_over_at_s(incarnation_id, self.told)
        last_order_s = self.acquired_at_s
        if placed_at_s is not None:
            last_order_s = min(last_order_s, placed_at_s + ORDERS_BY_OTHER_CLOCK_MAX_S)
        return get_lapse_time_s(self.longest_ms, last_order_s)

    def _get_told_over_at_s(self, incarnation_id: str, told: ReleasedLeases) -> float:
        host_id, _ = split_incarnation_id(incarnation_id)
        over_in_ms = told.longer_ms.get(host_id)
        if over_in_ms is None:
            return get_lapse_time_s(self.longest_ms, self.acquired_at_s)
        return self.acquired_at_s + over_in_ms / 1000

    def _is_regular(self, incarnation_id: str) -> bool:
        return self.told is not None and incarnation_id in self.told.regular
