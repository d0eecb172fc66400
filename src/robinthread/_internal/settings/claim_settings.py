"""Settings of claims."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ClaimSettings:
    """Settings of claims, the same on every daemon of a deployment.

    ``claim_appends_per_s`` bounds the appends of all partitions together.
    ``claim_horizon_s`` is the furthest deadline that a request which must not
    be repeated may have; claims are kept until that deadline and
    ``clock_skew_s`` more, so the log must retain at least both.
    """

    claim_partitions: int = 16
    claim_appends_per_s: float = 200.0
    claim_horizon_s: float = 3600.0
    clock_skew_s: float = 2.0
    claim_timeout_s: float = 2.0
    claims_max: int = 1_000_000
