"""A job host as described by its own record in the store."""

from dataclasses import dataclass

from robinthread._internal.models.host_incarnation import make_incarnation_id, split_incarnation_id
from robinthread._internal.models.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class UpstreamHost:
    """One incarnation of a job host.

    ``host_started_at_ms`` is its start time in Unix milliseconds, None if the host does not
    report it.  It distinguishes incarnations with the same ``id`` but does not order them,
    because the clock may step back.  ``machine`` is the same for all incarnations.  If the host
    ``is_draining``, ``leaves_in_ms`` is the minimum time left before it leaves; it is zero if
    the host is not draining or has not reported the time.  For ``cold_for_ms`` from when it
    wrote its record the host is slow, because it has just started or its hall was evacuated.
    """

    id: str
    machine: str
    pool: str
    address: str
    hall: str
    rack: str
    capacity: Resources
    labels: frozenset[str]
    is_draining: bool = False
    leaves_in_ms: int = 0
    host_started_at_ms: int | None = None
    cold_for_ms: float = 0

    @property
    def incarnation_id(self) -> str:
        """Return the id of this incarnation, see ``make_incarnation_id``."""
        return make_incarnation_id(self.id, self.host_started_at_ms)


def make_unknown_host(incarnation_id: str) -> UpstreamHost:
    """Make a placeholder for an incarnation that progress records name but that is not listed."""
    host_id, host_started_at_ms = split_incarnation_id(incarnation_id)
    return UpstreamHost(
        host_id,
        "",
        "",
        "",
        "",
        "",
        NO_RESOURCES,
        frozenset(),
        host_started_at_ms=host_started_at_ms,
    )
