"""Verbs of the command line: thin shells that import their command when run.

Flags that every operators' verb takes: ``--address`` of a daemon's operators'
listener (or the environment variable ROBINTHREAD_ADDRESS), ``--token_file``,
``--ca_file`` where the listener speaks TLS, and ``--json``.
"""

import os
from typing import Any

from robinthread._internal.cli.arguments import as_count, as_names, as_seconds, as_text
from robinthread._internal.cli.deferred import Deferred

DEFAULT_ADDRESS = os.environ.get("ROBINTHREAD_ADDRESS", "127.0.0.1:7201")
DEFAULT_TOKEN_FILE = os.environ.get("ROBINTHREAD_TOKEN_FILE", "")
DEFAULT_CA_FILE = os.environ.get("ROBINTHREAD_CA_FILE", "")


def _call(method: str, fields: dict[str, Any], flags: dict[str, Any], **extra: Any) -> Deferred:
    def work() -> int:
        from robinthread._internal.commands.change import run_change

        return run_change(method, fields, _make_target(flags), bool(flags["json"]), **extra)

    return Deferred(work)


def _make_target(flags: dict[str, Any]) -> Any:
    from robinthread._internal.commands.client import Target

    return Target(
        as_text("address", flags["address"]),
        str(flags["token_file"]),
        str(flags["ca_file"]),
    )


class PoolVerbs:
    """Pools and their availability budgets."""

    def create(
        self,
        name: str,
        min_serving_hosts: int = 0,
        min_serving_slots: int = 0,
        per_hall_hosts: Any = "",
        per_rack_hosts: Any = "",
        operation_id: str = "",
        wait_s: float = 0,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Create a pool; floors by data hall or rack as kandy=3,matale=2."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "budget": _make_budget(
                min_serving_hosts, min_serving_slots, per_hall_hosts, per_rack_hosts
            ),
        }
        return _call("CreatePool", fields, locals(), wait_s=as_seconds("wait_s", wait_s))

    def budget(
        self,
        name: str,
        based_on_version: int,
        min_serving_hosts: int = 0,
        min_serving_slots: int = 0,
        per_hall_hosts: Any = "",
        per_rack_hosts: Any = "",
        operation_id: str = "",
        wait_s: float = 0,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Set a pool's budget; the version is what ``status`` shows."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "budget": _make_budget(
                min_serving_hosts, min_serving_slots, per_hall_hosts, per_rack_hosts
            ),
            "based_on_version": as_count("based_on_version", based_on_version),
        }
        return _call("SetBudget", fields, locals(), wait_s=as_seconds("wait_s", wait_s))

    def remove(
        self,
        name: str,
        based_on_version: int,
        operation_id: str = "",
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Remove a pool that has no hosts left."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "based_on_version": as_count("based_on_version", based_on_version),
        }
        return _call("RemovePool", fields, locals())

    def assign(
        self,
        pool: str,
        hosts: Any,
        operation_id: str = "",
        wait_s: float = 0,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Assign free hosts, given as h1,h2, to a pool."""
        fields = {
            "operation_id": str(operation_id),
            "pool": as_text("pool", pool),
            "hosts": as_names("hosts", hosts),
        }
        return _call("AssignHosts", fields, locals(), wait_s=as_seconds("wait_s", wait_s))


class WaveVerbs:
    """Maintenance waves."""

    def plan(
        self,
        hosts: Any = "",
        pool: str = "",
        hall: str = "",
        reboot_s: float = 0,
        deadline_at_s: float = 0,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Show a wave's order, times, buffer cost and moves; nothing happens."""
        fields = {
            "hosts": as_names("hosts", hosts),
            "pool": str(pool),
            "hall": str(hall),
            "reboot_s": as_seconds("reboot_s", reboot_s),
            "deadline_at_s": as_seconds("deadline_at_s", deadline_at_s),
        }
        return _call("PlanWave", fields, locals())

    def run(
        self,
        name: str,
        reason: str,
        hosts: Any = "",
        pool: str = "",
        hall: str = "",
        release: bool = False,
        deadline_at_s: float = 0,
        operation_id: str = "",
        wait: bool = False,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Begin a wave; with --wait, show its progress until it ends."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "reason": as_text("reason", reason),
            "hosts": as_names("hosts", hosts),
            "pool": str(pool),
            "hall": str(hall),
            "is_release": bool(release),
            "deadline_at_s": as_seconds("deadline_at_s", deadline_at_s),
        }
        return _call("CreateWave", fields, locals(), follow_wave=str(name) if wait else "")

    def pause(
        self,
        name: str,
        based_on_version: int,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Pause a wave: drains that have not started are taken back."""
        return _call("SetWaveState", _make_state(name, "paused", based_on_version), locals())

    def resume(
        self,
        name: str,
        based_on_version: int,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Resume a paused wave."""
        return _call("SetWaveState", _make_state(name, "running", based_on_version), locals())

    def cancel(
        self,
        name: str,
        based_on_version: int,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Cancel a wave: hosts that are away come back, no other leaves."""
        return _call("SetWaveState", _make_state(name, "cancelled", based_on_version), locals())


class MigrationVerbs:
    """Migrations of pools between data halls."""

    def run(
        self,
        name: str,
        pool: str,
        from_hall: str,
        to_hall: str,
        deadline_at_s: float = 0,
        operation_id: str = "",
        wait: bool = False,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Release a pool's hosts in one hall while free hosts of another join it."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "pool": as_text("pool", pool),
            "from_hall": as_text("from_hall", from_hall),
            "to_hall": as_text("to_hall", to_hall),
            "deadline_at_s": as_seconds("deadline_at_s", deadline_at_s),
        }
        return _call("MigratePool", fields, locals(), follow_wave=str(name) if wait else "")


class QuotaVerbs:
    """Quotas of teams."""

    def set(
        self,
        team: str,
        max_slots: int,
        based_on_version: int = 0,
        operation_id: str = "",
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Set the slots that a team may hold at once in each pool and data hall."""
        fields = {
            "operation_id": str(operation_id),
            "team": as_text("team", team),
            "max_slots": as_count("max_slots", max_slots),
            "based_on_version": as_count("based_on_version", based_on_version),
        }
        return _call("SetQuota", fields, locals())


class ConfigVerbs:
    """Settings files and published configuration."""

    def check(self, settings: str) -> Deferred:
        """Check a daemon's settings file and tell every fault."""

        def work() -> int:
            from robinthread._internal.commands.config_check import run_config_check

            return run_config_check(as_text("settings", settings))

        return Deferred(work)

    def publish(
        self,
        name: str,
        file: str,
        based_on_version: int = 0,
        operation_id: str = "",
        wait_s: float = 0,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Publish a file's text under a name."""
        flags = locals()

        def work() -> int:
            from robinthread._internal.commands.change import run_change
            from robinthread._internal.utils.files import read_text

            fields = {
                "operation_id": str(operation_id),
                "name": as_text("name", name),
                "text": read_text(str(file)),
                "based_on_version": as_count("based_on_version", based_on_version),
            }
            return run_change(
                "PublishConfig",
                fields,
                _make_target(flags),
                bool(json),
                wait_s=as_seconds("wait_s", wait_s),
            )

        return Deferred(work)

    def history(
        self,
        name: str,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Show the versions of a configuration that the log still holds."""
        return _call("GetConfigHistory", {"name": as_text("name", name)}, locals())


class StandinVerbs:
    """Small stand-ins for the platform, for a first look without one."""

    def platform(self, listen: str, hosts_file: str = "") -> Deferred:
        """Serve a log in memory and a host list read from a TOML file."""

        def work() -> int:
            from robinthread._internal.commands.standin import run_platform

            return run_platform(as_text("listen", listen), str(hosts_file))

        return Deferred(work)

    def worker(self, name: str, listen: str, slots: int = 8, reboot_s: float = 2) -> Deferred:
        """Serve one worker."""

        def work() -> int:
            from robinthread._internal.commands.standin import run_worker

            return run_worker(
                as_text("name", name),
                as_text("listen", listen),
                as_count("slots", slots),
                as_seconds("reboot_s", reboot_s),
            )

        return Deferred(work)


class Verbs:
    """Fleet capacity and maintenance manager."""

    def __init__(self) -> None:
        self.pool = PoolVerbs()
        self.wave = WaveVerbs()
        self.migration = MigrationVerbs()
        self.quota = QuotaVerbs()
        self.config = ConfigVerbs()
        self.standin = StandinVerbs()

    def daemon(self, settings: str) -> Deferred:
        """Run a daemon with a settings file until it is told to stop."""

        def work() -> int:
            from robinthread._internal.commands.daemon import run_daemon_command

            return run_daemon_command(as_text("settings", settings))

        return Deferred(work)

    def demo(self, requests: int = 400, seed: int = 1, progress: bool = True) -> Deferred:
        """Run the main job on this machine: requests, a wave and a migration."""

        def work() -> int:
            from robinthread._internal.commands.demo import run_demo

            return run_demo(as_count("requests", requests), as_count("seed", seed), bool(progress))

        return Deferred(work)

    def status(
        self,
        hosts: bool = False,
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
        json: bool = False,
    ) -> Deferred:
        """Show budgets, what is away, what waits for what, how fresh each daemon is."""
        flags = locals()

        def work() -> int:
            from robinthread._internal.commands.status import run_status

            return run_status(_make_target(flags), bool(hosts), bool(json))

        return Deferred(work)

    def timeline(
        self,
        subject: Any = "",
        hall: str = "",
        chrome: str = "",
        address: str = DEFAULT_ADDRESS,
        token_file: str = DEFAULT_TOKEN_FILE,
        ca_file: str = DEFAULT_CA_FILE,
    ) -> Deferred:
        """Show events of all daemons in order; --chrome=FILE writes trace-event JSON."""
        flags = locals()

        def work() -> int:
            from robinthread._internal.commands.timeline import run_timeline

            return run_timeline(
                _make_target(flags), as_names("subject", subject), str(hall), str(chrome)
            )

        return Deferred(work)

    def schema(self) -> Deferred:
        """Print the schema of the operators' calls."""

        def work() -> int:
            from robinthread._internal.operators.schema import read_schema

            print(read_schema(), end="")
            return 0

        return Deferred(work)


def _make_state(name: str, state: str, based_on_version: int) -> dict[str, Any]:
    return {
        "name": as_text("name", name),
        "state": state,
        "based_on_version": as_count("based_on_version", based_on_version),
    }


def _make_budget(hosts: int, slots: int, per_hall: Any, per_rack: Any) -> dict[str, Any]:
    from robinthread._internal.cli.arguments import as_floors

    return {
        "min_serving_hosts": as_count("min_serving_hosts", hosts),
        "min_serving_slots": as_count("min_serving_slots", slots),
        "per_hall_hosts": as_floors("per_hall_hosts", per_hall),
        "per_rack_hosts": as_floors("per_rack_hosts", per_rack),
    }
