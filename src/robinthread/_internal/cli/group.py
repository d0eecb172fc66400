"""Base class of verb groups."""

from robinthread._internal.cli.connection import Connection


class Group:
    """Group of verbs that share a connection."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
