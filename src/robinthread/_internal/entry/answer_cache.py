"""Answers to requests that this daemon is executing or has executed."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from robinthread._internal.claims.claim import Claim
from robinthread._internal.claims.claim_service import ClaimService
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.peers.messages import AnswerRequest
from robinthread._internal.results import Family, ResultCode
from robinthread._internal.settings.entry_settings import EntrySettings

if TYPE_CHECKING:
    from robinthread._internal.entry.entry_service import EntryContext

_UNKNOWN: Final = CallerAnswer(ResultCode.OUTCOME_UNKNOWN)
_DIFFERS: Final = CallerAnswer(ResultCode.BODY_DIFFERS)


@dataclass(frozen=True)
class CachedAnswer:
    """A final answer, the claim of its request and its expiry, ``expires_at_s``, as Unix time."""

    claim: Claim
    answer: CallerAnswer
    expires_at_s: float


class AnswerCache:
    """Answers by request key, bounded in bytes; the oldest are evicted first."""

    def __init__(self, bytes_max: int) -> None:
        self._bytes_max = bytes_max
        self._bytes = 0
        self._entries: OrderedDict[bytes, CachedAnswer] = OrderedDict()

    def get(self, key: bytes) -> CachedAnswer | None:
        """Return the stored answer for ``key``, or None if there is none."""
        return self._entries.get(key)

    def put(self, key: bytes, entry: CachedAnswer, now_s: float) -> None:
        """Store an answer, then evict from the oldest on while over the limit or expired."""
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


class RequestAnswers:
    """Requests without a final answer, in ``running``, and stored answers of completed ones."""

    def __init__(
        self, context: EntryContext, settings: EntrySettings, claims: ClaimService
    ) -> None:
        self.running: dict[bytes, RunningRequest] = {}
        self._context = context
        self._settings = settings
        self._claims = claims
        self._answers = AnswerCache(settings.answers_max_bytes)

    def get(self, key: bytes) -> CachedAnswer | None:
        """Return the stored answer for ``key``, or None if there is none."""
        return self._answers.get(key)

    def store(self, running: RunningRequest, answer: CallerAnswer) -> None:
        """Store the final answer of a request; does nothing if the request holds no claim."""
        claim = running.claim
        if claim is None:
            return
        expires_at_s = claim.expires_at_s + self._settings.answer_keep_s
        entry = CachedAnswer(claim, answer, expires_at_s)
        self._answers.put(claim.key, entry, self._context.wall_clock())

    def get_for_duplicate(self, key: bytes) -> CallerAnswer:
        """Return the stored answer to a duplicate request whose claim this daemon holds.

        ``OUTCOME_UNKNOWN`` is returned if the answer is no longer stored.
        """
        cached = self._answers.get(key)
        return self._get_answer_and_release(cached) if cached else _UNKNOWN

    async def find(self, request: AnswerRequest) -> CallerAnswer:
        """Return the answer to a duplicate request that another daemon received.

        Waits up to ``request.wait_s`` if the original request is still running.
        """
        running = self.running.get(request.key)
        if running is not None:
            if running.digest != request.digest:
                return _DIFFERS
            try:
                return await asyncio.wait_for(asyncio.shield(running.answer), request.wait_s)
            except TimeoutError:
                return CallerAnswer(ResultCode.ANSWER_TIMED_OUT)
        cached = self._answers.get(request.key)
        if cached is None:
            return _UNKNOWN
        if cached.claim.digest != request.digest:
            return _DIFFERS
        return self._get_answer_and_release(cached)

    def _get_answer_and_release(self, cached: CachedAnswer) -> CallerAnswer:
        """Return a stored answer, and release the claim again if the request did not run.

        A duplicate that meets the claim shows that the owner missed the first release.
        """
        if cached.answer.code.family is Family.DID_NOT_RUN:
            self._claims.release(cached.claim)
        return cached.answer
