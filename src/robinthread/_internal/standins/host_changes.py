"""What the stand-in's hosts have said of themselves, and when they ended."""

import asyncio
import enum
from collections import defaultdict
from dataclasses import dataclass

from robinthread._internal.models.upstream_host import UpstreamHost


class HostState(enum.Enum):
    """What a host has said of itself; ``ODD`` while another writer has changed its entry."""

    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"
    ODD = "odd"


@dataclass(frozen=True)
class HostChange:
    """A change of a host's state, at a time of the event loop's clock in seconds."""

    at_s: float
    pool: str
    state: HostState


class HostChangeLog:
    """The changes of all hosts, by host id and in order, in ``by_host``."""

    def __init__(self) -> None:
        self.by_host: dict[str, list[HostChange]] = defaultdict(list)

    def record(self, record: UpstreamHost, state: HostState) -> None:
        """Note a change of a host's state."""
        change = HostChange(asyncio.get_running_loop().time(), record.pool, state)
        self.by_host[record.id].append(change)

    def record_listed(self, record: UpstreamHost) -> None:
        """Note what a host says of itself."""
        self.record(record, HostState.DRAINING if record.is_draining else HostState.READY)

    def get_state(self, host_id: str) -> HostState:
        """Return the newest state of a host."""
        return self.by_host[host_id][-1].state
