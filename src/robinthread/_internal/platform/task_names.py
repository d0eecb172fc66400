"""Names of tasks on the wire: ID.OCCURRENCE.STEP.INDEX."""

from robinthread._internal.models.task_key import TaskKey


def format_task(key: TaskKey) -> str:
    """Return the name of a task."""
    return f"{key.job_id}.{key.occurrence}.{key.step}.{key.index}"


def parse_task(name: str) -> TaskKey:
    """Parse the name of a task; raise ``ValueError`` if it is malformed."""
    job_id, occurrence, step, index = name.rsplit(".", 3)
    return TaskKey(job_id, int(occurrence), int(step), int(index))
