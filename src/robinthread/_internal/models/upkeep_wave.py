"""A maintenance wave requested by the operators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """Machines due for upkeep within ``duration_s``, at most ``at_once_max`` at the same time."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    at_once_max: int
