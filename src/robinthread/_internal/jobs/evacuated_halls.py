"""Data halls that are being evacuated, whose hosts get no starts from a pool's owner."""

from dataclasses import dataclass

from robinthread._internal.jobs.host import Host


@dataclass(frozen=True, slots=True)
class PoolRemainder:
    """What a pool still has in an evacuated hall.

    ``lasting_count`` of the ``run_count`` runs are of lasting tasks.
    """

    host_count: int = 0
    run_count: int = 0
    lasting_count: int = 0


class EvacuatedHalls:
    """The halls being evacuated; ``last_start_at_s`` is when a run last began in each of them.

    Only runs of this owner that began after it knew of the evacuation count.  Times are of the
    event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self.halls: frozenset[str] = frozenset()
        self.last_start_at_s: dict[str, float] = {}

    def replace(self, halls: frozenset[str]) -> None:
        """Replace the set of halls."""
        self.halls = halls
        self.last_start_at_s = {
            hall: at_s for hall, at_s in self.last_start_at_s.items() if hall in halls
        }

    def covers(self, host: Host) -> bool:
        """Return whether a host is in one of the halls."""
        return host.record.hall in self.halls

    def record_start(self, host: Host, now_s: float) -> None:
        """Record that a run has begun on a host."""
        if self.covers(host):
            self.last_start_at_s[host.record.hall] = now_s
