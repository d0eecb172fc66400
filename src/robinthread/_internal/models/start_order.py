"""An order to start a run of a task."""

from dataclasses import dataclass
from typing import Final

from robinthread._internal.models.task_key import TaskKey

# How long the response to a start is awaited; most hosts respond within a few milliseconds.
START_TIMEOUT_S: Final = 0.4


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A run to start; ``lease_until_ms`` is the end of its lease on the host's own clock.

    The host's response is awaited for ``timeout_s``.
    """

    task: TaskKey
    run: int
    text: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""
    timeout_s: float = START_TIMEOUT_S
