"""A job host of a pool, as its owner sees it."""

from robinthread._internal.jobs.run import Run
from robinthread._internal.models.resources import NO_RESOURCES, Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost


class Host:
    """A host: what runs there and how long its lease may reach.

    Times are of the event loop's clock, in seconds.  ``lease_over_at_s`` is
    when everything that was ever ordered there has surely lapsed.  Ends up to
    ``processed`` have been taken in, those up to ``acknowledged`` are recorded;
    ``processed_batch`` is the batch of records that closes the gap.
    """

    def __init__(self, record: UpstreamHost) -> None:
        self.record = record
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        self.used: Resources = NO_RESOURCES
        self.acknowledged = 0
        self.processed = 0
        self.processed_batch = 0
        self.clock_ms: int | None = None
        self.clock_read_at_s = 0.0
        self.lease_over_at_s = 0.0
        self.last_answer_at_s = 0.0
        self.is_fenced = False
        self.is_answering = False
        self.is_vacating = False
        self.room_rejected_until_s = 0.0
        self.unhealthy_until_s = 0.0
        self.draining_since_s: float | None = None

    @property
    def id(self) -> str:
        """Return the id of the host's life."""
        return self.record.id

    @property
    def free(self) -> Resources:
        """Return the room that is left."""
        return self.record.room - self.used

    def add_run(self, run: Run, room: Resources) -> None:
        """Take room for a run."""
        self.runs[run.key] = run
        self.used += room

    def remove_run(self, run: Run, room: Resources) -> None:
        """Give a run's room back."""
        if self.runs.pop(run.key, None) is not None:
            self.used -= room

    def may_take_work(self, now_s: float) -> bool:
        """Tell whether new work may be placed here."""
        return (
            self.is_fenced
            and self.is_answering
            and not self.record.is_draining
            and not self.is_vacating
            and now_s >= self.room_rejected_until_s
            and now_s >= self.unhealthy_until_s
        )
