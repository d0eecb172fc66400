"""Verbs for pools."""

from typing import Any

from robinthread._internal.cli.arguments import as_count, as_floors, as_names, as_seconds, as_text
from robinthread._internal.cli.deferred import Deferred
from robinthread._internal.cli.group import Group


class PoolVerbs(Group):
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
    ) -> Deferred:
        """Create a pool; minimum hosts by data hall or rack are given as kandy=3,matale=2."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "budget": _make_budget(
                min_serving_hosts, min_serving_slots, per_hall_hosts, per_rack_hosts
            ),
        }
        return self._connection.call("CreatePool", fields, wait_s=as_seconds("wait_s", wait_s))

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
    ) -> Deferred:
        """Set a pool's budget; based_on_version is the version that ``status`` shows."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "budget": _make_budget(
                min_serving_hosts, min_serving_slots, per_hall_hosts, per_rack_hosts
            ),
            "based_on_version": as_count("based_on_version", based_on_version),
        }
        return self._connection.call("SetBudget", fields, wait_s=as_seconds("wait_s", wait_s))

    def remove(
        self,
        name: str,
        based_on_version: int,
        operation_id: str = "",
    ) -> Deferred:
        """Remove a pool that has no hosts left."""
        fields = {
            "operation_id": str(operation_id),
            "name": as_text("name", name),
            "based_on_version": as_count("based_on_version", based_on_version),
        }
        return self._connection.call("RemovePool", fields)

    def assign(
        self,
        pool: str,
        hosts: Any,
        operation_id: str = "",
        wait_s: float = 0,
    ) -> Deferred:
        """Assign free hosts, given as h1,h2, to a pool."""
        fields = {
            "operation_id": str(operation_id),
            "pool": as_text("pool", pool),
            "hosts": as_names("hosts", hosts),
        }
        return self._connection.call("AssignHosts", fields, wait_s=as_seconds("wait_s", wait_s))


def _make_budget(hosts: int, slots: int, per_hall: Any, per_rack: Any) -> dict[str, Any]:
    return {
        "min_serving_hosts": as_count("min_serving_hosts", hosts),
        "min_serving_slots": as_count("min_serving_slots", slots),
        "per_hall_hosts": as_floors("per_hall_hosts", per_hall),
        "per_rack_hosts": as_floors("per_rack_hosts", per_rack),
    }
