"""What the configuration says of a queue."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Limits of the service that says which hosts may run a step.

    An answer takes ``base_ms`` and ``per_host_ms`` for each host asked about,
    and its tickets hold for ``valid_ms``.
    """

    base_ms: int
    per_host_ms: int
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """A queue: where callers reach it, which pool runs its jobs, and how.

    The lowest ``priority`` goes first.  A task may fail ``attempts_max`` times.
    A job is on time within ``stretch`` times its longest chain of work plus
    ``latency_target_ms``.  One that is not ``is_public`` asks callers for a workspace's key.
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
