"""Settings of the platform's services."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlatformSettings:
    """Addresses of the platform's services, and settings for the use of its log.

    ``log_retention_s`` is the time for which the platform guarantees to retain log records.
    """

    log_url: str = ""
    host_list_url: str = ""
    log_timeout_s: float = 2.0
    log_retention_s: float = 86400.0
    host_list_interval_s: float = 2.0
    snapshot_every_records: int = 1000
    freshness_limit_s: float = 12.0
