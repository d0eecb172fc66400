"""Final answers kept for duplicates."""

from collections import OrderedDict
from dataclasses import dataclass

from robinthread._internal.claims.claim import Claim
from robinthread._internal.entry.caller_answer import CallerAnswer


@dataclass(frozen=True)
class CachedAnswer:
    """A final answer, the claim it settled and when it may go (Unix time)."""

    claim: Claim
    answer: CallerAnswer
    expires_at_s: float


class AnswerCache:
    """Answers by key, bounded in bytes; the oldest go first."""

    def __init__(self, bytes_max: int) -> None:
        self._bytes_max = bytes_max
        self._bytes = 0
        self._entries: OrderedDict[bytes, CachedAnswer] = OrderedDict()

    def get(self, key: bytes) -> CachedAnswer | None:
        """Return the kept answer for ``key``."""
        return self._entries.get(key)

    def put(self, key: bytes, entry: CachedAnswer, now_s: float) -> None:
        """Keep an answer, and drop expired and surplus ones."""
        self._drop(key)
        self._entries[key] = entry
        self._bytes += len(entry.answer.body)
        while self._entries:
            oldest_key, oldest = next(iter(self._entries.items()))
            if self._bytes <= self._bytes_max and oldest.expires_at_s > now_s:
                return
            self._drop(oldest_key)

    def _drop(self, key: bytes) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._bytes -= len(entry.answer.body)
