"""Run robinthread from the command line."""

import os
import sys
from pathlib import Path

from robinthread._internal.cli.main import run_command_line

BOOTSTRAP_MODULE = "_bootstrap"


def main() -> int:
    """Run the command line and return the process's exit code."""
    return run_command_line(sys.argv[1:])


def main_and_exit() -> None:
    """Run the command line and exit with its code, as the one-file binary does.

    A daemon lets go of what unpacked the binary: the same process begins anew with
    the unpacked files, which saves 3 MB for its life.  No process is started.
    """
    if BOOTSTRAP_MODULE in sys.modules and sys.argv[1:2] == ["daemon"]:
        packages = Path(__file__).resolve().parent.parent
        environment = os.environ | {"PYTHONPATH": str(packages)}
        arguments = [sys.executable, "-OO", "-m", "robinthread", *sys.argv[1:]]
        os.execve(sys.executable, arguments, environment)
    sys.exit(main())


if __name__ == "__main__":
    main_and_exit()
