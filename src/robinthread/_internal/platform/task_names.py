"""Names of tasks on the wire: ID.OCCURRENCE.STEP.INDEX."""

from typing import Final

from robinthread._internal.models.task_key import TaskKey

# Numbers of a task's name that records can hold.
TASK_NUMBER_MAX: Final = 2**53


def format_task(key: TaskKey) -> str:
    """Return the name of a task."""
    return f"{key.job_id}.{key.occurrence}.{key.step}.{key.index}"


def parse_task(name: str) -> TaskKey:
    """Parse the name of a task; raise ``ValueError`` if it is malformed."""
    job_id, occurrence, step, index = name.rsplit(".", 3)
    key = TaskKey(job_id, int(occurrence), int(step), int(index))
    if not (
        0 <= key.occurrence <= TASK_NUMBER_MAX
        and 0 <= key.step <= TASK_NUMBER_MAX
        and 0 <= key.index <= TASK_NUMBER_MAX
    ):
        raise ValueError("a number of the task's name is out of range")
    return key
