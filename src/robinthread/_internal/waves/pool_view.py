"""A pool as a wave's policy sees it."""

from collections.abc import Callable
from dataclasses import dataclass

from robinthread._internal.waves.host_view import HostView


@dataclass(frozen=True)
class PoolView:
    """What a policy decides on.

    ``waiting`` are the wave's hosts of the pool in this data hall that serve
    still.  ``may_leave(names)`` tells whether the budget holds without these
    hosts; ``away_count`` counts the pool's hosts here that hold permits.
    ``slots_free`` are idle slots of serving hosts here.  ``wave_hosts`` are
    the names of all hosts of the wave, ``wave_done`` those that are done.
    """

    waiting: tuple[HostView, ...]
    away_count: int
    slots_free: int
    wave_hosts: tuple[str, ...]
    wave_done: frozenset[str]
    may_leave: Callable[[tuple[str, ...]], bool]


@dataclass(frozen=True)
class PolicyChoice:
    """What to do now: hosts to steer new work away from, hosts to ask permits for.

    ``order`` is that in which the waiting hosts are to leave; ``empty`` are those
    that could leave now, whose tasks move if they have outlasted the wait.
    """

    steer: tuple[str, ...]
    permit: tuple[str, ...]
    order: tuple[str, ...] = ()
    empty: tuple[str, ...] = ()
