"""When a job host began, as it says itself."""

from typing import Annotated, Final

import msgspec

# The largest number that records and messages between nodes carry.
HOST_STARTED_AT_MAX_MS: Final = 2**63 - 1
# Unix milliseconds.  A host that restarts may not say it: then the field is absent, never null.
HostStartTime = Annotated[int, msgspec.Meta(ge=0, le=HOST_STARTED_AT_MAX_MS)] | msgspec.UnsetType


def get_host_started_at_ms(start_time: HostStartTime) -> int | None:
    """Return when a host began, or None where it does not say so."""
    return start_time if isinstance(start_time, int) else None
