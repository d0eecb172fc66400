"""Record of the stand-in workers' actions, for checking guarantees afterwards."""

import itertools
from collections import Counter


class Ledger:
    """Counts of events over all workers, by task key, and of broken limits.

    ``started_by`` maps each key to the id of the task that first started it.
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
