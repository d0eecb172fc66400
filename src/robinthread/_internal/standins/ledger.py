"""What the stand-in workers did, for checking promises afterwards."""

import itertools
from collections import Counter


class Ledger:
    """Runs of each key over all workers, and broken limits.

    ``started_by`` has the id of the task that first started each key.
    """

    def __init__(self) -> None:
        self.started: Counter[str] = Counter()
        self.started_by: dict[str, str] = {}
        self.checkpointed: Counter[str] = Counter()
        self.finished: Counter[str] = Counter()
        self.refused_busy_count = 0
        self.refused_stale_count = 0
        self.started_after_deadline_count = 0
        self.cut_short_count = 0

    def list_keys_run_twice(self) -> tuple[str, ...]:
        """Return the keys that were started more than once."""
        return tuple(itertools.compress(self.started, (n > 1 for n in self.started.values())))
