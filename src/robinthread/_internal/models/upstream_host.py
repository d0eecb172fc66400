"""A job host as it records itself."""

from dataclasses import dataclass

from robinthread._internal.models.host_life import make_life_id, split_life_id
from robinthread._internal.models.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class UpstreamHost:
    """One life of a job host.

    ``born_ms`` is when it began, in Unix milliseconds by a clock that may step back: it tells
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
    born_ms: int | None = None

    @property
    def life_id(self) -> str:
        """Return what names this life, see ``make_life_id``."""
        return make_life_id(self.id, self.born_ms)


def make_unknown_host(life_id: str) -> UpstreamHost:
    """Make the record of a life that is named in progress but not listed (yet)."""
    host_id, born_ms = split_life_id(life_id)
    return UpstreamHost(host_id, "", "", "", "", "", NO_RESOURCES, frozenset(), born_ms=born_ms)
