"""Verbs for stand-ins of the platform."""

from robinthread._internal.cli.arguments import as_count, as_seconds, as_text
from robinthread._internal.cli.deferred import Deferred


class StandinVerbs:
    """Small stand-ins for the platform, to try robinthread without one."""

    def platform(self, listen: str, hosts_file: str = "") -> Deferred:
        """Serve an in-memory log and a host list read from a TOML file."""

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
