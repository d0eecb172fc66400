"""Command-line entry point of robinthread."""

import os
import sys

from robinthread._internal.utils.startup_signals import set_startup_handlers

BOOTSTRAP_MODULE = "_bootstrap"
NODE_VERB = "node"
# Verbs that run until they are stopped; the others keep the default actions of signals.
SERVER_VERBS = frozenset({NODE_VERB, "daemon", "standin"})


def main() -> int:
    """Run the command line and return the process's exit code."""
    verb = sys.argv[1] if len(sys.argv) > 1 else ""
    if verb in SERVER_VERBS:
        set_startup_handlers(can_reload=verb == NODE_VERB)
    # This loads most modules, so it comes after the handlers.
    from robinthread._internal.cli.main import run_command_line

    return run_command_line(sys.argv[1:])


def main_and_exit() -> None:
    """Run the command line and exit with its exit code; entry point of the one-file binary.

    A daemon started from the binary replaces its process image through ``execve`` and runs
    from the unpacked files, without a child process.  This frees the memory of the unpacking
    code, 3 MB for the daemon's lifetime.
    """
    if BOOTSTRAP_MODULE in sys.modules and sys.argv[1:2] == ["daemon"]:
        packages = os.path.dirname(os.path.dirname(os.path.realpath(__file__)))
        environment = os.environ | {"PYTHONPATH": packages}
        arguments = [sys.executable, "-OO", "-m", "robinthread", *sys.argv[1:]]
        os.execve(sys.executable, arguments, environment)
    sys.exit(main())


if __name__ == "__main__":
    main_and_exit()
