"""Settings of the handling of callers' requests."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EntrySettings:
    """Settings of the handling of callers' requests.

    ``retry_share`` limits retries to a share of first tries.  Answers to
    requests that must not be repeated are cached for duplicates until their
    deadline plus ``answer_keep_s``, in at most ``answers_max_bytes``.
    ``upstream_connections_max`` limits concurrent calls to workers.
    """

    default_timeout_s: float = 30.0
    tries_max: int = 5
    retry_share: float = 0.2
    backoff_min_s: float = 0.02
    backoff_max_s: float = 1.0
    answer_keep_s: float = 30.0
    answers_max_bytes: int = 4_000_000
    body_max_bytes: int = 4_000_000
    requests_max: int = 4000
    upstream_connections_max: int = 256
