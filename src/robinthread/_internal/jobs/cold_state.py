"""Until when a host is cold, and the token bucket of its starts."""

import math
from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.upstream_host import UpstreamHost

# Allows for rounding: 0.1 s at 10 starts per second may add up to slightly less than one token.
TOKEN_MIN: Final = 1 - 1e-9


@dataclass(frozen=True, slots=True)
class ColdStartLimit:
    """Limit of the starts on each cold host of a pool; a rate of 0 sets none.

    ``burst`` starts may come at once.  It is at least 1, since no start would ever be allowed
    otherwise.  While the limit is not ``is_known``, cold hosts get no start.
    """

    starts_per_s: float = 0.0
    burst: float = 1.0
    is_known: bool = True

    @property
    def restricts_starts(self) -> bool:
        """Return whether a cold host may not get any number of starts."""
        return self.starts_per_s > 0 or not self.is_known


NO_LIMIT: Final = ColdStartLimit()
UNKNOWN_LIMIT: Final = ColdStartLimit(is_known=False)


class ColdState:
    """Until when one incarnation of a host is cold, and a token bucket of its starts.

    ``until_s`` is a time of the event loop's clock.  A host that was never cold has minus infinity.
    A host ``has_uncounted_starts`` if starts may have been sent to it that took no token: by
    earlier owners, or without a limit.  Its bucket begins empty, so that these and later starts
    together do not exceed the limit.
    """

    __slots__ = ("_filled_at_s", "_tokens", "has_uncounted_starts", "until_s")

    def __init__(self) -> None:
        self.until_s = -math.inf
        self.has_uncounted_starts = True
        self._tokens = 0.0
        self._filled_at_s: float | None = None

    def is_cold(self, now_s: float) -> bool:
        """Return whether the host is cold now."""
        return now_s < self.until_s

    def was_cold_since(self, since_s: float) -> bool:
        """Return whether the host was cold at any time since ``since_s``."""
        return since_s < self.until_s

    def refill(self, limit: ColdStartLimit, now_s: float) -> float:
        """Add the tokens due since the last call and return their number."""
        if self._filled_at_s is None:
            self._tokens = 0.0 if self.has_uncounted_starts else limit.burst
        else:
            self._tokens += limit.starts_per_s * (now_s - self._filled_at_s)
        self._tokens = min(limit.burst, self._tokens)
        self._filled_at_s = now_s
        return self._tokens

    def take_start(self, limit: ColdStartLimit, now_s: float) -> bool:
        """Take a token for a start that is sent now; return whether the start is allowed.

        Starts on a warm host take tokens as well, for the host may have become cold without this
        owner knowing yet.
        """
        if not limit.starts_per_s:
            self.has_uncounted_starts = True
            return limit.is_known or not self.is_cold(now_s)
        has_token = self.refill(limit, now_s) >= TOKEN_MIN
        if not has_token and self.is_cold(now_s):
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


def get_cold_until_s(
    record: UpstreamHost,
    previous: UpstreamHost | None,
    previous_until_s: float,
    now_s: float,
    is_snapshot: bool,
) -> float:
    """Return until when a host is cold according to a record that was read at ``now_s``.

    ``previous`` is the record read before.  A record that repeats its figure may have been read
    twice, or written long after the figure was true, so the time continues to run.  Once it is
    over, a figure in a snapshot counts as new, because records before it may have been missed.
    A host that reports being warm was cold until now at most.
    """
    if previous is None or previous.host_started_at_ms != record.host_started_at_ms:
        return now_s + record.cold_for_ms / 1000 if record.cold_for_ms > 0 else -math.inf
    is_repeated = previous.cold_for_ms == record.cold_for_ms
    if is_repeated and not (is_snapshot and previous_until_s <= now_s):
        return previous_until_s
    if record.cold_for_ms > 0:
        return now_s + record.cold_for_ms / 1000
    return min(previous_until_s, now_s)
