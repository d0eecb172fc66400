"""Compatibility check of an operator's copy of the schema with the built-in one."""

import re
from pathlib import Path

from robinthread._internal.operators import robinthread_pb2 as pb
from robinthread._internal.results import FaultError, ResultCode, make_fault

_MESSAGE = re.compile(r"^message\s+(\w+)\s*\{(.*?)\}", re.MULTILINE | re.DOTALL)
_FIELD = re.compile(
    r"(?:^|;)\s*(?:repeated\s+|map<[^>]*>\s+|[\w.]+\s+)+?(\w+)\s*=\s*(\d+)\s*;", re.M
)
_METHOD = re.compile(r"\brpc\s+(\w+)\s*\(")


def read_schema() -> str:
    """Return the text of the schema that this build implements."""
    return Path(__file__).with_name("robinthread.proto").read_text(encoding="utf-8")


def check_schema(text: str, source: str) -> None:
    """Raise ``FaultError`` unless this build has all messages, fields and methods in ``text``.

    Fields must have the same numbers, as these identify them on the wire.  What only this build
    defines is compatible.  ``source`` names the origin of ``text`` in the error.
    """
    problems = [*_list_message_problems(text), *_list_method_problems(text)]
    if problems:
        error_text = f"{source} differs from this build: {'; '.join(problems)}"
        raise FaultError(make_fault(ResultCode.SCHEMA_MISMATCH, error_text))


def _list_message_problems(text: str) -> list[str]:
    problems = []
    ours = pb.DESCRIPTOR.message_types_by_name
    for name, body in _MESSAGE.findall(_strip_comments(text)):
        if name not in ours:
            problems.append(f"message {name} is unknown")
            continue
        numbers = {field.name: field.number for field in ours[name].fields}
        problems += [
            f"{name}.{field} = {number} does not match"
            for field, number in _FIELD.findall(body)
            if numbers.get(field) != int(number)
        ]
    return problems


def _list_method_problems(text: str) -> list[str]:
    ours = pb.DESCRIPTOR.services_by_name["Operators"].methods_by_name
    theirs = _METHOD.findall(_strip_comments(text))
    if not theirs:
        return ["it defines no method"]
    return [f"method {name} is unknown" for name in theirs if name not in ours]


def _strip_comments(text: str) -> str:
    return re.sub(r"//[^\n]*", "", text)
