"""A pool as a wave's policy sees it."""

from collections.abc import Callable
from dataclasses import dataclass

from robinthread._internal.waves.host_view import HostView


@dataclass(frozen=True)
class PoolView:
    """What a policy decides on.

    ``waiting`` are the wave's hosts of the pool that serve still;
    ``away_count`` those that hold permits.  ``may_leave(names)`` tells whether
    the budget holds without these hosts.  ``slots_free`` and ``slots_total``
    are over all serving hosts of the pool in this data hall.
    """

    waiting: tuple[HostView, ...]
    away_count: int
    wave_size: int
    slots_free: int
    slots_total: int
    may_leave: Callable[[tuple[str, ...]], bool]


@dataclass(frozen=True)
class PolicyChoice:
    """Hosts to steer new work away from, and hosts to ask permits for, in order."""

    steer: tuple[str, ...]
    permit: tuple[str, ...]
