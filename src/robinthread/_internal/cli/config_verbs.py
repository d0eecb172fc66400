"""Verbs for settings files and published configuration."""

from robinthread._internal.cli.arguments import as_count, as_seconds, as_text
from robinthread._internal.cli.deferred import Deferred
from robinthread._internal.cli.group import Group


class ConfigVerbs(Group):
    """Settings files and published configuration."""

    def check(self, settings: str) -> Deferred:
        """Validate a daemon's settings file and report all errors in it."""

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
    ) -> Deferred:
        """Publish a file's text under a name."""

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
                self._connection.make_target(),
                self._connection.is_json,
                wait_s=as_seconds("wait_s", wait_s),
            )

        return Deferred(work)

    def history(
        self,
        name: str,
    ) -> Deferred:
        """Show the versions of a configuration that the log still holds."""
        return self._connection.call("GetConfigHistory", {"name": as_text("name", name)})
