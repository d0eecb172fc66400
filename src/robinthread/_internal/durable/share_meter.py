"""Token buckets that mark the jobs a workspace submits beyond its share.

They limit the effect of a workspace that sends many times its usual load: its jobs beyond the
share run after all other work, and its share is still served.  Jobs are counted in log order by
their acceptance times, so the owners of all pools get the same result without communicating.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Capacity of a bucket, in seconds of the workspace's share.  A burst of this size is within the
# share, because callers don't send at an even rate.
BURST_S: Final = 1.0


@dataclass
class _Bucket:
    tokens: float
    updated_at_ms: int


class ShareMeter:
    """Token bucket for each workspace.

    ``get_share`` returns a workspace's share in jobs per second, 0 for no share set.
    """

    def __init__(self, get_share: Callable[[str], float]) -> None:
        self._get_share = get_share
        self._buckets: dict[str, _Bucket] = {}

    def is_beyond(self, workspace: str, accepted_at_ms: int) -> bool:
        """Count a job and return whether it exceeds its workspace's share.

        A workspace without a share, or no workspace (""), is never beyond it.
        """
        share = self._get_share(workspace)
        if not workspace or not share:
            return False
        capacity = max(1.0, share * BURST_S)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(capacity, accepted_at_ms)
        elapsed_ms = max(0, accepted_at_ms - bucket.updated_at_ms)
        bucket.tokens = min(capacity, bucket.tokens + share * elapsed_ms / 1000)
        bucket.updated_at_ms += elapsed_ms
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1.0
        return False
