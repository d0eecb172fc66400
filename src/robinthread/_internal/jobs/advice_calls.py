"""Interface of the advice service, which decides on which hosts a step may run."""

from collections.abc import Sequence
from typing import Protocol

from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.step_key import StepKey


class AdviceError(Exception):
    """The call returned no usable advice; it is safe to repeat."""


class AdviceCalls(Protocol):
    """Calls to the advice service.

    The service processes one call per node at a time.  Each call ends within a bounded time.
    """

    async def advise(self, step: StepKey, host_ids: Sequence[str], timeout_s: float) -> HostAdvice:
        """Return which of the given hosts may run a step; raise ``AdviceError`` on failure."""
