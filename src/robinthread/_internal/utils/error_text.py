"""Short descriptions of exceptions for log lines."""

import traceback
from pathlib import PurePath
from typing import Any, Final

# Longest text of an exception in a log line; that of a decoding error may contain its whole input.
ERROR_TEXT_MAX: Final = 300
PACKAGE: Final = "robinthread"


def describe_error(error: BaseException) -> dict[str, Any]:
    """Return log fields with the type, the shortened text and the place of an exception.

    ``raised_at`` is the innermost module and line of this package that the exception passed.
    """
    return {"error": _get_text(error), "raised_at": _find_place(error)}


def _get_text(error: BaseException) -> str:
    try:
        text = f"{type(error).__name__}: {error}"
    except Exception:
        # The text of an exception may itself be impossible to format, such as a huge number.
        return type(error).__name__
    return text if len(text) <= ERROR_TEXT_MAX else f"{text[:ERROR_TEXT_MAX]}..."


def _find_place(error: BaseException) -> str:
    frames = [
        (PurePath(frame.f_code.co_filename), line)
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    own = [entry for entry in frames if PACKAGE in entry[0].parts]
    for path, line in reversed(own or frames):
        return f"{path.stem}:{line}"
    return ""
