"""Check for the optional dependencies of verbs."""

from importlib.util import find_spec

from robinthread._internal.results import FaultError, ResultCode, make_fault


def require_extra(extra: str, *modules: str) -> None:
    """Raise a ``FaultError`` that names the extra to install if one of its modules is missing."""
    missing = [module for module in modules if find_spec(module) is None]
    if missing:
        text = f"missing modules: {', '.join(missing)}; install robinthread[{extra}]"
        raise FaultError(make_fault(ResultCode.NOT_FOUND, text))
