"""Slots for concurrent orders to a host."""

import asyncio
from collections import defaultdict


class OrderSlots:
    """Slots whose number may change while they are held; those who wait are served in order."""

    def __init__(self, count: int) -> None:
        self._semaphore = asyncio.Semaphore(count)
        self._count = count
        # Held slots that close once they are released.
        self._surplus_count = 0

    @property
    def are_all_held(self) -> bool:
        """Tell whether the next one would have to wait."""
        return self._semaphore.locked()

    async def __aenter__(self) -> None:
        await self.acquire()

    async def __aexit__(self, *_error: object) -> None:
        self.release()

    async def acquire(self) -> None:
        """Wait for a slot and hold it."""
        await self._semaphore.acquire()

    def release(self) -> None:
        """Release a held slot."""
        if self._surplus_count:
            self._surplus_count -= 1
        else:
            self._semaphore.release()

    def resize(self, count: int) -> None:
        """Change the number of slots; fewer slots take effect as held ones are released."""
        added_count, self._count = count - self._count, count
        kept_count = min(max(added_count, 0), self._surplus_count)
        self._surplus_count += max(-added_count, 0) - kept_count
        for _ in range(added_count - kept_count):
            self._semaphore.release()


def make_slots(count: int) -> defaultdict[str, OrderSlots]:
    """Return ``count`` slots for concurrent orders to each host, by its id."""
    return defaultdict(lambda: OrderSlots(count))
