"""A job host as it records itself."""

from dataclasses import dataclass

from robinthread._internal.models.host_incarnation import make_incarnation_id, split_incarnation_id
from robinthread._internal.models.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class UpstreamHost:
    """One life of a job host.

    ``host_started_at_ms`` is when it began, in Unix milliseconds by a clock that may step back:
    it tells
    lives under one ``id`` apart, and does not order them.  None where the host does not say it.
    ``machine`` is the same over all lives.  ``leaves_in_ms`` is the least time
    that is left where the host ``is_draining`` and has said so, else zero.
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

    @property
    def incarnation_id(self) -> str:
        """Return what names this life, see ``make_incarnation_id``."""
        return make_incarnation_id(self.id, self.host_started_at_ms)


def make_unknown_host(incarnation_id: str) -> UpstreamHost:
    """Make the record of a life that is named in progress but not listed (yet)."""
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
