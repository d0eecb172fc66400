"""A lane of a writer, which has at most one batch under way."""

from dataclasses import dataclass

from robinthread._internal.durable.store import WriterStamp


@dataclass
class AppendLane:
    """A writer for the store, with at most one batch under way.

    ``sent_at_s`` is when that batch was sent, by the event loop's clock; None without one.
    """

    name: str
    epoch: int = 0
    sequence: int = 0
    sent_at_s: float | None = None

    def make_stamp(self) -> WriterStamp:
        """Return the stamp of the next batch."""
        return WriterStamp(self.name, self.epoch, self.sequence)

    def begin_epoch(self) -> None:
        """Begin a new epoch, after which no earlier batch can be stored any more."""
        self.epoch += 1
        self.sequence = 0
