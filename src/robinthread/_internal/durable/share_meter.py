"""Which jobs a workspace hands in beyond its share.

Answers a workspace that sends many times its usual: what is beyond its share comes after all
other work, and its share is still served.  Jobs are counted in the log's order by when they were
accepted, so that the owners of all pools come to the same without asking each other.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Jobs of so long come at once and are within the share: callers do not send evenly.
BURST_S: Final = 1.0


@dataclass
class _Bucket:
    tokens: float
    updated_at_ms: int


class ShareMeter:
    """Counts each workspace's jobs; ``get_share`` returns a share in jobs a second, 0 for none."""

    def __init__(self, get_share: Callable[[str], float]) -> None:
        self._get_share = get_share
        self._buckets: dict[str, _Bucket] = {}

    def is_beyond(self, workspace: str, accepted_at_ms: int) -> bool:
        """Count a job, and tell whether it is beyond its workspace's share."""
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
