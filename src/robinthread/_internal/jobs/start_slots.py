"""How many starts may be under way to a host at once."""

import math
from typing import Final

from robinthread._internal.jobs.answer_times import SLOW_S, VALID_S

# Number of concurrent starts to one host, each on a connection of its own.
START_SLOTS: Final = 3
# Maximum for a host that answers slowly.
START_SLOTS_MAX: Final = 12
# Slots beyond ``START_SLOTS`` of all hosts of a pool.  A node has 1,000 connections to hosts, and
# the polls of a few hundred hosts need theirs whatever the starts do.
EXTRA_SLOTS_MAX: Final = 100
# An answer that takes this multiple of the quickest one waited for others at its host.
WAITED_FACTOR: Final = 1.5


class StartSlots:
    """The number of concurrent starts to one host, which its answers change.

    A host may answer slowly because each start takes long, or because it works off one after the
    other.  The first gets more starts at once while its answers take no longer for it.  The
    second would answer the more slowly, up to the timeout of an order, and gets no more.
    Times are of the event loop's clock, in seconds.
    """

    __slots__ = ("_answered_at_s", "_quickest_s", "count")

    def __init__(self) -> None:
        self.count = START_SLOTS
        self._quickest_s = math.inf
        self._answered_at_s = -math.inf

    def record_answer(self, took_s: float, now_s: float, may_grow: bool) -> None:
        """Record how long a start took until its answer.

        ``may_grow`` tells that all slots are in use and more may be opened.
        """
        if now_s - self._answered_at_s > VALID_S:
            self._quickest_s = math.inf
        self._answered_at_s = now_s
        self._quickest_s = min(self._quickest_s, took_s)
        if took_s > WAITED_FACTOR * self._quickest_s:
            self.count = max(START_SLOTS, self.count - 1)
        elif took_s <= SLOW_S:
            self.count = START_SLOTS
        elif may_grow:
            self.count = min(START_SLOTS_MAX, self.count + 1)

    def record_loss(self) -> None:
        """Record a start without an answer."""
        self.count = max(START_SLOTS, self.count // 2)
