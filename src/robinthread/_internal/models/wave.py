"""A maintenance wave or a migration."""

import enum
from dataclasses import dataclass


class WaveState(enum.Enum):
    """State of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    DONE = "done"


class WaveKind(enum.Enum):
    """The operation of a wave on each host after draining it."""

    REBOOT = "reboot"
    RELEASE = "release"


UNFINISHED = (WaveState.RUNNING, WaveState.PAUSED)


@dataclass(frozen=True, slots=True)
class Wave:
    """A wave of maintenance over hosts.

    ``version`` is the log offset of the last change.  ``deadline_at_s`` is a Unix time in
    seconds, zero for none.  A migration is a wave that releases a pool's hosts in one data hall
    and fills ``to_pool`` with free hosts in ``to_hall`` until it has ``to_count`` hosts there.
    """

    name: str
    reason: str
    kind: WaveKind
    hosts: tuple[str, ...]
    state: WaveState = WaveState.RUNNING
    done: frozenset[str] = frozenset()
    deadline_at_s: float = 0.0
    version: int = 0
    to_pool: str = ""
    to_hall: str = ""
    to_count: int = 0

    @property
    def is_unfinished(self) -> bool:
        """Return whether the wave still holds its hosts."""
        return self.state in UNFINISHED

    @property
    def waiting(self) -> tuple[str, ...]:
        """Return the hosts that are not done, in the order of the wave."""
        return tuple(name for name in self.hosts if name not in self.done)
