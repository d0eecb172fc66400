"""Leases that are longer than was meant, since another incarnation of the host took the order."""

from typing import Final

from robinthread._internal.jobs.lease_times import get_lapse_time_s

# A lease that is longer by so little is covered by the margin of ``get_lapse_time_s``.
READING_MARGIN_MS: Final = 100


class MisdirectedLeases:
    """When the leases of hosts are over that outlast those that the owner grants.

    A host accepts an order by its id alone, and reads the end of the lease by its own clock, up to
    the longest lease that it accepts.  Clocks of incarnations are unrelated.  Times are of the
    event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self._over_at_s: dict[str, float] = {}
        self._answered_over_at_s: dict[str, float] = {}
        self._unanswered_over_at_s: dict[str, float] = {}

    def record(
        self,
        host_id: str,
        until_ms: int,
        clock_ms: int,
        now_s: float,
        meant_ms: float,
        longest_ms: float,
    ) -> float | None:
        """Record a lease until ``until_ms`` on a host whose clock is now at ``clock_ms``.

        Return when it has certainly lapsed, or None if it is no longer than was ``meant_ms``.
        """
        over_at_s = get_lapse_time_s(min(until_ms - clock_ms, longest_ms), now_s)
        if until_ms - clock_ms <= meant_ms + READING_MARGIN_MS:
            self._answered_over_at_s[host_id] = max(over_at_s, self.get_answered_over_at_s(host_id))
            return None
        unanswered_over_at_s = self._unanswered_over_at_s.pop(host_id, 0.0)
        self._over_at_s[host_id] = max(over_at_s, unanswered_over_at_s, self.get_over_at_s(host_id))
        return over_at_s

    def record_unanswered(
        self, host_id: str, until_s: float, longest_ms: float, now_s: float
    ) -> None:
        """Record an order without a response, which a host may carry out until ``until_s``.

        It extends the lease of a host that has one by another clock, known before or after it.
        """
        over_at_s = get_lapse_time_s(longest_ms, until_s)
        if now_s < self.get_over_at_s(host_id):
            self._over_at_s[host_id] = max(over_at_s, self.get_over_at_s(host_id))
        else:
            self._unanswered_over_at_s[host_id] = over_at_s

    def get_over_at_s(self, host_id: str) -> float:
        """Return when the last such lease of a host is over; 0 if there is none."""
        return self._over_at_s.get(host_id, 0.0)

    def get_answered_over_at_s(self, host_id: str) -> float:
        """Return when the other leases of a host are over, by its responses; 0 if there are none.

        A clock that is a little behind makes a lease outlast the time counted from its grant.
        """
        return self._answered_over_at_s.get(host_id, 0.0)
