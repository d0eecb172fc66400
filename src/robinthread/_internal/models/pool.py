"""A pool of hosts."""

from dataclasses import dataclass, field

from robinthread._internal.models.budget import Budget


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool; ``version`` is the log offset of the last change of it."""

    name: str
    budget: Budget = field(default_factory=Budget)
    version: int = 0
