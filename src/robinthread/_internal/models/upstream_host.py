"""A job host as it records itself."""

from dataclasses import dataclass

from robinthread._internal.models.resources import Resources


@dataclass(frozen=True, slots=True)
class UpstreamHost:
    """One life of a job host; ``id`` is found on no other life.

    ``machine`` is the same over all lives.  ``leaves_in_ms`` is the least time
    that is left where the host ``is_draining`` and has said so, else zero.
    """

    id: str
    machine: str
    pool: str
    address: str
    hall: str
    rack: str
    room: Resources
    labels: frozenset[str]
    is_draining: bool = False
    leaves_in_ms: int = 0
