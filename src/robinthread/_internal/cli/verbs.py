"""Verbs of the command line: thin wrappers that import their implementation when run.

Every operator verb takes these flags: ``--address`` of a daemon's operator listener
(or the environment variable ROBINTHREAD_ADDRESS), ``--token_file``, ``--ca_file``
if the listener uses TLS, and ``--json``.
"""

import os
from typing import Any

from fire.decorators import SetParseFns

from robinthread._internal.cli.arguments import as_count, as_names, as_text
from robinthread._internal.cli.config_verbs import ConfigVerbs
from robinthread._internal.cli.connection import Connection
from robinthread._internal.cli.deferred import Deferred
from robinthread._internal.cli.extras import require_extra
from robinthread._internal.cli.migration_verbs import MigrationVerbs
from robinthread._internal.cli.pool_verbs import PoolVerbs
from robinthread._internal.cli.quota_verbs import QuotaVerbs
from robinthread._internal.cli.standin_verbs import StandinVerbs
from robinthread._internal.cli.wave_verbs import WaveVerbs

DEFAULT_ADDRESS = os.environ.get("ROBINTHREAD_ADDRESS", "127.0.0.1:7201")
DEFAULT_TOKEN_FILE = os.environ.get("ROBINTHREAD_TOKEN_FILE", "")
DEFAULT_CA_FILE = os.environ.get("ROBINTHREAD_CA_FILE", "")


class Verbs:
    """Fleet capacity and maintenance manager."""

    def __init__(
        self,
        *,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> None:
        self._connection = Connection(address, token_file, ca_file, bool(json))
        self.pool = PoolVerbs(self._connection)
        self.wave = WaveVerbs(self._connection)
        self.migration = MigrationVerbs(self._connection)
        self.quota = QuotaVerbs(self._connection)
        self.config = ConfigVerbs(self._connection)
        self.standin = StandinVerbs()

    def daemon(self, settings: str) -> Deferred:
        """Run a daemon with a settings file until the process is stopped."""

        def work() -> int:
            from robinthread._internal.commands.daemon import run_daemon_command

            return run_daemon_command(as_text("settings", settings))

        return Deferred(work)

    def demo(self, requests: int = 400, seed: int = 1, progress: bool = True) -> Deferred:
        """Run a demonstration on this machine: requests, a maintenance wave and a migration."""

        def work() -> int:
            from robinthread._internal.commands.demo import run_demo

            return run_demo(as_count("requests", requests), as_count("seed", seed), bool(progress))

        return Deferred(work)

    def experiment(
        self,
        file: str = "",
        drawn: int = 0,
        seeds: int = 5,
        first_seed: int = 1,
        policy: str = "",
        compare: str = "",
        vary: Any = "",
        ablate: bool = False,
        output: str = "",
        plot: str = "",
        processes: int = 0,
        progress: bool = True,
    ) -> Deferred:
        """Simulate days of a deployment in virtual time: --file=TOML, or --drawn=N generated ones.

        --policy and --compare name policy files that are compared seed by seed; empty for the
        defaults.  --vary=machines.count=6,8 simulates each value of a key of the file.
        --ablate switches each mechanism of the policy, one by one.
        --output=FILE writes JSON lines, --plot=FILE an SVG of the first day.
        """

        def work() -> int:
            require_extra("experiment", "matplotlib", "numpy", "scipy", "tabulate")
            from robinthread._internal.commands.experiment import (
                ExperimentOptions,
                run_experiment,
            )

            return run_experiment(
                ExperimentOptions(
                    str(file),
                    as_count("drawn", drawn),
                    as_count("seeds", seeds),
                    as_count("first_seed", first_seed),
                    str(policy),
                    str(compare),
                    str(vary),
                    bool(ablate),
                    str(output),
                    str(plot),
                    as_count("processes", processes),
                    bool(progress),
                )
            )

        return Deferred(work)

    def status(
        self,
        hosts: bool = False,
    ) -> Deferred:
        """Show budgets, unavailable hosts, what waves wait for, and how current each daemon is."""

        def work() -> int:
            from robinthread._internal.commands.status import run_status

            return run_status(self._connection.make_target(), bool(hosts), self._connection.is_json)

        return Deferred(work)

    def timeline(
        self,
        subject: Any = "",
        hall: str = "",
        chrome: str = "",
    ) -> Deferred:
        """Show the events of all daemons in order; --chrome=FILE writes trace-event JSON."""

        def work() -> int:
            from robinthread._internal.commands.timeline import run_timeline

            return run_timeline(
                self._connection.make_target(),
                as_names("subject", subject),
                str(hall),
                str(chrome),
                self._connection.is_json,
            )

        return Deferred(work)

    @SetParseFns(str, job_id=str, host=str, pool=str, node=str)
    def explain(
        self,
        job_id: str = "",
        file: str = "-",
        node: str = "",
        host: str = "",
        pool: str = "",
        wave: str = "",
        chrome: str = "",
        losses: bool = False,
    ) -> Deferred:
        """Show a job's history from the nodes' log lines in a file, or standard input ("-").

        --node, --host, --pool and --wave filter the lines; without a job id, all lines that
        match are shown.  --chrome=FILE writes trace-event JSON.  --losses sums up, over all
        lines, the causes of delay of late and failed jobs.
        """

        def work() -> int:
            from robinthread._internal.commands.explain import (
                make_filters,
                run_explain,
                run_losses,
            )

            if losses:
                return run_losses(str(file), self._connection.is_json)
            pairs = (("node", node), ("host", host), ("pool", pool), ("wave", wave))
            filters = make_filters([(name, str(value)) for name, value in pairs])
            return run_explain(
                str(job_id), str(file), filters, str(chrome), self._connection.is_json
            )

        return Deferred(work)

    def schema(self) -> Deferred:
        """Print the schema of the operator calls."""

        def work() -> int:
            from robinthread._internal.operators.schema import read_schema

            print(read_schema(), end="")
            return 0

        return Deferred(work)
