"""Which hosts may run a step."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HostAdvice:
    """Tickets by the id of the hosts that may run a step, and how long they hold."""

    tickets: dict[str, str]
    valid_ms: float
