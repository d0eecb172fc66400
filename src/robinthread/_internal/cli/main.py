"""Entry of the command line."""

import sys
from collections.abc import Sequence
from typing import Final

from robinthread._internal.cli.deferred import Deferred, run_deferred
from robinthread._internal.cli.exit_code import get_exit_code
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault

INTERRUPTED: Final = 130
NODE_VERB: Final = "node"
DAEMON_VERB: Final = "daemon"
SETTINGS_FLAG: Final = "--settings="
METRICS_FLAG: Final = "--metrics_port="
PORTS_COUNT: Final = 65536


def run_command_line(arguments: Sequence[str]) -> int:
    """Parse ``arguments``, run the verb and return the exit code."""
    try:
        return _run(list(arguments))
    except FaultError as error:
        return _tell(error.fault)
    except KeyboardInterrupt:
        return INTERRUPTED


def _run(arguments: list[str]) -> int:
    if arguments[:1] == [NODE_VERB]:
        # As below: a node's start must be quick and its memory small.
        from robinthread._internal.commands.node import run_node_command

        return run_node_command(_parse_metrics_port(arguments[1:]))
    if _is_plain_daemon(arguments):
        # A daemon keeps what it imports for life: letter 1 bounds its memory, so
        # the usual way to start one does without the command line's library.
        from robinthread._internal.commands.daemon import run_daemon_command

        return run_daemon_command(arguments[1].removeprefix(SETTINGS_FLAG))
    from robinthread._internal.cli.parser import parse_arguments

    found = parse_arguments(arguments)
    return run_deferred(found) if isinstance(found, Deferred) else 0


def _parse_metrics_port(flags: list[str]) -> int | None:
    """Return the port of a node's one flag, if it is given; raise ``FaultError``."""
    if not flags:
        return None
    text = flags[0].removeprefix(METRICS_FLAG)
    is_port = text.isdigit() and 0 < int(text) < PORTS_COUNT
    if len(flags) > 1 or not flags[0].startswith(METRICS_FLAG) or not is_port:
        what = f"node takes {METRICS_FLAG}PORT, a whole number up to 65535, and found {flags}"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, what))
    return int(text)


def _is_plain_daemon(arguments: list[str]) -> bool:
    return (
        len(arguments) == 2
        and arguments[0] == DAEMON_VERB
        and arguments[1].startswith(SETTINGS_FLAG)
        and arguments[1] != SETTINGS_FLAG
    )


def _tell(fault: Fault) -> int:
    print(str(fault), file=sys.stderr)
    return get_exit_code(fault.code)
