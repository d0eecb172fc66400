"""The current settings of a node's process."""

import asyncio
from collections.abc import Callable
from dataclasses import fields
from typing import Final

from robinthread._internal.node.node_settings import NodeSettings
from robinthread._internal.results import FaultError
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.error_text import ERROR_TEXT_MAX

# The file may change without a signal, and a new configuration must be in force within 2 s.
POLL_PERIOD_S: Final = 1.0
# Fields that take effect only after a restart: identity, addresses and limits of the store.
FIXED_FIELDS: Final = frozenset(
    {"name", "ip", "hall", "caller_address", "ready_address", "peer_ports"}
    | {"store_address", "machines_address", "advice_address", "store", "halls", "limits"}
)


class SettingsHolder:
    """Reloads the settings when their file changes; invalid settings are rejected."""

    def __init__(
        self, settings: NodeSettings, read: Callable[[], NodeSettings], events: EventLog
    ) -> None:
        self.settings = settings
        self._read = read
        self._events = events
        self._last_error = ""

    async def run(self) -> None:
        """Reload the settings periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            self.reload("file")

    def reload(self, cause: str) -> None:
        """Read the file again; log changes, each new error and each valid reload by signal."""
        try:
            settings = self._read()
        except FaultError as error:
            self._reject(cause, str(error))
            return
        except Exception as error:
            # Whatever a file may hold, the settings in force stay in force.
            self._reject(cause, f"{type(error).__name__}: {error}")
            return
        self._last_error = ""
        self._apply(settings, cause)

    def _reject(self, cause: str, problem: str) -> None:
        if problem != self._last_error:
            self._events.write("settings_rejected", cause=cause, error=problem[:ERROR_TEXT_MAX])
        self._last_error = problem

    def _apply(self, settings: NodeSettings, cause: str) -> None:
        changed = {
            field.name
            for field in fields(NodeSettings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        }
        if not changed and cause == "file":
            return
        self.settings = settings
        self._events.write(
            "settings_reloaded",
            cause=cause,
            changed=sorted(changed),
            in_force_after_restart=sorted(changed & FIXED_FIELDS),
        )
