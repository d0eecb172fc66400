"""A pool of hosts."""

from dataclasses import dataclass, field

from robinthread._internal.models.budget import Budget


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool; ``version`` is the log offset of its last change."""

    name: str
    budget: Budget = field(default_factory=Budget)
    version: int = 0
