"""Parsing of settings from TOML, which reports all problems at once, by key and line."""

import dataclasses
import difflib
import re
import tomllib
import typing
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from returns.result import Failure, Result, Success

from robinthread._internal.results import Fault, ResultCode
from robinthread._internal.settings.check import (
    Conflict,
    iter_conflicts,
    iter_policy_conflicts,
)
from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.utils.foreign_input import shorten

UNITS: Final = ("_s", "_ms", "_min", "_bytes", "_mb")
CLOSE_MATCH_CUTOFF: Final = 0.6

T = TypeVar("T")


@dataclass(frozen=True)
class SettingsProblem:
    """A problem in a settings file; ``line`` is 0 if the key is missing from the file."""

    key: str
    line: int
    text: str

    def __str__(self) -> str:
        location = f"line {self.line}: " if self.line else ""
        return f"{location}{self.key}: {self.text}"


def parse_settings(text: str, path: str) -> Result[DaemonSettings, Fault]:
    """Parse and check a daemon's settings file; the fault lists every problem."""
    return parse_file(DaemonSettings, text, path, iter_conflicts)


def parse_policy(text: str, path: str) -> Result[PolicySettings, Fault]:
    """Parse and check a node's policy file; the fault lists every problem."""
    return parse_file(PolicySettings, text, path, iter_policy_conflicts)


def parse_file(
    settings_type: type[T], text: str, path: str, iter_conflicts: Callable[[T], Iterable[Conflict]]
) -> Result[T, Fault]:
    """Parse a file as ``settings_type`` and check it; the fault lists every problem.

    A field of the type is a value, a table, or tables by name (``dict[str, table]``).
    """
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        message = f"{path} is not valid TOML: {shorten(str(error))}."
        return Failure(Fault(ResultCode.BAD_SETTINGS, message))
    problems = list(_iter_problems(settings_type, raw, ()))
    invalid_keys = frozenset(problem.key for problem in problems)
    settings: T = _make(settings_type, _drop_keys(raw, invalid_keys, ()))
    problems += [
        SettingsProblem(conflict.key, 0, conflict.text)
        for conflict in iter_conflicts(settings)
        if conflict.key not in invalid_keys
    ]
    if problems:
        lines = _find_lines(text)
        listed = "".join(f"\n  {_locate(problem, lines)}" for problem in problems)
        message = f"{path} has {len(problems)} faults; correct each:{listed}"
        return Failure(Fault(ResultCode.BAD_SETTINGS, message))
    return Success(settings)


def _iter_problems(
    settings_type: type, raw: dict[str, Any], path: tuple[str, ...]
) -> Iterator[SettingsProblem]:
    hints = typing.get_type_hints(settings_type)
    for key, value in raw.items():
        name = ".".join((*path, key))
        if key not in hints:
            yield SettingsProblem(name, 0, _explain_unknown(key, hints))
        elif typing.get_origin(hints[key]) is dict:
            yield from _iter_problems_by_name(hints[key], value, (*path, key))
        elif dataclasses.is_dataclass(hints[key]):
            yield from _iter_table_problems(hints[key], value, (*path, key))
        elif not _has_type(hints[key], value):
            expected = _describe_type(hints[key])
            yield SettingsProblem(name, 0, f"is {value!r}, expected {expected}")


def _iter_problems_by_name(
    hint: Any, value: Any, path: tuple[str, ...]
) -> Iterator[SettingsProblem]:
    if not isinstance(value, dict):
        yield SettingsProblem(".".join(path), 0, "is a value, expected tables by name")
        return
    for name, table in value.items():
        yield from _iter_table_problems(typing.get_args(hint)[1], table, (*path, name))


def _iter_table_problems(
    settings_type: Any, value: Any, path: tuple[str, ...]
) -> Iterator[SettingsProblem]:
    if isinstance(value, dict):
        yield from _iter_problems(settings_type, value, path)
    else:
        yield SettingsProblem(".".join(path), 0, "is a value, expected a table")


def _drop_keys(
    raw: dict[str, Any], invalid_keys: Collection[str], path: tuple[str, ...]
) -> dict[str, Any]:
    """Return ``raw`` without its invalid keys, so that the other settings are still checked."""
    remaining = {
        key: value for key, value in raw.items() if ".".join((*path, key)) not in invalid_keys
    }
    return {
        key: _drop_keys(value, invalid_keys, (*path, key)) if isinstance(value, dict) else value
        for key, value in remaining.items()
    }


def _explain_unknown(key: str, hints: dict[str, Any]) -> str:
    stem = re.sub(r"_(s|ms|min|bytes|mb|kb)$", "", key)
    for known in hints:
        if known != key and any(known == f"{stem}{unit}" for unit in ("", *UNITS)):
            return f"has the wrong unit, expected {known}"
    close = difflib.get_close_matches(key, hints, 1, CLOSE_MATCH_CUTOFF)
    return f"is unknown, did you mean {close[0]}?" if close else "is unknown"


def _has_type(hint: Any, value: Any) -> bool:
    if hint is float:
        return isinstance(value, int | float) and not isinstance(value, bool)
    if hint is int:
        return isinstance(value, int) and not isinstance(value, bool)
    if typing.get_origin(hint) is tuple:
        return isinstance(value, list) and all(isinstance(item, str) for item in value)
    return isinstance(value, hint)


def _describe_type(hint: Any) -> str:
    names = {float: "a number", int: "a whole number", str: "a text", bool: "true or false"}
    return names.get(hint, "a list of texts")


def _make(settings_type: type, raw: dict[str, Any]) -> Any:
    hints = typing.get_type_hints(settings_type)
    return settings_type(**{key: _convert(hints[key], value) for key, value in raw.items()})


def _convert(hint: Any, value: Any) -> Any:
    if dataclasses.is_dataclass(hint):
        return _make(hint, value)  # type: ignore[arg-type]
    if typing.get_origin(hint) is dict:
        settings_type = typing.get_args(hint)[1]
        return {name: _make(settings_type, table) for name, table in value.items()}
    if hint is float:
        return float(value)
    return tuple(value) if isinstance(value, list) else value


def _find_lines(text: str) -> dict[str, int]:
    """Return the line number of each dotted key, which ``tomllib`` does not report."""
    lines: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        table_header = re.match(r"\s*\[([\w.]+)\]", line)
        assignment = re.match(r"\s*([\w.]+)\s*=", line)
        if table_header:
            table = table_header[1]
            lines.setdefault(table, number)
        elif assignment:
            lines.setdefault(f"{table}.{assignment[1]}" if table else assignment[1], number)
    return lines


def _locate(problem: SettingsProblem, lines: dict[str, int]) -> SettingsProblem:
    return dataclasses.replace(problem, line=lines.get(problem.key, 0))
