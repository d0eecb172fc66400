"""Advice on which hosts may run a step."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HostAdvice:
    """Tickets by id of each host that may run a step, valid for ``valid_ms``."""

    tickets: dict[str, str]
    valid_ms: float
