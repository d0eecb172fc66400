"""Verbs for migrations."""

from robinthread._internal.cli.arguments import as_seconds, as_text
from robinthread._internal.cli.deferred import Deferred
from robinthread._internal.cli.group import Group


class MigrationVerbs(Group):
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
    ) -> Deferred:
        """Release a pool's hosts in one data hall while free hosts of another one join it."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "pool": as_text("pool", pool),
            "from_hall": as_text("from_hall", from_hall),
            "to_hall": as_text("to_hall", to_hall),
            "deadline_at_s": as_seconds("deadline_at_s", deadline_at_s),
        }
        return self._connection.call("MigratePool", fields, follow_wave=str(name) if wait else "")
