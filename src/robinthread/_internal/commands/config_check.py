"""Validation of a daemon's settings file."""

from returns.result import Success

from robinthread._internal.results import FaultError
from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.settings.parse import parse_settings
from robinthread._internal.utils.files import read_text


def read_settings(path: str) -> DaemonSettings:
    """Read and validate a settings file; raise a ``FaultError`` that lists all errors in it."""
    result = parse_settings(read_text(path), path)
    if isinstance(result, Success):
        return result.unwrap()
    raise FaultError(result.failure())


def run_config_check(path: str) -> int:
    """Validate the file and print a confirmation; raise ``FaultError`` if it is invalid."""
    settings = read_settings(path)
    print(f"{path} is good: daemon {settings.name} in {settings.hall}")
    return 0
