"""What the connections of a listener hold of a process, and which of them is closed first."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from tornado.iostream import IOStream

from robinthread._internal.utils.listener_limits import CONNECTION_BYTES, ListenerLimits

# Part of a limit that is kept once the limit has been exceeded, so that connections are closed in
# groups: choosing them takes time in proportion to all.
KEPT_SHARE: Final = 7 / 8

_moments = itertools.count()


@dataclass(eq=False)
class HeldConnection:
    """An open connection and what it holds.

    ``moment`` orders connections by their last progress.  ``is_reading`` is set while a request
    has not been read whole, and ``has_head`` once its head has.  ``is_used`` is set once a request
    was answered.
    """

    stream: IOStream
    held_bytes: int = CONNECTION_BYTES
    is_reading: bool = True
    has_head: bool = False
    is_used: bool = False
    is_closed: bool = False
    moment: int = field(default_factory=lambda: next(_moments))


class ConnectionBudget:
    """Counts the bytes that connections hold, and chooses those to be closed."""

    def __init__(self) -> None:
        self._connections: set[HeldConnection] = set()
        self.held_bytes = 0

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: HeldConnection) -> None:
        """Add a connection that has been opened."""
        self._connections.add(connection)
        self.held_bytes += connection.held_bytes

    def remove(self, connection: HeldConnection) -> None:
        """Remove a connection that has been closed."""
        if connection in self._connections:
            self._connections.discard(connection)
            self.held_bytes -= connection.held_bytes
        connection.is_closed = True

    def hold(self, connection: HeldConnection, held_bytes: int) -> None:
        """Set what a connection holds."""
        if connection in self._connections:
            self.held_bytes += held_bytes - connection.held_bytes
            connection.held_bytes = held_bytes
            connection.moment = next(_moments)

    def take_for_bytes(self, limits: ListenerLimits) -> list[HeldConnection]:
        """Remove and return the connections to close if too many bytes are held.

        Those that hold most go first, since ordinary requests are small, and of these the one that
        has made no progress for longest.
        """
        if self.held_bytes <= limits.read_max_bytes:
            return []
        kept_bytes = limits.read_max_bytes * KEPT_SHARE
        return self._take(
            lambda connection: (-connection.held_bytes, connection.moment),
            lambda: self.held_bytes > kept_bytes,
        )

    def take_for_count(self, limits: ListenerLimits, others: int) -> list[HeldConnection]:
        """Remove and return the connections to close if these and ``others`` are too many.

        Those go first on which no request was answered yet, and of these the one that has made no
        progress for longest.
        """
        if len(self) + others <= limits.connections_max:
            return []
        kept = limits.connections_max * KEPT_SHARE
        return self._take(
            lambda connection: (connection.is_used, connection.moment),
            lambda: len(self) > kept,
        )

    def _take(
        self,
        rank: Callable[[HeldConnection], tuple[float, int]],
        is_too_much: Callable[[], bool],
    ) -> list[HeldConnection]:
        readers = [connection for connection in self._connections if connection.is_reading]
        taken = []
        for connection in sorted(readers, key=rank):
            if not is_too_much():
                break
            self.remove(connection)
            taken.append(connection)
        return taken
