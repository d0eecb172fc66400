"""An order to start a run of a task."""

from dataclasses import dataclass

from robinthread._internal.models.task_key import TaskKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A run to start; ``lease_until_ms`` is the end of its lease on the host's own clock."""

    task: TaskKey
    run: int
    text: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""
