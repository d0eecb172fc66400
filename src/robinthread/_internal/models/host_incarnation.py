"""Incarnations of job hosts: a host that restarts under the same id is a new incarnation."""

from typing import Final

# Separates a host's id from its start time.  No host id ends in this character and digits.
_START_SEPARATOR: Final = "@"


def make_incarnation_id(host_id: str, host_started_at_ms: int | None) -> str:
    """Return the id of one incarnation of a host, or the host id if its start time is unknown.

    State about a host is kept per incarnation, so two incarnations must have different ids.
    """
    return (
        host_id
        if host_started_at_ms is None
        else f"{host_id}{_START_SEPARATOR}{host_started_at_ms}"
    )


def split_incarnation_id(incarnation_id: str) -> tuple[str, int | None]:
    """Return the host id, and the start time of that incarnation or None if unknown."""
    host_id, separator, started_at = incarnation_id.rpartition(_START_SEPARATOR)
    if separator and started_at.isdecimal():
        return host_id, int(started_at)
    return incarnation_id, None
