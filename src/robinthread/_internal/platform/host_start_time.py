"""Start time of a job host, as reported by the host."""

from typing import Annotated, Final

import msgspec

# Largest integer that records and messages between nodes can hold.
HOST_STARTED_AT_MAX_MS: Final = 2**63 - 1
# Unix milliseconds.  If a host does not report its start time the field is absent, never null.
HostStartTime = Annotated[int, msgspec.Meta(ge=0, le=HOST_STARTED_AT_MAX_MS)] | msgspec.UnsetType


def get_host_started_at_ms(start_time: HostStartTime) -> int | None:
    """Return the start time of a host in Unix milliseconds, or None if it is not reported."""
    return start_time if isinstance(start_time, int) else None
