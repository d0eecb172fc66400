"""Errors of calls to the platform's store."""


class StoreError(Exception):
    """A call to the store failed."""


class StoreRefusedError(StoreError):
    """The store refused the call and changed nothing; the call may be retried later.

    ``retry_after_s`` is when it is expected to succeed, 0 if unknown.
    """

    def __init__(self, message: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class StoreNoAnswerError(StoreError):
    """No response arrived: the call may have taken effect, or may do so later."""


class StoreRejectedError(StoreError):
    """The store rejected the call itself, such as a record over its limits, and changed nothing.

    The same call is rejected again.
    """


class StoreConditionError(StoreError):
    """The append was rejected because the partition does not end at the expected offset."""

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition does not end at the expected offset: it ends at {end}")
        self.end = end


class StoreFencedError(StoreError):
    """The append was rejected because a writer of the same name has a newer epoch."""


class StoreSequenceError(StoreError):
    """The append was rejected because an earlier append of the same writer is missing."""

    def __init__(self, wanted: int) -> None:
        super().__init__(f"the store expects sequence number {wanted}")
        self.wanted = wanted


class HistoryGoneError(StoreError):
    """The requested records have expired; ``first`` is the oldest retained offset."""

    def __init__(self, first: int) -> None:
        super().__init__(
            f"the requested records have expired: the oldest retained offset is {first}"
        )
        self.first = first
