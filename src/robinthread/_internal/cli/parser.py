"""Parsing of the command line with ``fire``."""

import contextlib
import io
import sys

import fire
from fire.core import FireExit

from robinthread._internal.cli.deferred import Deferred
from robinthread._internal.cli.verbs import Verbs
from robinthread._internal.results import FaultError, ResultCode, make_fault

PROGRAM = "robinthread"


def parse_arguments(arguments: list[str]) -> object:
    """Return the deferred verb, or None if help was shown.

    Raise ``FaultError`` if the command line is invalid.
    """
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            return fire.Fire(Verbs, arguments, PROGRAM, serialize=_hide_deferred)
    except FireExit as exit_:
        text = errors.getvalue()
        if exit_.code == 0:
            sys.stderr.write(text)
            return None
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, _find_error(text))) from exit_
    except TypeError as error:
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, str(error).capitalize())) from error


def _find_error(text: str) -> str:
    lines = [line for line in text.splitlines() if line.startswith("ERROR:")]
    message = lines[0].removeprefix("ERROR:").strip() if lines else "The command is invalid"
    return f"{message}. See {PROGRAM} --help"


def _hide_deferred(result: object) -> object:
    return None if isinstance(result, Deferred) else result
