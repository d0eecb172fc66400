"""Run robinthread from the command line."""

import sys

from robinthread._internal.cli.main import run_command_line


def main() -> int:
    """Run the command line and return the process's exit code."""
    return run_command_line(sys.argv[1:])


def main_and_exit() -> None:
    """Run the command line and exit with its code, as the one-file binary does."""
    sys.exit(main())


if __name__ == "__main__":
    main_and_exit()
