"""Reading of files whose paths operators give."""

from pathlib import Path

from robinthread._internal.results import FaultError, ResultCode, make_fault


def read_text(path: str) -> str:
    """Return the text of an operator's file; raise ``FaultError`` if it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, f"{path}: {error}")) from error
