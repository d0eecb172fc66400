"""The platform's log as plain functions."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from robinthread._internal.platform_log.page import LogPage

AppendFunction = Callable[[str, bytes], Awaitable[int]]
ReadFunction = Callable[[str, int, int, float], Awaitable[LogPage]]


@dataclass(frozen=True)
class LogService:
    """The two calls of the log.

    ``append(stream, data)`` returns the record's offset.
    ``read(stream, from_offset, max_records, wait_s)`` returns a page, and
    waits up to ``wait_s`` seconds where there is nothing to return yet.
    Both raise ``LogUnavailableError`` or ``LogReplyLostError``.
    """

    append: AppendFunction
    read: ReadFunction
