"""A lease of a worker's slot."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SlotLease:
    """A slot leased to the daemon at ``holder_address`` until ``expires_at_s``.

    Times are in seconds on the clock of the dispatcher's event loop.
    """

    id: str
    holder_address: str
    team: str
    urgency: int
    is_repeatable: bool
    granted_at_s: float
    expires_at_s: float
    is_preempted: bool = False
