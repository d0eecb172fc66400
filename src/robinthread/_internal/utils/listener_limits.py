"""Limits on what the clients of a listener may take of a process: memory and descriptors."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

BYTES_PER_MIB: Final = 1024 * 1024
# Part of a process's memory for what its listeners hold of requests that are being read.  The rest
# is for the process itself, and for the bytes of connections that the system has not passed on.
READ_SHARE: Final = 1 / 4
# Descriptors of a process that are reserved for files.
FILES_RESERVED: Final = 200
# Part of a process's descriptors that its listeners have at least.
CONNECTIONS_SHARE_MIN: Final = 1 / 4
# Memory that an open connection takes while nothing is sent.
CONNECTION_BYTES: Final = 10 * 1024
# Largest header of a request, without its first line.
HEADER_MAX_BYTES: Final = 16_384
# Largest first line of a request.
FIRST_LINE_MAX_BYTES: Final = 4_096
# Largest body of a request.
BODY_MAX_BYTES: Final = 262_144
CONNECTIONS_MIN: Final = 16


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listener.

    ``connections_max`` is how many connections may be open, and ``read_max_bytes`` how much they
    may hold together of requests that are not answered yet.
    """

    connections_max: int = 1_000
    read_max_bytes: int = 16 * BYTES_PER_MIB
    body_max_bytes: int = BODY_MAX_BYTES
    header_max_bytes: int = HEADER_MAX_BYTES

    @property
    def head_max_bytes(self) -> int:
        """Return the largest size of a request without its body."""
        return self.header_max_bytes + FIRST_LINE_MAX_BYTES


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of a process, and the descriptors that its own calls may take.

    The defaults are those of the published example.
    """

    memory_mb: float = 300
    fds_max: int = 4_100

    def share(self, memory_share: float, fds_share: float, own_fds: int) -> ListenerLimits:
        """Return the limits of a listener with these shares of what all listeners have.

        ``own_fds`` is the number of descriptors that the process's own calls may take.
        """
        read_bytes = self.memory_mb * BYTES_PER_MIB * READ_SHARE
        left_fds = self.fds_max - FILES_RESERVED - own_fds
        fds = max(left_fds, self.fds_max * CONNECTIONS_SHARE_MIN)
        return ListenerLimits(
            max(int(fds * fds_share), CONNECTIONS_MIN),
            max(int(read_bytes * memory_share), 2 * BODY_MAX_BYTES),
        )


def _make_empty_body(status: int) -> bytes:
    return b""


def _ignore(outcome: str) -> None:
    pass


@dataclass(frozen=True, slots=True)
class ListenerPolicy:
    """What a listener allows, and how it refuses what goes beyond.

    ``get_limits`` is called for each request, so that a new configuration holds at once.
    ``make_body`` returns the JSON body of a refusal by its status.  ``note`` is called with the
    outcome of each refusal: "body_too_large", "memory" or "connections".
    """

    get_limits: Callable[[], ListenerLimits] = ListenerLimits
    make_body: Callable[[int], bytes] = _make_empty_body
    note: Callable[[str], None] = _ignore
