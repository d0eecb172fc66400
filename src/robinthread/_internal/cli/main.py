"""Entry point of the command line."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from robinthread._internal.cli.deferred import Deferred, run_deferred
from robinthread._internal.cli.exit_code import get_exit_code
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault

EXIT_INTERRUPTED: Final = 130
NODE_VERB: Final = "node"
DAEMON_VERB: Final = "daemon"
SETTINGS_FLAG: Final = "--settings="
METRICS_FLAG: Final = "--metrics_port="
POLICY_FLAG: Final = "--policy="
PORTS_COUNT: Final = 65536
PORT_DIGITS_MAX: Final = 5


def run_command_line(arguments: Sequence[str]) -> int:
    """Parse ``arguments``, run the verb and return the exit code."""
    try:
        return _run(list(arguments))
    except FaultError as error:
        return _report_fault(error.fault)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _run(arguments: list[str]) -> int:
    if arguments[:1] == [NODE_VERB]:
        # A node bypasses the command-line library as a daemon does below: it must start quickly
        # and use little memory.
        from robinthread._internal.commands.node import run_node_command

        flags = _parse_node_flags(arguments[1:])
        return run_node_command(flags.metrics_port, flags.policy_path)
    if _is_plain_daemon(arguments):
        # Imported modules stay in memory for the daemon's lifetime, and letter 1 limits that
        # memory, so the usual way to start a daemon bypasses the command-line library.
        from robinthread._internal.commands.daemon import run_daemon_command

        return run_daemon_command(arguments[1].removeprefix(SETTINGS_FLAG))
    from robinthread._internal.cli.parser import parse_arguments

    found = parse_arguments(arguments)
    return run_deferred(found) if isinstance(found, Deferred) else 0


@dataclass(frozen=True)
class _NodeFlags:
    """Port on which a node serves metrics, None to serve none, and its policy file, or ""."""

    metrics_port: int | None = None
    policy_path: str = ""


def _parse_node_flags(flags: list[str]) -> _NodeFlags:
    """Return a node's flags; raise ``FaultError`` for an unknown or repeated one."""
    found = _NodeFlags()
    for flag in flags:
        if flag.startswith(METRICS_FLAG) and found.metrics_port is None:
            found = replace(found, metrics_port=_parse_port(flag.removeprefix(METRICS_FLAG)))
        elif flag.startswith(POLICY_FLAG) and flag != POLICY_FLAG and not found.policy_path:
            found = replace(found, policy_path=flag.removeprefix(POLICY_FLAG))
        else:
            error_text = (
                f"node takes {METRICS_FLAG}PORT and {POLICY_FLAG}FILE, once each, not {flag}"
            )
            raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, error_text))
    return found


def _parse_port(text: str) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= PORT_DIGITS_MAX
    if not is_number or not 0 < int(text) < PORTS_COUNT:
        error_text = f"{METRICS_FLAG}PORT is a whole number from 1 to 65535, not {text!r}"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, error_text))
    return int(text)


def _is_plain_daemon(arguments: list[str]) -> bool:
    return (
        len(arguments) == 2
        and arguments[0] == DAEMON_VERB
        and arguments[1].startswith(SETTINGS_FLAG)
        and arguments[1] != SETTINGS_FLAG
    )


def _report_fault(fault: Fault) -> int:
    print(str(fault), file=sys.stderr)
    return get_exit_code(fault.code)
