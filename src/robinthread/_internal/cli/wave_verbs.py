"""Verbs for maintenance waves."""

from typing import Any

from robinthread._internal.cli.arguments import as_count, as_names, as_seconds, as_text
from robinthread._internal.cli.deferred import Deferred
from robinthread._internal.cli.group import Group


class WaveVerbs(Group):
    """Maintenance waves."""

    def plan(
        self,
        hosts: Any = "",
        pool: str = "",
        hall: str = "",
        reboot_s: float = 0,
        deadline_at_s: float = 0,
    ) -> Deferred:
        """Preview a wave's order, times, buffer cost and moves without starting it."""
        fields = {
            "hosts": as_names("hosts", hosts),
            "pool": str(pool),
            "hall": str(hall),
            "reboot_s": as_seconds("reboot_s", reboot_s),
            "deadline_at_s": as_seconds("deadline_at_s", deadline_at_s),
        }
        return self._connection.call("PlanWave", fields)

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
    ) -> Deferred:
        """Start a wave; with --wait, show its progress until it ends."""
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
        return self._connection.call("CreateWave", fields, follow_wave=str(name) if wait else "")

    def progress(self, pool: str) -> Deferred:
        """Show the number of serving hosts of a pool over time, compared with its budget."""

        def work() -> int:
            from robinthread._internal.commands.wave_progress import run_wave_progress

            return run_wave_progress(self._connection.make_target(), as_text("pool", pool))

        return Deferred(work)

    def pause(
        self,
        name: str,
        based_on_version: int,
    ) -> Deferred:
        """Pause a wave: drains that have not started are withdrawn."""
        return self._connection.call("SetWaveState", _make_state(name, "paused", based_on_version))

    def resume(
        self,
        name: str,
        based_on_version: int,
    ) -> Deferred:
        """Resume a paused wave."""
        return self._connection.call("SetWaveState", _make_state(name, "running", based_on_version))

    def cancel(
        self,
        name: str,
        based_on_version: int,
    ) -> Deferred:
        """Cancel a wave: hosts that are out return to service, and no other host is drained."""
        return self._connection.call(
            "SetWaveState", _make_state(name, "cancelled", based_on_version)
        )


def _make_state(name: str, state: str, based_on_version: int) -> dict[str, Any]:
    return {
        "name": as_text("name", name),
        "state": state,
        "based_on_version": as_count("based_on_version", based_on_version),
    }
