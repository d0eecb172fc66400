"""The data on a pool that the policy of a wave uses, and the policy's choice."""

from collections.abc import Callable
from dataclasses import dataclass

from robinthread._internal.waves.host_view import HostView


@dataclass(frozen=True)
class PoolView:
    """Input of a policy, for one pool in one data hall.

    ``waiting`` are the wave's hosts of the pool in the data hall that hold no permit yet.
    ``may_leave(names)`` tells whether the pool's budget is met without these hosts;
    ``away_count`` is the number of the wave's hosts of the pool in the data hall that hold
    permits.  ``slots_free`` is the number of idle slots of the pool's serving hosts there.
    ``wave_hosts`` are the names of all hosts of the wave, ``wave_done`` the finished ones.
    """

    waiting: tuple[HostView, ...]
    away_count: int
    slots_free: int
    wave_hosts: tuple[str, ...]
    wave_done: frozenset[str]
    may_leave: Callable[[tuple[str, ...]], bool]


@dataclass(frozen=True)
class PolicyChoice:
    """Output of a policy, as names of hosts.

    New work is steered away from the hosts in ``steer``; permits are requested for those in
    ``permit``.  ``order`` is the planned order of departure of the waiting hosts.  ``empty``
    are the hosts that could leave now; their overdue tasks are moved.
    """

    steer: tuple[str, ...]
    permit: tuple[str, ...]
    order: tuple[str, ...] = ()
    empty: tuple[str, ...] = ()
