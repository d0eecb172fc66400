"""A gate that holds a frozen process's calls."""

import asyncio
from collections.abc import Callable


class Gate:
    """While closed, calls wait; what was sent meanwhile goes out when it opens.

    Stands for a process that is paused and does not know it: its calls to the
    outside take effect late, and its replies arrive late.
    """

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._held: list[Callable[[], None]] = []

    def close(self) -> None:
        """Freeze."""
        self._open.clear()

    def open(self) -> None:
        """Thaw, and let go of what was held."""
        self._open.set()
        held, self._held = self._held, []
        for send in held:
            send()

    async def wait(self) -> None:
        """Wait until open."""
        await self._open.wait()

    def send_when_open(self, send: Callable[[], None]) -> None:
        """Send now, or when the gate opens."""
        if self._open.is_set():
            send()
        else:
            self._held.append(send)
