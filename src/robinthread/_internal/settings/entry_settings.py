"""Settings of the entry of callers' requests."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EntrySettings:
    """Settings of callers' requests.

    ``retry_share`` bounds retries as a share of first tries.  Answers to
    requests that must not be repeated are kept for duplicates until their
    deadline and ``answer_keep_s`` more, in at most ``answers_max_bytes``.
    ``upstream_connections_max`` bounds the calls to workers at once.
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
