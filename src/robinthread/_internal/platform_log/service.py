"""Interface of the platform's log, as plain functions."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from robinthread._internal.platform_log.page import LogPage

AppendFunction = Callable[[str, bytes], Awaitable[int]]
ReadFunction = Callable[[str, int, int, float], Awaitable[LogPage]]


@dataclass(frozen=True)
class LogService:
    """Functions that append to and read from a stream of the log.

    ``append(stream, data)`` returns the record's offset.
    ``read(stream, from_offset, max_records, wait_s)`` returns a page.  If the stream has no
    record at ``from_offset`` yet, it waits for one for up to ``wait_s`` seconds.
    Both raise ``LogUnavailableError`` or ``LogReplyLostError``.
    """

    append: AppendFunction
    read: ReadFunction
