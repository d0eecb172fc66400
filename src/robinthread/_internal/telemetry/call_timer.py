"""Timing of calls to other services."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

RecordCall = Callable[[str, str, float], None]


@contextmanager
def timed_call(record_call: RecordCall, kind: str) -> Iterator[None]:
    """Time a call; pass ``record_call`` its kind, its outcome and its duration in seconds.

    The outcome is "ok" or the class name of the exception that the call raises.
    """
    began_at_s = time.monotonic()
    outcome = "ok"
    try:
        yield
    except BaseException as error:
        outcome = type(error).__name__
        raise
    finally:
        record_call(kind, outcome, time.monotonic() - began_at_s)
