"""Signals that a server gets while it loads its modules.

A signal without a handler has its default action, which ends the process.  Loading the modules of a
server takes most of its start, so handlers are set before, and this module imports little.
"""

import os
import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def set_startup_handlers(can_reload: bool) -> None:
    """Handle signals until the event loop of a server does.

    SIGTERM and SIGINT end the process with 0 at once: it has accepted nothing yet.  A server that
    ``can_reload`` its settings ignores SIGHUP: the settings are yet to be read.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, _end_process)
    if can_reload:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _end_process(_number: int, _frame: FrameType | None) -> None:
    """End the process; an exception could be lost in the code that the signal interrupted."""
    os._exit(0)
