"""The platform's interface for machines, as the steward uses it."""

from typing import Protocol

from robinthread._internal.models.machine import Machine


class MachineCalls(Protocol):
    """Calls for machines; each ends within a bounded time and raises ``MachineError`` on failure.

    ``holder`` names the process that gives the order, and ``token`` is its fencing token, which
    shuts out older holders.  Orders are idempotent.
    """

    async def list_machines(self) -> tuple[Machine, ...]:
        """List all machines."""

    async def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to a pool; all that runs on it ends at once."""

    async def begin_upkeep(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Start a machine's upkeep for a wave; all that runs on it ends at once."""
