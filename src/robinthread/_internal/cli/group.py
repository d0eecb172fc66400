"""Verbs that share a connection."""

from robinthread._internal.cli.connection import Connection


class Group:
    """Verbs that share a connection."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
