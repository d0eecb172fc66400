"""Settings of the platform's services."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlatformSettings:
    """Addresses of the platform and how its log is used.

    ``log_retention_s`` is what the platform promises to keep.
    """

    log_url: str = ""
    host_list_url: str = ""
    log_timeout_s: float = 2.0
    log_retention_s: float = 86400.0
    host_list_interval_s: float = 2.0
    snapshot_every_records: int = 1000
    freshness_limit_s: float = 12.0
