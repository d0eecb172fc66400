"""Settings of claims."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ClaimSettings:
    """Settings of claims, identical on every daemon of a deployment.

    ``claim_appends_per_s`` limits the appends of all partitions together.
    ``claim_horizon_s`` is the longest time to the deadline of a request that must
    not be repeated.  Claims are retained until that deadline plus
    ``clock_skew_s``, so the log must retain records for at least the sum of both.
    """

    claim_partitions: int = 16
    claim_appends_per_s: float = 200.0
    claim_horizon_s: float = 3600.0
    clock_skew_s: float = 2.0
    claim_timeout_s: float = 2.0
    claims_max: int = 1_000_000
