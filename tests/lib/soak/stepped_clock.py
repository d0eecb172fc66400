"""A node's process whose time of day can be stepped from outside, by a file with seconds.

Run with ``python -m tests.lib.soak.stepped_clock FILE``.  It ends with the process that began it.
"""

import os
import sys
import threading
import time
from pathlib import Path

from robinthread.__main__ import main_and_exit

# The file is read again so often.
READ_PERIOD_S = 0.1
PARENT_PERIOD_S = 1.0


def step_clock(path: Path) -> None:
    """Have the time of day differ by what a file says."""
    read_time_s, read_steady_s = time.time, time.monotonic
    step_s, read_at_s = 0.0, -READ_PERIOD_S

    def read_stepped_s() -> float:
        nonlocal step_s, read_at_s
        if read_steady_s() - read_at_s >= READ_PERIOD_S:
            step_s, read_at_s = float(path.read_text() or 0), read_steady_s()
        return read_time_s() + step_s

    time.time = read_stepped_s


def exit_with_parent(parent: int) -> None:
    """Have this process end once another one has."""

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_PERIOD_S)
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()


if __name__ == "__main__":
    exit_with_parent(os.getppid())
    step_clock(Path(sys.argv[1]))
    sys.argv[1:] = ["node"]
    main_and_exit()
