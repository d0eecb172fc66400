"""Variants of a deployment with one changed value."""

import dataclasses
from typing import Any

from robinthread._internal.experiments.deployment import Deployment
from robinthread._internal.experiments.deployment_file import iter_deployment_conflicts
from robinthread._internal.results import FaultError, ResultCode, make_fault


def make_variant(deployment: Deployment, key: str, value: str) -> Deployment:
    """Return ``deployment`` with ``value`` at a dotted key; raise ``FaultError`` if invalid."""
    try:
        changed = _replace_value(deployment, key.split("."), value)
    except (AttributeError, KeyError, ValueError) as error:
        text = f"--vary={key}: no such key in the file, or {value} is not a valid value for it"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, text)) from error
    faults = [f"{conflict.key}: {conflict.text}" for conflict in iter_deployment_conflicts(changed)]
    if faults:
        text = f"--vary={key}={value}: {'; '.join(faults)}"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, text))
    return changed


def _replace_value(part: Any, path: list[str], value: str) -> Any:
    """Return ``part`` with ``value`` at a path, converted to the type of the old value."""
    name, rest = path[0], path[1:]
    old_value = part[name] if isinstance(part, dict) else getattr(part, name)
    if rest:
        changed = _replace_value(old_value, rest, value)
    elif isinstance(old_value, int | float | str):
        changed = type(old_value)(value)
    else:
        raise ValueError(name)
    return part | {name: changed} if isinstance(part, dict) else _replace_field(part, name, changed)


def _replace_field(part: Any, name: str, changed: Any) -> Any:
    return dataclasses.replace(part, **{name: changed})
