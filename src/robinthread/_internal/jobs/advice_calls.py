"""Calls to the service that says which hosts may run a step."""

from collections.abc import Sequence
from typing import Protocol

from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.step_key import StepKey


class AdviceError(Exception):
    """No usable answer came; asking again does no harm."""


class AdviceCalls(Protocol):
    """The service answers one call of a node at a time; each ends in a bounded time."""

    async def advise(self, step: StepKey, host_ids: Sequence[str], timeout_s: float) -> HostAdvice:
        """Ask which of some hosts may run a step; raise ``AdviceError``."""
