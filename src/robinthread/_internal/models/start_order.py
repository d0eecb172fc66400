"""An order to start a run of a task."""

from dataclasses import dataclass

from robinthread._internal.models.task_key import TaskKey


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A run of a task; ``lease_until_ms`` is a time on the host's own clock."""

    task: TaskKey
    run: int
    text: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""
