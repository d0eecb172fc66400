"""Verbs that need more than what is installed by default."""

from importlib.util import find_spec

from robinthread._internal.results import FaultError, ResultCode, make_fault


def require_extra(extra: str, *modules: str) -> None:
    """Raise ``FaultError`` that tells what to install where a module of an extra is missing."""
    missing = [module for module in modules if find_spec(module) is None]
    if missing:
        text = f"needs {', '.join(missing)}; install robinthread[{extra}]"
        raise FaultError(make_fault(ResultCode.NOT_FOUND, text))
