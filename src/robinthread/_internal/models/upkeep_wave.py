"""A maintenance wave that the operators ask for."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """Machines that are due for upkeep within ``duration_s``, so many at once."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    at_once_max: int
