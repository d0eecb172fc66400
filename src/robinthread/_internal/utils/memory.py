"""Limits on the memory that the C library's allocator retains."""

import contextlib
import ctypes
import gc
from typing import Final

_M_ARENA_MAX: Final = -8


def limit_arenas() -> None:
    """Make all threads share one heap; else each of a library's many threads retains one."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_ARENA_MAX, 1)


def trim_memory() -> None:
    """Return freed memory to the system after a large, short-lived object such as a snapshot."""
    gc.collect()
    trim_heap()


def trim_heap() -> None:
    """Return freed memory to the system without a garbage collection.

    glibc retains freed blocks otherwise; other C libraries lack the call.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
