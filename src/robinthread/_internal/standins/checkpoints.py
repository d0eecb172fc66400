"""Checkpoints of the tasks on the stand-in's hosts: the text is the seconds of work done."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CheckpointPlan:
    """A task saves a checkpoint each ``interval_s``; to resume from one takes ``restore_s``."""

    interval_s: float
    restore_s: float


def get_done_s(checkpoint: str) -> float:
    """Return how many seconds of work a checkpoint holds."""
    return float(checkpoint or 0.0)


def get_delay_s(plan: CheckpointPlan | None, checkpoint: str) -> float:
    """Return how long a run that starts from a checkpoint takes before it works."""
    return plan.restore_s if plan is not None and checkpoint else 0.0


def make_checkpoint(plan: CheckpointPlan | None, checkpoint: str, present_s: float) -> str:
    """Return the newest checkpoint of a run that began from ``checkpoint`` ``present_s`` ago."""
    if plan is None:
        return ""
    worked_s = max(0.0, present_s - get_delay_s(plan, checkpoint))
    saved_s = worked_s // plan.interval_s * plan.interval_s
    done_s = get_done_s(checkpoint) + saved_s
    return str(done_s) if done_s else ""
