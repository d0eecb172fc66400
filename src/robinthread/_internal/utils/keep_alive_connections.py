"""Which of the connections kept open to an address may carry another call."""

import math
import time
from typing import Final

import pycurl

# Least time between two doubts of one address.  A service that is slow loses calls on
# kept connections all the time, and must not be met by new connections alone.
RETIRE_INTERVAL_S: Final = 1.0
# Connections idle for so long are closed, those in doubt with them: an address that is
# doubted all the time has the idle ones of so many generations open at most.
IDLE_MAX_S: Final = 10


class KeepAliveConnections:
    """Puts the connections to an address in doubt once one of them has lost a call.

    Open connections may go silent for good, without a reset, all to one address at
    once.  libcurl closes that of a lost call only, and takes the one opened first for
    the next: 20 kept connections would lose 20 calls in a row.  So connections belong
    to generations; a loss begins the next one, and older ones carry no new call.
    """

    def __init__(self) -> None:
        self._generations: dict[str, int] = {}
        self._retired_at_s: dict[str, float] = {}

    def get_generation(self, address: str) -> int:
        """Return the generation that a call to ``address`` may use now."""
        return self._generations.get(address, 0)

    def retire_generation(self, address: str, generation: int) -> None:
        """Note that a call was lost on a kept connection of a generation."""
        now_s = time.monotonic()
        is_current = generation == self.get_generation(address)
        if is_current and now_s - self._retired_at_s.get(address, -math.inf) >= RETIRE_INTERVAL_S:
            self._generations[address] = generation + 1
            self._retired_at_s[address] = now_s


class ConnectionUse:
    """The use that one call makes of a connection.

    ``sent_count`` is how often its request was begun to be sent.  libcurl sends it again by
    itself where a kept connection ends, so neither its last error nor the last answer tells
    what became of the first one.
    """

    def __init__(self, connections: KeepAliveConnections, address: str) -> None:
        self._connections = connections
        self._address = address
        self._generation = 0
        self._is_new = False
        self.sent_count = 0

    def prepare(self, curl: pycurl.Curl) -> None:
        """Have a call go out on a connection that is not in doubt."""
        self._generation = self._connections.get_generation(self._address)
        # Which scope an IPv6 address is in; has no effect on IPv4, which is all that our
        # platform speaks, but a connection is used again for calls of its own scope only.
        curl.setopt(pycurl.ADDRESS_SCOPE, self._generation)
        curl.setopt(pycurl.MAXAGE_CONN, IDLE_MAX_S)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._record_opening)
        curl.setopt(pycurl.PREREQFUNCTION, self._record_sending)

    def record_loss(self) -> None:
        """Note that no answer came; on a new connection that tells nothing of others."""
        if not self._is_new:
            self._connections.retire_generation(self._address, self._generation)

    def _record_opening(self, _descriptor: int, _purpose: int) -> int:
        self._is_new = True
        return pycurl.SOCKOPT_OK

    def _record_sending(self, *_addresses: object) -> int:
        self.sent_count += 1
        return pycurl.PREREQFUNC_OK
