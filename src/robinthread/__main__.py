"""Command-line entry point of robinthread."""

import os
import sys
from pathlib import Path

from robinthread._internal.cli.main import run_command_line

BOOTSTRAP_MODULE = "_bootstrap"


def main() -> int:
    """Run the command line and return the process's exit code."""
    return run_command_line(sys.argv[1:])


def main_and_exit() -> None:
    """Run the command line and exit with its exit code; entry point of the one-file binary.

    A daemon started from the binary replaces its process image through ``execve`` and runs
    from the unpacked files, without a child process.  This frees the memory of the unpacking
    code, 3 MB for the daemon's lifetime.
    """
    if BOOTSTRAP_MODULE in sys.modules and sys.argv[1:2] == ["daemon"]:
        packages = Path(__file__).resolve().parent.parent
        environment = os.environ | {"PYTHONPATH": str(packages)}
        arguments = [sys.executable, "-OO", "-m", "robinthread", *sys.argv[1:]]
        os.execve(sys.executable, arguments, environment)
    sys.exit(main())


if __name__ == "__main__":
    main_and_exit()
