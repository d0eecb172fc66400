"""A node process whose wall clock is shifted by the number of seconds in a file.

Run with ``python -m tests.lib.soak.stepped_clock FILE``.  It exits when its parent exits.
"""

import os
import sys
import threading
import time
from pathlib import Path

from robinthread.__main__ import main_and_exit

# Minimum time between reads of the file.
READ_PERIOD_S = 0.1
PARENT_PERIOD_S = 1.0


def step_clock(path: Path) -> None:
    """Replace ``time.time`` by one that adds the seconds in the file at ``path``."""
    read_time_s, read_steady_s = time.time, time.monotonic
    step_s, read_at_s = 0.0, -READ_PERIOD_S

    def read_stepped_s() -> float:
        nonlocal step_s, read_at_s
        if read_steady_s() - read_at_s >= READ_PERIOD_S:
            step_s, read_at_s = float(path.read_text() or 0), read_steady_s()
        return read_time_s() + step_s

    time.time = read_stepped_s


def exit_with_parent(parent: int) -> None:
    """Exit this process once its parent process, ``parent``, has exited."""

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
