"""Cache of tickets to run steps on hosts, for queues whose policy requires them."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.step_key import StepKey

# A ticket that expires sooner than this is not used: it must be valid until the start of a task
# that is placed now has reached the host.
USE_MARGIN_S: Final = 0.3


class TicketCache:
    """Advice by step and host.

    A refusal is permanent, whereas a ticket expires.  Times are of the event loop's clock, in
    seconds.
    """

    def __init__(self) -> None:
        self._tickets: dict[StepKey, dict[str, tuple[str, float]]] = defaultdict(dict)
        self._refused: dict[StepKey, set[str]] = defaultdict(set)

    def record_advice(
        self, step: StepKey, queried: Iterable[str], advice: HostAdvice, requested_at_s: float
    ) -> None:
        """Store advice about the hosts in ``queried``, requested at ``requested_at_s``."""
        until_s = requested_at_s + advice.valid_ms / 1000
        self._tickets[step] |= {
            host_id: (ticket, until_s) for host_id, ticket in advice.tickets.items()
        }
        self._refused[step] |= set(queried) - advice.tickets.keys()

    def get(self, step: StepKey, host_id: str, now_s: float) -> str | None:
        """Return a ticket that is still valid when it is used, or None."""
        ticket, until_s = self._tickets.get(step, {}).get(host_id, ("", 0.0))
        return ticket if until_s - now_s > USE_MARGIN_S else None

    def list_unknown(self, step: StepKey, host_ids: Iterable[str], now_s: float) -> list[str]:
        """Return the hosts that have no valid ticket and were not refused."""
        refused = self._refused.get(step, set())
        return [
            host_id
            for host_id in host_ids
            if host_id not in refused and self.get(step, host_id, now_s) is None
        ]

    def drop(self, step: StepKey, host_id: str) -> None:
        """Remove a ticket that its host has rejected."""
        self._tickets.get(step, {}).pop(host_id, None)

    def drop_job(self, job_id: str) -> None:
        """Remove the advice for a job that has ended."""
        for cache in (self._tickets, self._refused):
            for step in [step for step in cache if step.job_id == job_id]:
                del cache[step]
