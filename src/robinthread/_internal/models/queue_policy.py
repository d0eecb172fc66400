"""Configuration of a queue."""

from dataclasses import dataclass

from robinthread._internal.utils.foreign_input import DurationMs


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the advice service, which decides which hosts may run a step.

    A response takes ``base_ms`` plus ``per_host_ms`` for each host in the request.  Its
    tickets are valid for ``valid_ms``.
    """

    base_ms: DurationMs
    per_host_ms: DurationMs
    valid_ms: DurationMs


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """A queue: its address for callers, the pool that runs its jobs, and scheduling parameters.

    Queues with a lower ``priority`` go first.  A task may fail ``attempts_max`` times.  A job
    is on time if it takes at most ``stretch`` times its longest chain of work plus
    ``latency_target_ms``.  If ``is_public`` is not set, callers need a workspace's key.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    attempts_max: int = 1
    stretch: float = 1.0
    latency_target_ms: int = 0
    advice: AdvicePolicy | None = None
    is_public: bool = True
