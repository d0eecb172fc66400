"""Stand-in for the platform's host list, which lags behind changes."""

import asyncio

from robinthread._internal.follow.host_list import ListedHost


class HostListStandin:
    """A host list whose responses show the state of ``lag_s`` seconds ago."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.is_out = False
        self._lag_s = lag_s
        self._versions: list[tuple[float, tuple[ListedHost, ...]]] = [(0.0, ())]

    def set_hosts(self, hosts: tuple[ListedHost, ...]) -> None:
        """Replace the list; readers see the change after the lag."""
        visible_at_s = asyncio.get_running_loop().time() + self._lag_s
        self._versions.append((visible_at_s, hosts))

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return the newest list that is visible; raise ``ConnectionError`` in an outage."""
        if self.is_out:
            raise ConnectionError("the host list is unavailable")
        now_s = asyncio.get_running_loop().time()
        return [hosts for at_s, hosts in self._versions if at_s <= now_s][-1]
