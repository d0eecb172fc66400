"""The open connections between callers and targets, and which of them are silent."""

import asyncio
from typing import Final

# Connections that are idle for longer than this are closed, as real clients do.
IDLE_MAX_S: Final = 10.0


class OpenConnections:
    """Connections that callers keep open to addresses.

    ``silence`` makes all open connections silent permanently, without a reset; ``silences``
    counts its calls.  A caller uses a silent connection until a call on it times out, and
    then opens a new one.
    """

    def __init__(self) -> None:
        self.silences = 0
        self._used_at_s: dict[tuple[str, str], float] = {}
        self._silent: set[tuple[str, str]] = set()

    def use(self, caller: str, target: str) -> bool:
        """Use the connection of a caller to a target, or a new one; return whether it is silent."""
        now_s = asyncio.get_running_loop().time()
        route = (caller, target)
        if now_s - self._used_at_s.get(route, now_s) > IDLE_MAX_S:
            self._silent.discard(route)
        self._used_at_s[route] = now_s
        return route in self._silent

    def silence(self) -> None:
        """Make all open connections silent."""
        self.silences += 1
        self._silent |= self._used_at_s.keys()

    def replace_silent(self, caller: str, target: str) -> None:
        """Replace a silent connection by a new one, after a call on it has timed out."""
        self._silent.discard((caller, target))

    def close(self, name: str) -> None:
        """Close all connections from and to a process that ends."""
        for route in [route for route in self._used_at_s if name in route]:
            del self._used_at_s[route]
            self._silent.discard(route)
