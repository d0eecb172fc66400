"""Timing calls to the outside."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

RecordCall = Callable[[str, str, float], None]


@contextmanager
def timed_call(record_call: RecordCall, kind: str) -> Iterator[None]:
    """Note how long a call takes, and "ok" or the name of the error that it raises."""
    began_at_s = time.monotonic()
    outcome = "ok"
    try:
        yield
    except BaseException as error:
        outcome = type(error).__name__
        raise
    finally:
        record_call(kind, outcome, time.monotonic() - began_at_s)
