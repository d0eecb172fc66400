"""Decides which keep-alive connections to an address may carry another call."""

import math
import time
from typing import Final

import pycurl

# Minimum interval between two retirements for one address.  Calls to a slow service are lost on
# keep-alive connections all the time and must not open a new connection each.
RETIRE_INTERVAL_S: Final = 1.0
# Idle time after which connections, including retired ones, are closed.  An address with a
# retirement every RETIRE_INTERVAL_S has the idle connections of at most
# IDLE_MAX_S / RETIRE_INTERVAL_S generations open.
IDLE_MAX_S: Final = 10


class KeepAliveConnections:
    """Retires the open connections to an address once one of them has lost a call.

    All open connections to an address may become unresponsive at once and permanently, without
    a reset.  libcurl closes only the connection of a lost call and uses the oldest one for the
    next call: 20 keep-alive connections would lose 20 calls in a row.  So connections belong
    to generations; a loss starts the next generation, and older ones carry no new calls.
    """

    def __init__(self) -> None:
        self._generations: dict[str, int] = {}
        self._retired_at_s: dict[str, float] = {}
        self._opened_at_s: dict[str, float] = {}

    def get_generation(self, address: str) -> int:
        """Return the generation of connections that a new call to ``address`` uses."""
        return self._generations.get(address, 0)

    def record_opening(self, address: str) -> None:
        """Record that a connection to an address is being opened."""
        self._opened_at_s[address] = time.monotonic()

    def get_opened_at_s(self, address: str) -> float | None:
        """Return when the last connection to an address was opened; None if there is none."""
        return self._opened_at_s.get(address)

    def retire_generation(self, address: str, generation: int) -> None:
        """Start the next generation after a call was lost on a keep-alive connection.

        There is no effect if ``generation`` is not the current one, or if the last retirement
        for the address was less than RETIRE_INTERVAL_S ago.
        """
        now_s = time.monotonic()
        is_current = generation == self.get_generation(address)
        if is_current and now_s - self._retired_at_s.get(address, -math.inf) >= RETIRE_INTERVAL_S:
            self._generations[address] = generation + 1
            self._retired_at_s[address] = now_s


class ConnectionUse:
    """Tracks the connection that one call uses and how often its request is sent.

    ``sent_count`` is the number of times that sending the request began.  libcurl sends it again
    by itself if a keep-alive connection ends, so neither the last error nor the last response
    shows the outcome of the first attempt.
    """

    def __init__(self, connections: KeepAliveConnections, address: str) -> None:
        self._connections = connections
        self._address = address
        self._generation = 0
        self._is_new = False
        self.sent_count = 0

    def prepare(self, curl: pycurl.Curl) -> None:
        """Restrict a call to connections of the current generation."""
        self._generation = self._connections.get_generation(self._address)
        # The scope of an IPv6 address.  It has no effect on IPv4, the only protocol of the
        # platform, but libcurl reuses a connection only for calls of the same scope.
        curl.setopt(pycurl.ADDRESS_SCOPE, self._generation)
        curl.setopt(pycurl.MAXAGE_CONN, IDLE_MAX_S)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._record_opening)
        curl.setopt(pycurl.PREREQFUNCTION, self._record_sending)

    @property
    def connected_at_s(self) -> float | None:
        """Return when the connection of the call had been opened; None if it was opened for it."""
        return None if self._is_new else self._connections.get_opened_at_s(self._address)

    def record_loss(self) -> None:
        """Record a lost response; on a new connection, it says nothing about the others."""
        if not self._is_new:
            self._connections.retire_generation(self._address, self._generation)

    def _record_opening(self, _descriptor: int, _purpose: int) -> int:
        self._is_new = True
        self._connections.record_opening(self._address)
        return pycurl.SOCKOPT_OK

    def _record_sending(self, *_addresses: object) -> int:
        self.sent_count += 1
        return pycurl.PREREQFUNC_OK
