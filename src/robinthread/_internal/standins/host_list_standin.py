"""Stand-in for the platform's host list, which lags."""

import asyncio

from robinthread._internal.follow.host_list import ListedHost


class HostListStandin:
    """A host list whose answers are ``lag_s`` seconds old."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.is_out = False
        self._lag_s = lag_s
        self._versions: list[tuple[float, tuple[ListedHost, ...]]] = [(0.0, ())]

    def set_hosts(self, hosts: tuple[ListedHost, ...]) -> None:
        """Change the list; readers see it after the lag."""
        visible_at_s = asyncio.get_running_loop().time() + self._lag_s
        self._versions.append((visible_at_s, hosts))

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return the newest list that is visible by now."""
        if self.is_out:
            raise ConnectionError("the host list is out")
        now_s = asyncio.get_running_loop().time()
        return [hosts for at_s, hosts in self._versions if at_s <= now_s][-1]
