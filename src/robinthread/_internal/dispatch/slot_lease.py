"""A lease of a worker's slot."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SlotLease:
    """A slot given to the daemon at ``holder_address`` until ``expires_at_s``.

    Times are of the dispatcher's loop, in seconds.
    """

    id: str
    holder_address: str
    team: str
    urgency: int
    is_repeatable: bool
    granted_at_s: float
    expires_at_s: float
    is_preempted: bool = False
