"""How a call to the platform's store may fail."""


class StoreError(Exception):
    """A call to the store failed."""


class StoreRefusedError(StoreError):
    """The store says that it did nothing; the call may be made again later."""


class StoreNoAnswerError(StoreError):
    """No answer came: the call may have been done, or may be done later."""


class StoreConditionError(StoreError):
    """Nothing was done, for the partition does not end where the call expected."""

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition ends at {end}")
        self.end = end


class StoreFencedError(StoreError):
    """Nothing was done, for a newer writer of the same name has been seen."""


class StoreSequenceError(StoreError):
    """Nothing was done, for an earlier append of the same writer is missing."""

    def __init__(self, wanted: int) -> None:
        super().__init__(f"the next sequence number is {wanted}")
        self.wanted = wanted


class HistoryGoneError(StoreError):
    """The records asked for have expired; ``first`` is the oldest one kept."""

    def __init__(self, first: int) -> None:
        super().__init__(f"the oldest record kept is {first}")
        self.first = first
