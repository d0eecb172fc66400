"""Run a daemon."""

from absl import flags, logging

from robinthread._internal.commands.config_check import read_settings
from robinthread._internal.daemon.process import run_daemon
from robinthread._internal.utils.event_loop import run_process
from robinthread._internal.utils.memory import limit_arenas

PROGRAM = "robinthread"


def run_daemon_command(path: str) -> int:
    """Run a daemon with the settings file at ``path`` until the process is stopped."""
    limit_arenas()
    settings = read_settings(path)
    flags.FLAGS([PROGRAM])
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    run_process(run_daemon(settings))
    return 0
