"""Connection of operator verbs to a daemon."""

from typing import Any

from robinthread._internal.cli.arguments import as_text
from robinthread._internal.cli.deferred import Deferred


class Connection:
    """Address and credentials of a daemon for operator verbs, and the output format of replies."""

    def __init__(self, address: str, token_file: str, ca_file: str, is_json: bool) -> None:
        self._address = address
        self._token_file = token_file
        self._ca_file = ca_file
        self.is_json = is_json

    def make_target(self) -> Any:
        """Return the ``Target`` of calls; raise ``FaultError`` if the address is empty."""
        from robinthread._internal.commands.client import Target

        return Target(as_text("address", self._address), str(self._token_file), str(self._ca_file))

    def call(self, method: str, fields: dict[str, Any], **extra: Any) -> Deferred:
        """Return a deferred call of ``method``; ``extra`` is passed on to ``run_change``."""

        def work() -> int:
            from robinthread._internal.commands.change import run_change

            return run_change(method, fields, self.make_target(), self.is_json, **extra)

        return Deferred(work)
