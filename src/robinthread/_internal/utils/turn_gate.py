"""A gate that shares the turns of the event loop."""

import asyncio
from collections import deque


class TurnGate:
    """Lets one waiting task through in each turn of the event loop, in the order of arrival."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for a turn."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        if not self._waiting:
            loop.call_soon(self._give_turn)
        self._waiting.append(turn)
        await turn

    def _give_turn(self) -> None:
        turn = self._waiting.popleft()
        if not turn.done():
            turn.set_result(None)
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._give_turn)
