"""Run a daemon."""

from typing import NoReturn

from absl import flags, logging

from robinthread._internal.commands.config_check import read_settings
from robinthread._internal.daemon.process import run_daemon
from robinthread._internal.utils.event_loop import run_server
from robinthread._internal.utils.memory import limit_arenas

PROGRAM = "robinthread"


def run_daemon_command(path: str) -> NoReturn:
    """Run a daemon with the settings file at ``path``; end the process with 0 once stopped."""
    limit_arenas()
    settings = read_settings(path)
    flags.FLAGS([PROGRAM])
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    run_server(run_daemon(settings))
