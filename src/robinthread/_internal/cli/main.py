"""Entry of the command line."""

import contextlib
import io
import sys
from collections.abc import Sequence

import fire
from fire.core import FireExit

from robinthread._internal.cli.deferred import Deferred, run_deferred
from robinthread._internal.cli.exit_code import get_exit_code
from robinthread._internal.cli.verbs import Verbs
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault

PROGRAM = "robinthread"
INTERRUPTED = 130


def run_command_line(arguments: Sequence[str]) -> int:
    """Parse ``arguments``, run the verb and return the exit code."""
    try:
        found = _parse(list(arguments))
        if not isinstance(found, Deferred):
            return 0
        return run_deferred(found)
    except FaultError as error:
        return _tell(error.fault)
    except KeyboardInterrupt:
        return INTERRUPTED


def _parse(arguments: list[str]) -> object:
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
    said = lines[0].removeprefix("ERROR:").strip() if lines else "The command is not understood"
    return f"{said}. See {PROGRAM} --help"


def _hide_deferred(result: object) -> object:
    return None if isinstance(result, Deferred) else result


def _tell(fault: Fault) -> int:
    print(str(fault), file=sys.stderr)
    return get_exit_code(fault.code)
