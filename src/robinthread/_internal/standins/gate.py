"""A gate that delays the calls of a paused process."""

import asyncio
from collections.abc import Callable


class Gate:
    """While closed, delays calls; messages sent meanwhile go out when it opens.

    Models a process that is paused without noticing it: its outgoing calls
    take effect late, and replies reach it late.
    """

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._held: list[Callable[[], None]] = []

    def close(self) -> None:
        """Close the gate: the process pauses."""
        self._open.clear()

    def open(self) -> None:
        """Open the gate and send the delayed messages in order."""
        self._open.set()
        held, self._held = self._held, []
        for send in held:
            send()

    async def wait(self) -> None:
        """Wait until the gate is open."""
        await self._open.wait()

    def send_when_open(self, send: Callable[[], None]) -> None:
        """Call ``send`` now if the gate is open, or else when it opens."""
        if self._open.is_set():
            send()
        else:
            self._held.append(send)
