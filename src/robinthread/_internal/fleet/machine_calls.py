"""Calls to the platform's machines, as the steward uses them."""

from typing import Protocol

from robinthread._internal.models.machine import Machine


class MachineCalls(Protocol):
    """Orders for machines; each raises ``MachineError`` and ends in a bounded time.

    ``holder`` names who gives the order and ``token`` fences older holders.
    Giving an order again that was carried out changes nothing.
    """

    async def list_machines(self) -> tuple[Machine, ...]:
        """List all machines."""

    async def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to a pool; everything on it ends at once."""

    async def begin_upkeep(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Begin a machine's upkeep for a wave; everything on it ends at once."""
