"""Lives of job hosts: a host that restarts under its id is another one."""

from typing import Final

# Between an id and a birth; no host's own id holds it with digits behind.
_START_SEPARATOR: Final = "@"


def make_incarnation_id(host_id: str, host_started_at_ms: int | None) -> str:
    """Return what names one life of a host; the id alone where its birth is not told.

    All that is known of a host hangs on its life: two of them have two ids.
    """
    return (
        host_id
        if host_started_at_ms is None
        else f"{host_id}{_START_SEPARATOR}{host_started_at_ms}"
    )


def split_incarnation_id(incarnation_id: str) -> tuple[str, int | None]:
    """Return a host's id, and when that life of it began if that was told."""
    host_id, separator, started_at = incarnation_id.rpartition(_START_SEPARATOR)
    if separator and started_at.isdecimal():
        return host_id, int(started_at)
    return incarnation_id, None
