"""Validation and conversion of the argument values that ``fire`` passes."""

from typing import Any

from robinthread._internal.results import FaultError, ResultCode, make_fault


def as_text(name: str, value: Any) -> str:
    """Return a non-empty text; ``fire`` parses names such as 07 as numbers."""
    if value is True or value is None or str(value) == "":
        raise _make_error(f"--{name} needs a value")
    return str(value)


def as_count(name: str, value: Any) -> int:
    """Return a whole number of at least 0."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise _make_error(f"--{name} is {value!r}, expected a whole number of at least 0")
    return value


def as_seconds(name: str, value: Any) -> float:
    """Return a number of seconds of at least 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise _make_error(f"--{name} is {value!r}, expected a number of seconds of at least 0")
    return float(value)


def as_names(name: str, value: Any) -> list[str]:
    """Return names given as a single name, as a,b or as a list."""
    if isinstance(value, bool | dict):
        raise _make_error(f"--{name} is {value!r}, expected names as a,b")
    if isinstance(value, list | tuple):
        return [str(item) for item in value]
    return [part for part in str(value).split(",") if part]


def as_floors(name: str, value: Any) -> dict[str, int]:
    """Return minimum numbers by name, given as kandy=3,matale=2."""
    parts = [part.partition("=") for part in as_names(name, value)]
    if any(not key or not count.isdigit() for key, _, count in parts):
        raise _make_error(f"--{name} is {value!r}, expected floors as kandy=3,matale=2")
    return {key: int(count) for key, _, count in parts}


def _make_error(error_text: str) -> FaultError:
    return FaultError(make_fault(ResultCode.BAD_ARGUMENT, error_text))
