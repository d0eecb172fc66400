"""Giving freed memory back to the system."""

import contextlib
import ctypes
import gc
from typing import Final

_M_ARENA_MAX: Final = -8


def limit_arenas() -> None:
    """Have all threads share one heap: the library's many threads would each keep one."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_ARENA_MAX, 1)


def trim_memory() -> None:
    """Give freed memory back after a large, short-lived object such as a snapshot.

    glibc keeps freed blocks otherwise; other C libraries lack the call.
    """
    gc.collect()
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
