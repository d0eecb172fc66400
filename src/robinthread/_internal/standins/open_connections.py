"""Which callers have connections open to whom, and which of these have gone silent."""

import asyncio
from typing import Final

# Connections that were idle for so long are closed, as real clients do.
IDLE_MAX_S: Final = 10.0


class OpenConnections:
    """Connections that callers keep open to addresses.

    All that are open may go silent for good, without a reset: ``silences`` counts how often.
    A caller goes on using them until a call there has had no answer in time, and then opens
    new ones.
    """

    def __init__(self) -> None:
        self.silences = 0
        self._used_at_s: dict[tuple[str, str], float] = {}
        self._silent: set[tuple[str, str]] = set()

    def use(self, caller: str, target: str) -> bool:
        """Have a caller use a connection, a new one where none is open; tell if it is silent."""
        now_s = asyncio.get_running_loop().time()
        route = (caller, target)
        if now_s - self._used_at_s.get(route, now_s) > IDLE_MAX_S:
            self._silent.discard(route)
        self._used_at_s[route] = now_s
        return route in self._silent

    def silence(self) -> None:
        """Have all open connections go silent."""
        self.silences += 1
        self._silent |= self._used_at_s.keys()

    def replace_silent(self, caller: str, target: str) -> None:
        """Note that a caller has lost a call in silence: it opens a new connection next."""
        self._silent.discard((caller, target))

    def close(self, name: str) -> None:
        """Close all connections from and to one that ends."""
        for route in [route for route in self._used_at_s if name in route]:
            del self._used_at_s[route]
            self._silent.discard(route)
