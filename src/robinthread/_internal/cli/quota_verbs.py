"""Verbs for quotas of teams."""

from robinthread._internal.cli.arguments import as_count, as_text
from robinthread._internal.cli.deferred import Deferred
from robinthread._internal.cli.group import Group


class QuotaVerbs(Group):
    """Quotas of teams."""

    def set(
        self,
        team: str,
        max_slots: int,
        based_on_version: int = 0,
        operation_id: str = "",
    ) -> Deferred:
        """Set the slots that a team may hold at once in each pool and data hall."""
        fields = {
            "operation_id": str(operation_id),
            "team": as_text("team", team),
            "max_slots": as_count("max_slots", max_slots),
            "based_on_version": as_count("based_on_version", based_on_version),
        }
        return self._connection.call("SetQuota", fields)
